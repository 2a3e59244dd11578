/** A prefix cache of limited size whose events arrive late and are partly lost. */
import type { CacheEvent } from "@teaselvalve/core";
import type { EngineProfile } from "./profile.ts";

const MAX_EVENTS = 4_096;

interface PendingEvent {
  readonly visibleAtMs: number;
  readonly event: CacheEvent;
}

/** Keeps the most recently used blocks of prompts. */
export class PrefixCache {
  #blocks = new Map<string, true>();
  #events: PendingEvent[] = [];
  #sequence = 0;
  #profile: EngineProfile;
  #random: () => number;

  constructor(profile: EngineProfile, random: () => number) {
    this.#profile = profile;
    this.#random = random;
  }

  /** Counts how many leading blocks are held. */
  match(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /** Adds blocks and evicts the least recently used ones. */
  add(blocks: readonly string[]): void {
    for (const block of blocks) {
      if (!this.#blocks.delete(block)) this.#emit("added", block);
      this.#blocks.set(block, true);
    }
    while (this.#blocks.size > this.#profile.prefixCacheBlocks) {
      const [oldest] = this.#blocks.keys();
      this.#blocks.delete(oldest!);
      this.#emit("removed", oldest!);
    }
  }

  /** Empties the cache, as a restart does. */
  clear(): void {
    this.#blocks.clear();
  }

  /** Returns the events after a sequence number that have arrived by now. */
  eventsAfter(after: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.#events
      .filter((pending) =>
        pending.event.sequence > after && pending.visibleAtMs <= nowMs
      )
      .map((pending) => pending.event);
  }

  #emit(kind: CacheEvent["kind"], block: string): void {
    this.#sequence += 1;
    if (this.#random() < this.#profile.eventLossShare) return;
    const [minMs, maxMs] = this.#profile.eventDelayRangeMs;
    this.#events.push({
      visibleAtMs: performance.now() + minMs +
        this.#random() * (maxMs - minMs),
      event: { sequence: this.#sequence, kind, block },
    });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }
}
