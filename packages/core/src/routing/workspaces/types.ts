/** Workspaces whose callers authenticate with keys, and their quotas. */
import type { Digest, WorkspaceId } from "../../common/ids.ts";

/** How much a workspace's callers may ask of all VMs together. */
export interface WorkspaceQuota {
  /** What `perSecond` and `burst` count. */
  readonly unit: "requests" | "tokens";
  /** Amount added per second; positive. */
  readonly perSecond: number;
  /** Largest amount that may accumulate; not negative. */
  readonly burst: number;
  /** Tokens that a request without a token count stands for. */
  readonly plainTokens: number;
}

/** A group of callers that share keys, a priority and a quota. */
export interface RoutingWorkspace {
  readonly id: WorkspaceId;
  /** SHA-256 digests of its keys, in lower-case hexadecimal. The keys themselves are not kept. */
  readonly keyDigests: readonly Digest[];
  /** Takes precedence over the priority of a route; null if it has none of its own. */
  readonly priority: number | null;
  /** Null if it has no limit. */
  readonly quota: WorkspaceQuota | null;
}
