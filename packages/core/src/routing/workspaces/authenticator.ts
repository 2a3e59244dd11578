/** Checks the keys of requests against the workspaces of the active routing table. */
import { err, ok, type Result } from "neverthrow";
import type { Digest, WorkspaceId } from "../../common/ids.ts";
import { type NotRun, notRun } from "../../common/verdict.ts";
import type { Route, RoutingTable } from "../types.ts";
import { KeyIndex } from "./key_index.ts";
import type { RoutingWorkspace } from "./types.ts";

/** Retry delay given to callers whose key can't be judged at present. */
const UNVERIFIED_RETRY_MS = 1_000;

/** The workspace and key of a request that another VM has checked and sent on. */
export interface ForwardedKey {
  readonly workspace: WorkspaceId;
  readonly keyDigest: Digest;
}

/** What a request presents. */
export interface Credentials {
  /** Digest of its key; null if it has none, or none that can be read. */
  readonly keyDigest: Digest | null;
  /** Set if another VM has checked the key, which is then not in the request. */
  readonly forwarded?: ForwardedKey | undefined;
}

/** Holds the keys of the active routing table. */
export class Authenticator {
  #index: KeyIndex | null = null;

  /** Takes over the workspaces of a table that has become active. */
  setTable({ workspaces }: Pick<RoutingTable, "workspaces">): void {
    this.#index = workspaces ? new KeyIndex(workspaces) : null;
  }

  /** Whether the active table has workspaces. */
  get isActive(): boolean {
    return this.#index !== null;
  }

  /**
   * Returns the workspace of a request; null if it needs none and has no known key.
   * Refused as `unauthenticated` if it needs a key and has no known one.
   */
  authenticate(
    { keyDigest, forwarded }: Credentials,
    route: Pick<Route, "isPublic">,
  ): Result<RoutingWorkspace | null, NotRun> {
    if (!this.#index) return ok(null);
    if (forwarded) {
      const known = this.#index.find(forwarded.keyDigest);
      return known?.id === forwarded.workspace
        ? ok(known)
        : err(notRun("unverified-key", { retryAfterMs: UNVERIFIED_RETRY_MS }));
    }
    const workspace = keyDigest === null ? null : this.#index.find(keyDigest);
    if (workspace || route.isPublic) return ok(workspace);
    return err(notRun("unauthenticated"));
  }
}
