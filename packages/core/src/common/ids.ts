/** Branded identifiers, so that one kind of id can't be passed for another. */

declare const brand: unique symbol;

/** A string that carries the name of what it identifies. */
export type Id<Name extends string> = string & { readonly [brand]: Name };

/** A tenant whose callers share quotas and weight. */
export type WorkspaceId = Id<"workspace">;
/** A person or program that holds one token of a workspace. */
export type CallerId = Id<"caller">;
/** The caller's idempotency key, unique inside its workspace. */
export type RequestId = Id<"request">;
/** A request across the deployment: workspace and request id. */
export type RequestKey = Id<"request-key">;
/** One entry VM. A replaced VM gets another id. */
export type VmId = Id<"vm">;
/** One start of the daemon on a VM. */
export type Incarnation = Id<"incarnation">;
/** A back end: one prefill or decode replica, or one plain service replica. */
export type EndpointId = Id<"endpoint">;
/** A data centre, for instance `helsinki-a`. */
export type DataCentre = Id<"data-centre">;
/** A region, for instance `suomi-etela`. */
export type Region = Id<"region">;
/** A model that decode and prefill replicas serve. */
export type ModelName = Id<"model">;
/** A plain service beside the model engines. */
export type ServiceName = Id<"service">;
/** One run of a summary at the engines. A retry gets another id. */
export type StreamId = Id<"stream">;
/** A grant that a shard home gave to one run. */
export type GrantId = Id<"grant">;
/** A SHA-256 digest in hexadecimal. */
export type Digest = Id<"digest">;

/** Brands a string. Use it where text enters the system. */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}

/** Builds the deployment-wide key of a request. */
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
