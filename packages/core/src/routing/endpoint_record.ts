/** One endpoint: its directory entry, the work sent to it, and its health. */
import { DecayingCount } from "../common/decaying_count.ts";
import { hash48 } from "../common/hash.ts";
import { MeasuredSpeed } from "./placement/measured_speed.ts";
import type { StreamLoad } from "./placement/memory_forecast.ts";
import type { EndpointEntry } from "./types.ts";

/** Weight of the newest answer in the moving average of latencies. */
const LATENCY_WEIGHT = 0.2;
/** Age from which an endpoint's latency says little about it. */
const STALE_LATENCY_MS = 1_500;
/** Duration of an endpoint's first ejection; doubles with each further failure in a row. */
const EJECTION_BASE_MS = 500;
const EJECTION_MAX_MS = 8_000;
/** How long an endpoint whose KV cache expired too early gets no prefills; doubles each time in a row. */
const EXPIRY_COOLDOWN_BASE_MS = 1_000;
/** Failures in a row after which an endpoint is ejected. */
const EJECTION_FAILURES = 2;

/** The state of one incarnation of an endpoint, as this VM sees it. */
export class EndpointRecord {
  #entry: EndpointEntry;
  #removedAtMs = Infinity;
  #failuresInRow = 0;
  #ejectedUntilMs = -Infinity;
  #fullUntilMs = -Infinity;
  #limitedUntilMs = -Infinity;
  #reconfiguringUntilMs = -Infinity;
  #latencyMs: number | null = null;
  #latencyAtMs = -Infinity;
  #expiriesInRow = 0;
  #handlesExpireUntilMs = -Infinity;
  /** Requests from this VM that the endpoint is working on. */
  inFlight = 0;
  /** KV cache that this VM's requests use there, in tokens. */
  inFlightTokens = 0;
  /** Requests that this VM has sent there lately. */
  readonly recentSends = new DecayingCount();
  /** Tokens that each of this VM's streams there generates per millisecond. */
  readonly decodeSpeed = new MeasuredSpeed();
  /** Prompt tokens that it processes per millisecond, measured at this VM's prompts. */
  readonly prefillSpeed = new MeasuredSpeed();
  /** This VM's streams that decode there, or are about to. */
  readonly streams = new Set<StreamLoad>();
  /** Hash of its id, which decides on its shard. */
  readonly idHash: number;

  constructor(entry: EndpointEntry) {
    this.#entry = entry;
    this.idHash = hash48(entry.id);
  }

  get entry(): EndpointEntry {
    return this.#entry;
  }

  /** True from {@link setMissing} until the directory lists it again. */
  get missing(): boolean {
    return this.#removedAtMs !== Infinity;
  }

  /** Consecutive failures of sends from this VM. */
  get failuresInRow(): number {
    return this.#failuresInRow;
  }

  get ejectedUntilMs(): number {
    return this.#ejectedUntilMs;
  }

  /**
   * Moving average of answer times, or null before the first answer. It begins anew with
   * an answer before which it was stale.
   */
  get latencyMs(): number | null {
    return this.#latencyMs;
  }

  /** The latency, or null if its last answer is too old to go by. */
  freshLatencyMs(nowMs: number): number | null {
    return nowMs - this.#latencyAtMs < STALE_LATENCY_MS
      ? this.#latencyMs
      : null;
  }

  /** Replaces the entry by a newer one of the same incarnation. */
  update(entry: EndpointEntry): void {
    // A new stage means that the stage order has been executed.
    if (entry.stage !== this.#entry.stage) {
      this.#reconfiguringUntilMs = -Infinity;
    }
    this.#entry = entry;
    this.#removedAtMs = Infinity;
  }

  /** Records that it is about to stop, which its directory entry may not show yet. */
  setDraining(): void {
    this.#entry = { ...this.#entry, state: "draining" };
  }

  /**
   * Records that the directory no longer lists it, or that another endpoint has
   * its address. It counts as removed from `removedAtMs` on.
   */
  setMissing(removedAtMs: number): void {
    this.#removedAtMs = removedAtMs;
  }

  isRemoved(nowMs: number): boolean {
    return nowMs >= this.#removedAtMs;
  }

  /** Whether new work may be sent, regardless of its health. */
  mayTakeWork(nowMs: number): boolean {
    return this.#entry.state === "ready" && !this.isRemoved(nowMs) &&
      !this.isReconfiguring(nowMs);
  }

  /** Whether it was ordered to change its stage and may not have done so yet. */
  isReconfiguring(nowMs: number): boolean {
    return nowMs < this.#reconfiguringUntilMs;
  }

  /** Stops new work at least until `untilMs`, or until an entry shows the new stage. */
  noteStageOrder(untilMs: number): void {
    this.#reconfiguringUntilMs = Math.max(this.#reconfiguringUntilMs, untilMs);
  }

  /** False while it is ejected after failures. */
  isHealthy(nowMs: number): boolean {
    return nowMs >= this.#ejectedUntilMs;
  }

  /** True for a short time after it refused work for lack of capacity, and while it is limited. */
  isFull(nowMs: number): boolean {
    return nowMs < this.#fullUntilMs || this.isLimited(nowMs);
  }

  /** Until when the limit that it names is used up, or the pause that it asked for lasts. */
  get limitedUntilMs(): number {
    return this.#limitedUntilMs;
  }

  isLimited(nowMs: number): boolean {
    return nowMs < this.#limitedUntilMs;
  }

  noteLimited(untilMs: number): void {
    this.#limitedUntilMs = Math.max(this.#limitedUntilMs, untilMs);
  }

  noteFull(untilMs: number): void {
    this.#fullUntilMs = Math.max(this.#fullUntilMs, untilMs);
  }

  /** Records that it has a free slot, as it has just answered a call. */
  noteRoom(): void {
    this.#fullUntilMs = -Infinity;
  }

  noteSuccess(tookMs: number): void {
    this.#failuresInRow = 0;
    this.#ejectedUntilMs = -Infinity;
    const nowMs = performance.now();
    const freshMs = this.freshLatencyMs(nowMs);
    this.#latencyAtMs = nowMs;
    this.#latencyMs = freshMs === null
      ? tookMs
      : freshMs + LATENCY_WEIGHT * (tookMs - freshMs);
  }

  /** Counts a failure; returns true if the endpoint is ejected from now on. */
  noteFailure(nowMs: number): boolean {
    this.#failuresInRow += 1;
    const excess = this.#failuresInRow - EJECTION_FAILURES;
    if (excess < 0) return false;
    const cooldownMs = Math.min(
      EJECTION_MAX_MS,
      EJECTION_BASE_MS * 2 ** excess,
    );
    this.#ejectedUntilMs = nowMs + cooldownMs;
    return true;
  }

  /** Ends its ejection and forgets its failures. */
  endEjection(): void {
    this.#failuresInRow = 0;
    this.#ejectedUntilMs = -Infinity;
  }

  /** Records whether the KV cache of one of its prefills could be fetched. */
  noteHandleFetch(fetched: boolean): void {
    this.#expiriesInRow = fetched ? 0 : this.#expiriesInRow + 1;
    if (fetched) {
      this.#handlesExpireUntilMs = -Infinity;
      return;
    }
    const cooldownMs = EXPIRY_COOLDOWN_BASE_MS * 2 ** (this.#expiriesInRow - 1);
    this.#handlesExpireUntilMs = performance.now() +
      Math.min(EJECTION_MAX_MS, cooldownMs);
  }

  /** False while KV cache that it computes is likely to expire before it is fetched. */
  keepsHandles(nowMs: number): boolean {
    return nowMs >= this.#handlesExpireUntilMs;
  }
}
