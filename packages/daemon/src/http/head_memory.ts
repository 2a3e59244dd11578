/** Memory of a head that is being parsed. */
import type { MemoryBudget, MemoryLease } from "@teaselvalve/core";

/** Memory that a byte of an unfinished head takes, as text and in the parser's tables. */
const MEMORY_PER_BYTE = 2;

/** Pays for a head that is incomplete. */
export class HeadMemory {
  #budget: MemoryBudget;
  #bytes = 0;
  #lease: MemoryLease | null = null;

  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /** Bytes of the head that were parsed. */
  get sizeBytes(): number {
    return this.#bytes;
  }

  add(sizeBytes: number): void {
    this.#bytes += sizeBytes;
  }

  /** Pays for what was added; returns false if that is impossible. */
  hold(): boolean {
    if (this.#bytes === 0) return true;
    const sizeBytes = MEMORY_PER_BYTE * this.#bytes;
    if (this.#lease?.resize(sizeBytes)) return true;
    this.#lease ??= this.#budget.reserve("head", sizeBytes);
    return this.#lease !== null;
  }

  release(): void {
    this.#bytes = 0;
    this.#lease?.release();
    this.#lease = null;
  }
}
