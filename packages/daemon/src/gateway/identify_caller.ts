/** Finds the workspace of a request by its key, which its headers then no longer contain. */
import type { NotRun } from "@teaselvalve/core";
import {
  type Authenticator,
  digestOfKey,
  type ForwardedKey,
  type Route,
  type RoutedRequest,
} from "@teaselvalve/core/routing";
import { ok, type Result } from "neverthrow";
import type { EndpointProtocol } from "./protocol.ts";

/** The fields of a request that follow from its key. */
export type IdentityFields = Pick<
  RoutedRequest,
  "rawHeaders" | "workspace" | "keyDigest" | "priority"
>;

/** Options of {@link identifyCaller}. */
export interface IdentifyOptions {
  readonly rawHeaders: readonly string[];
  /** The key that another VM has checked, if it sent the request on. */
  readonly forwarded?: ForwardedKey | undefined;
  readonly route: Route;
  readonly protocol: Pick<EndpointProtocol, "readKey" | "withWorkspace">;
  readonly authenticator?: Authenticator;
}

/** Returns the identity of a request, or the refusal of one whose key is missing or unknown. */
export function identifyCaller(
  { rawHeaders, forwarded, route, protocol, authenticator }: IdentifyOptions,
): Result<IdentityFields, NotRun> {
  if (!authenticator?.isActive) return ok({ rawHeaders });
  const key = forwarded ? null : protocol.readKey(rawHeaders);
  const keyDigest = forwarded?.keyDigest ?? (key && digestOfKey(key));
  const found = authenticator.authenticate({ keyDigest, forwarded }, route);
  return found.map((workspace) => ({
    rawHeaders: protocol.withWorkspace(rawHeaders, workspace?.id ?? null),
    ...(workspace && keyDigest ? { workspace: workspace.id, keyDigest } : {}),
    ...(workspace?.priority != null ? { priority: workspace.priority } : {}),
  }));
}
