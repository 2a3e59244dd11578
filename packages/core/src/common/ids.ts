/** Branded identifier types. The compiler rejects an id of the wrong kind. */

declare const brand: unique symbol;

/** A string whose type names the kind of thing that it identifies. */
export type Id<Name extends string> = string & { readonly [brand]: Name };

/** A tenant, whose callers share its quotas and its weight. */
export type WorkspaceId = Id<"workspace">;
/** A person or program with one token of a workspace. */
export type CallerId = Id<"caller">;
/** The caller's idempotency key, unique within its workspace. */
export type RequestId = Id<"request">;
/** Identifies a request in the whole deployment: workspace and request id. */
export type RequestKey = Id<"request-key">;
/** One entry VM. The replacement of a VM has a new id. */
export type VmId = Id<"vm">;
/** One start of the daemon on a VM; each restart has a new incarnation. */
export type Incarnation = Id<"incarnation">;
/** A back end: one prefill, decode or plain service replica. */
export type EndpointId = Id<"endpoint">;
/** A data centre, for instance `helsinki-a`. */
export type DataCentre = Id<"data-centre">;
/** A region, for instance `suomi-etela`. */
export type Region = Id<"region">;
/** A model that prefill and decode replicas serve. */
export type ModelName = Id<"model">;
/** A plain service, that is, a back end other than a model engine. */
export type ServiceName = Id<"service">;
/** One run of a summary at the engines. A retry has a new id. */
export type StreamId = Id<"stream">;
/** A grant that the home of a shard issued to one run. */
export type GrantId = Id<"grant">;
/** A SHA-256 digest in hexadecimal. */
export type Digest = Id<"digest">;

/** Brands a string without checking it, for text that enters the system. */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}

/** Builds the key of a request, `workspace/request`. */
export function requestKey(
  workspace: WorkspaceId,
  request: RequestId,
): RequestKey {
  return asId(`${workspace}/${request}`);
}

/** Returns the workspace part of a request key. */
export function workspaceOf(key: RequestKey): WorkspaceId {
  return asId(key.slice(0, key.indexOf("/")));
}
