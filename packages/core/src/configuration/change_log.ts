/** The most recent changes that a VM put in force, for peers that ask with a cursor. */
import type { ConfigurationChange } from "./types.ts";

/** Changes kept; a cursor older than that gets a snapshot. */
const MAX_KEPT_CHANGES = 256;
/** Changes in one answer; the asker comes back for more. */
const MAX_BATCH_CHANGES = 32;

/** Changes after a cursor. */
export interface ChangeBatch {
  readonly changes: readonly ConfigurationChange[];
  /** Whether more follow; the version of the last change is the next cursor. */
  readonly more: boolean;
}

/** Keeps changes without gaps, oldest first. */
export class ChangeLog {
  #changes: ConfigurationChange[] = [];

  /** Adds the change that made the newest version. */
  add(change: ConfigurationChange): void {
    const last = this.#changes.at(-1)?.head.version;
    if (last !== undefined && last !== change.head.version - 1) this.clear();
    this.#changes.push(change);
    if (this.#changes.length > MAX_KEPT_CHANGES) this.#changes.shift();
  }

  /** Forgets all changes, as after a snapshot. */
  clear(): void {
    this.#changes = [];
  }

  /** Lists the changes after a version; null when some of them are no longer kept. */
  listAfter(version: number): ChangeBatch | null {
    const first = this.#changes[0]?.head.version;
    if (first === undefined || version < first - 1) return null;
    const all = this.#changes.slice(version - first + 1);
    const changes = all.slice(0, MAX_BATCH_CHANGES);
    return { changes, more: changes.length < all.length };
  }
}
