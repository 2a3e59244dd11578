/** A prefix cache of limited size whose events arrive late and with gaps. */
import type { CacheEvent } from "@teaselvalve/core";
import type { EngineProfile } from "./profile.ts";

const MAX_EVENTS = 4_096;

interface PendingEvent {
  readonly visibleAtMs: number;
  readonly event: CacheEvent;
}

/** Keeps the most recently used blocks. */
export class PrefixCache {
  #blocks = new Map<string, true>();
  #events: PendingEvent[] = [];
  #sequence = 0;
  #figures: EngineProfile;
  #random: () => number;

  constructor(figures: EngineProfile, random: () => number) {
    this.#figures = figures;
    this.#random = random;
  }

  /** Counts how many leading blocks are held. */
  match(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /** Takes blocks in, dropping the least recently used. */
  add(blocks: readonly string[]): void {
    for (const block of blocks) {
      if (!this.#blocks.delete(block)) this.#emit("added", block);
      this.#blocks.set(block, true);
    }
    while (this.#blocks.size > this.#figures.prefixCacheBlocks) {
      const [oldest] = this.#blocks.keys();
      this.#blocks.delete(oldest!);
      this.#emit("removed", oldest!);
    }
  }

  /** Empties the cache, as a restart does. */
  clear(): void {
    this.#blocks.clear();
  }

  /** Events after a sequence number that have arrived by now. */
  eventsAfter(after: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.#events
      .filter((one) => one.event.sequence > after && one.visibleAtMs <= nowMs)
      .map((one) => one.event);
  }

  #emit(kind: CacheEvent["kind"], block: string): void {
    this.#sequence += 1;
    if (this.#random() < this.#figures.eventLossShare) return;
    const [leastMs, mostMs] = this.#figures.eventDelayRangeMs;
    this.#events.push({
      visibleAtMs: performance.now() + leastMs +
        this.#random() * (mostMs - leastMs),
      event: { sequence: this.#sequence, kind, block },
    });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }
}
