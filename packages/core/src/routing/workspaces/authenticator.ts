/** Checks the keys of requests against the workspaces of the active routing table. */
import { err, ok, type Result } from "neverthrow";
import type { Digest, WorkspaceId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { type NotRun, notRun } from "../../common/verdict.ts";
import type { Route, RoutingTable } from "../types.ts";
import { KeyIndex } from "./key_index.ts";
import type { TableAge } from "./table_age.ts";
import type { RoutingWorkspace } from "./types.ts";

/** Retry delay given to callers whose key can't be judged at present. */
const UNVERIFIED_RETRY_MS = 1_000;
/**
 * How long a revoked key is remembered for requests that were sent before, and arrive
 * from other VMs. Longer than any request lasts.
 */
const REVOKED_KEPT_MS = 300_000;
/** Part of a request's time that it may wait for a newer table. */
const UPDATE_SHARE = 0.5;

/** The workspace and key of a request that another VM has checked and sent on. */
export interface ForwardedKey {
  readonly workspace: WorkspaceId;
  readonly keyDigest: Digest;
  /** Time since the other VM received the request. */
  readonly receivedAgoMs: number;
}

/** What a request presents. */
export interface Credentials {
  /** Digest of its key; null if it has none, or none that can be read. */
  readonly keyDigest: Digest | null;
  /** Set if another VM has checked the key, which is then not in the request. */
  readonly forwarded?: ForwardedKey | undefined;
}

/** Options of {@link Authenticator}. */
export interface AuthenticatorOptions {
  age: Pick<TableAge, "isOutdated" | "isUnexpected" | "update">;
  observer: Observer;
}

interface RevokedKey {
  readonly workspace: RoutingWorkspace;
  readonly atMs: number;
}

/** Holds the keys of the active routing table. */
export class Authenticator {
  #options: AuthenticatorOptions;
  #workspaces: readonly RoutingWorkspace[] = [];
  #index: KeyIndex | null = null;
  #revoked = new Map<Digest, RevokedKey>();

  constructor(options: AuthenticatorOptions) {
    this.#options = options;
  }

  /** Takes over the workspaces of a table that has become active. */
  setTable({ workspaces, version }: RoutingTable): void {
    const earlier = this.#workspaces;
    this.#workspaces = workspaces ?? [];
    const index = new KeyIndex(this.#workspaces);
    const revoked = this.#noteRevoked(earlier, index);
    const wasActive = this.isActive;
    this.#index = workspaces ? index : null;
    if (!this.isActive && !wasActive) return;
    this.#options.observer.log({
      event: "workspaces-in-force",
      version,
      workspaces: this.#workspaces.length,
      keys: countKeys(this.#workspaces),
      revoked,
    });
  }

  /** Whether the active table has workspaces. */
  get isActive(): boolean {
    return this.#index !== null;
  }

  /**
   * Whether the table should be updated before it judges a request: it doesn't know the
   * key, or may lack its revocation, and may be outdated.
   */
  needsUpdate(
    credentials: Credentials,
    route: Pick<Route, "isPublic">,
  ): boolean {
    const keyDigest = credentials.forwarded?.keyDigest ?? credentials.keyDigest;
    if (!this.#index || keyDigest === null || route.isPublic) return false;
    const { age } = this.#options;
    if (this.#find(credentials)) return age.isUnexpected;
    return this.#mayHaveKeyElsewhere(credentials) && age.isOutdated;
  }

  /** Waits for a newer table, for at most half of a request's time. */
  async update(timeoutMs: number): Promise<void> {
    await this.#options.age.update(UPDATE_SHARE * timeoutMs);
  }

  /**
   * Returns the workspace of a request; null if it needs none and has no known key.
   * Refused as `unauthenticated` if it needs a key and has no known one, and as
   * `unverified-key` if a newer table may have the key.
   */
  authenticate(
    credentials: Credentials,
    route: Pick<Route, "isPublic">,
  ): Result<RoutingWorkspace | null, NotRun> {
    if (!this.#index) return ok(null);
    const workspace = this.#find(credentials);
    if (workspace || route.isPublic) return ok(workspace);
    return this.#mayHaveKeyElsewhere(credentials)
      ? err(notRun("unverified-key", { retryAfterMs: UNVERIFIED_RETRY_MS }))
      : err(notRun("unauthenticated"));
  }

  // Another VM has known a forwarded key, so that this VM's table is older unless it saw
  // the key revoked.
  #mayHaveKeyElsewhere({ keyDigest, forwarded }: Credentials): boolean {
    if (forwarded) return !this.#revoked.has(forwarded.keyDigest);
    return keyDigest !== null && this.#options.age.isOutdated;
  }

  #find({ keyDigest, forwarded }: Credentials): RoutingWorkspace | null {
    if (!forwarded) return keyDigest && this.#index!.find(keyDigest);
    const known = this.#index!.find(forwarded.keyDigest);
    if (known?.id === forwarded.workspace) return known;
    // A revocation doesn't end the requests that were sent before.
    const revoked = this.#revoked.get(forwarded.keyDigest);
    const receivedAtMs = performance.now() - forwarded.receivedAgoMs;
    return revoked?.workspace.id === forwarded.workspace &&
        receivedAtMs < revoked.atMs
      ? revoked.workspace
      : null;
  }

  // Returns the number of keys that their workspaces no longer have.
  #noteRevoked(
    earlier: readonly RoutingWorkspace[],
    index: KeyIndex,
  ): number {
    const atMs = performance.now();
    for (const [keyDigest, revoked] of this.#revoked) {
      if (revoked.atMs < atMs - REVOKED_KEPT_MS) {
        this.#revoked.delete(keyDigest);
      }
    }
    let count = 0;
    for (const workspace of earlier) {
      for (const keyDigest of workspace.keyDigests) {
        if (index.find(keyDigest)?.id === workspace.id) continue;
        this.#revoked.set(keyDigest, { workspace, atMs });
        count += 1;
      }
    }
    return count;
  }
}

function countKeys(workspaces: readonly RoutingWorkspace[]): number {
  return workspaces.reduce((sum, { keyDigests }) => sum + keyDigests.length, 0);
}
