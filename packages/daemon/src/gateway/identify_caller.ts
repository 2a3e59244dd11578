/** Finds the workspace of a request by its key, which its headers then no longer contain. */
import type { NotRun, Refusal } from "@teaselvalve/core";
import {
  type Authenticator,
  type Credentials,
  digestOfKey,
  type ForwardedKey,
  type Route,
  type RoutedRequest,
} from "@teaselvalve/core/routing";
import { Buffer } from "node:buffer";
import { ok, type Result } from "neverthrow";
import type { EndpointProtocol } from "./protocol.ts";

/** Shorter keys may occur in the value of a header by chance. */
const MIN_DISTINCT_KEY_LENGTH = 16;

/** The fields of a request that follow from its key. */
export type IdentityFields = Pick<
  RoutedRequest,
  "rawHeaders" | "workspace" | "keyDigest" | "priority"
>;

/** A request whose headers may contain a key. */
export interface KeyedRequest {
  readonly rawHeaders: readonly string[];
  /** The key that another VM has checked, if it sent the request on. */
  readonly forwarded?: ForwardedKey | undefined;
}

/** What checks the keys of requests. */
export interface KeyChecks {
  readonly protocol: Pick<EndpointProtocol, "readKey" | "withWorkspace">;
  /** Undefined if requests need no keys. */
  readonly authenticator?: Authenticator | undefined;
}

/**
 * Returns the route of a request, or the refusal if it has none. Waits before that for a
 * newer table, for a part of `timeoutMs`, if the active one may be too old to judge the
 * key.
 */
export async function findKeyedRoute(
  request: KeyedRequest,
  { match, timeoutMs, ...checks }: KeyChecks & {
    match: () => Route | Refusal;
    timeoutMs: number | null;
  },
): Promise<Route | Refusal> {
  const route = match();
  const { authenticator } = checks;
  if (!("prefix" in route) || !authenticator?.isActive) return route;
  const { credentials } = readCredentials(request, checks);
  if (!authenticator.needsUpdate(credentials, route)) return route;
  await authenticator.update(
    Math.min(timeoutMs ?? route.timeoutMs, route.timeoutMs),
  );
  return match();
}

/** Returns the identity of a request, or the refusal of one whose key is missing or unknown. */
export function identifyCaller(
  request: KeyedRequest,
  { route, ...checks }: KeyChecks & { route: Route },
): Result<IdentityFields, NotRun> {
  const { rawHeaders } = request;
  const { authenticator, protocol } = checks;
  if (!authenticator?.isActive) return ok({ rawHeaders });
  const { credentials, key } = readCredentials(request, checks);
  const keyDigest = credentials.forwarded?.keyDigest ?? credentials.keyDigest;
  return authenticator.authenticate(credentials, route).map((workspace) => ({
    rawHeaders: protocol.withWorkspace(
      workspace && key ? withoutKey(rawHeaders, key) : rawHeaders,
      workspace?.id ?? null,
    ),
    ...(workspace && keyDigest ? { workspace: workspace.id, keyDigest } : {}),
    ...(workspace?.priority == null ? {} : { priority: workspace.priority }),
  }));
}

function readCredentials(
  { rawHeaders, forwarded }: KeyedRequest,
  { protocol }: KeyChecks,
): { credentials: Credentials; key: Uint8Array | null } {
  const key = forwarded ? null : protocol.readKey(rawHeaders);
  return {
    credentials: { keyDigest: key && digestOfKey(key), forwarded },
    key,
  };
}

// A caller may have put its key into other headers as well.
function withoutKey(
  rawHeaders: readonly string[],
  keyBytes: Uint8Array,
): readonly string[] {
  const key = Buffer.from(keyBytes).toString("latin1");
  if (key.length < MIN_DISTINCT_KEY_LENGTH) return rawHeaders;
  return rawHeaders.filter((_text, index) =>
    !rawHeaders[index - index % 2 + 1]!.includes(key)
  );
}
