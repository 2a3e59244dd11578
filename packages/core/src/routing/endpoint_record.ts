/** One endpoint: its entry, the work sent to it, and how it answered. */
import type { EndpointEntry } from "./types.ts";

/** Weight of the newest answer in the moving average of times. */
const LATENCY_WEIGHT = 0.2;
/** How long an endpoint rests after its first failure in a row; doubles with each further one. */
const EJECTION_BASE_MS = 500;
const EJECTION_MAX_MS = 8_000;
/** How long an endpoint whose KV cache lapsed too early reads no prompts; doubles with each further one. */
const LAPSE_BASE_MS = 1_000;
/** Failures in a row after which an endpoint rests. */
const EJECTION_FAILURES = 2;

/** Keeps what is known of one incarnation of an endpoint. */
export class EndpointRecord {
  #entry: EndpointEntry;
  #goneAtMs = Infinity;
  #failuresInRow = 0;
  #ejectedUntilMs = -Infinity;
  #fullUntilMs = -Infinity;
  #reconfiguresUntilMs = -Infinity;
  #latencyMs: number | null = null;
  #lapsesInRow = 0;
  #lapsedUntilMs = -Infinity;
  /** Requests of this VM that the endpoint works on. */
  inFlight = 0;
  /** Memory that this VM's requests take there. */
  inFlightTokens = 0;

  constructor(entry: EndpointEntry) {
    this.#entry = entry;
  }

  get entry(): EndpointEntry {
    return this.#entry;
  }

  /** True once the directory no longer lists it. */
  get missing(): boolean {
    return this.#goneAtMs !== Infinity;
  }

  /** Consecutive failures, as this VM saw them. */
  get failuresInRow(): number {
    return this.#failuresInRow;
  }

  get ejectedUntilMs(): number {
    return this.#ejectedUntilMs;
  }

  /** Moving average of answer times, or null before the first answer. */
  get latencyMs(): number | null {
    return this.#latencyMs;
  }

  /** Takes a newer entry of the same incarnation. */
  update(entry: EndpointEntry): void {
    // The order has been carried out.
    if (entry.stage !== this.#entry.stage) {
      this.#reconfiguresUntilMs = -Infinity;
    }
    this.#entry = entry;
    this.#goneAtMs = Infinity;
  }

  /** Notes that the directory no longer lists it; it counts as gone at the time given. */
  setMissing(goneAtMs: number): void {
    this.#goneAtMs = goneAtMs;
  }

  isRemoved(nowMs: number): boolean {
    return nowMs >= this.#goneAtMs;
  }

  /** Whether new work may be sent, apart from its health. */
  mayTakeWork(nowMs: number): boolean {
    return this.#entry.state === "ready" && !this.isRemoved(nowMs) &&
      nowMs >= this.#reconfiguresUntilMs;
  }

  /** Takes no work while an order is carried out; its entry says so only later. */
  noteStageOrder(untilMs: number): void {
    this.#reconfiguresUntilMs = untilMs;
  }

  /** False while it rests after failures. */
  isHealthy(nowMs: number): boolean {
    return nowMs >= this.#ejectedUntilMs;
  }

  /** True for a moment after it refused work for lack of room. */
  isFull(nowMs: number): boolean {
    return nowMs < this.#fullUntilMs;
  }

  noteFull(untilMs: number): void {
    this.#fullUntilMs = Math.max(this.#fullUntilMs, untilMs);
  }

  noteSuccess(tookMs: number): void {
    this.#failuresInRow = 0;
    this.#ejectedUntilMs = -Infinity;
    this.#latencyMs = this.#latencyMs === null
      ? tookMs
      : this.#latencyMs + LATENCY_WEIGHT * (tookMs - this.#latencyMs);
  }

  /** Counts a failure; true when the endpoint rests from now on. */
  noteFailure(nowMs: number): boolean {
    this.#failuresInRow += 1;
    const excess = this.#failuresInRow - EJECTION_FAILURES;
    if (excess < 0) return false;
    const restMs = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** excess);
    this.#ejectedUntilMs = nowMs + restMs;
    return true;
  }

  /** Notes whether KV cache that it had read could be fetched. */
  noteHandleFetch(fetched: boolean): void {
    this.#lapsesInRow = fetched ? 0 : this.#lapsesInRow + 1;
    if (fetched) {
      this.#lapsedUntilMs = -Infinity;
      return;
    }
    const restMs = LAPSE_BASE_MS * 2 ** (this.#lapsesInRow - 1);
    this.#lapsedUntilMs = performance.now() +
      Math.min(EJECTION_MAX_MS, restMs);
  }

  /** False while KV cache that it reads is likely to lapse before it is fetched. */
  keepsHandles(nowMs: number): boolean {
    return nowMs >= this.#lapsedUntilMs;
  }
}
