/** The latest changes that a VM activated, for peers that fetch with a cursor. */
import type { ConfigurationChange } from "./types.ts";

/** A peer whose cursor is older than the kept changes gets a snapshot. */
const MAX_KEPT_CHANGES = 256;
/** Maximum changes per answer; the peer requests the rest with the next cursor. */
const MAX_BATCH_CHANGES = 32;

/** Consecutive changes after a cursor. */
export interface ChangeBatch {
  readonly changes: readonly ConfigurationChange[];
  /** Whether more changes follow; the next cursor is the last change's version. */
  readonly more: boolean;
}

/** Keeps changes of consecutive versions, oldest first. */
export class ChangeLog {
  #changes: ConfigurationChange[] = [];

  /** Adds the newest change; clears the log first if versions are missing in between. */
  add(change: ConfigurationChange): void {
    const last = this.#changes.at(-1)?.head.version;
    if (last !== undefined && last !== change.head.version - 1) this.clear();
    this.#changes.push(change);
    if (this.#changes.length > MAX_KEPT_CHANGES) this.#changes.shift();
  }

  /** Removes all changes; called after a snapshot, which leaves a gap. */
  clear(): void {
    this.#changes = [];
  }

  /** Lists the changes after a version, or null if some of them are no longer kept. */
  listAfter(version: number): ChangeBatch | null {
    const first = this.#changes[0]?.head.version;
    if (first === undefined || version < first - 1) return null;
    const following = this.#changes.slice(version - first + 1);
    const changes = following.slice(0, MAX_BATCH_CHANGES);
    return { changes, more: changes.length < following.length };
  }
}
