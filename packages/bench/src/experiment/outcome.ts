/** Outcome of one request, as observed by its caller. */
import type { NotRunReason } from "@teaselvalve/core";
import type { WorkItem } from "./workload.ts";

/** One-way latency between caller and VM. */
export const CALLER_LATENCY_MS = 3;
/** Latency from an engine through the VM to the caller. */
const RELAY_LATENCY_MS = 3.5;

/** A step in the processing of a request. */
export interface TimelineEvent {
  readonly name: string;
  readonly atMs: number;
}

/** Records what a caller observes. Times are readings of the simulated `performance.now()`. */
export class Outcome {
  readonly item: WorkItem;
  readonly timeline: TimelineEvent[] = [];
  /** Stream ids of the runs at the engines, one for each attempt. */
  readonly streams: string[] = [];
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number | undefined;
  tokens = 0;
  done = false;
  gaveUp = false;
  lost = false;
  refusalReason: NotRunReason | undefined;
  /** Streams from which at least one token reached the caller. */
  readonly decodedStreams = new Set<string>();
  /** Number of occurrences of each time between tokens, keyed by tenths of a millisecond. */
  readonly gapCounts = new Map<number, number>();

  constructor(item: WorkItem) {
    this.item = item;
  }

  /** Adds an event with the current time to the timeline. */
  recordEvent(name: string): void {
    this.timeline.push({ name, atMs: performance.now() });
  }

  /** Records `count` tokens of a stream; they reach the caller one relay latency from now. */
  receive(count: number, stream: string): void {
    const atMs = performance.now() + RELAY_LATENCY_MS;
    this.tokens += count;
    if (!this.decodedStreams.has(stream)) this.decodedStreams.add(stream);
    if (this.firstTokenAtMs === undefined) {
      this.firstTokenAtMs = atMs;
      this.recordEvent("first token");
    } else this.#countGap(atMs - this.lastTokenAtMs!);
    this.lastTokenAtMs = atMs;
  }

  /** Time from the caller's sending until the first token; undefined if there is none. */
  firstTokenMs(originMs: number): number | undefined {
    if (this.firstTokenAtMs === undefined) return undefined;
    return this.firstTokenAtMs - originMs - this.item.arrivesAtMs;
  }

  /** Mean time between tokens; for an unfinished request, measured until the end of the run. */
  meanGapMs(endedAtMs: number): number {
    if (this.firstTokenAtMs === undefined) return 0;
    if (!this.done) {
      return (endedAtMs - this.firstTokenAtMs) / this.tokens;
    }
    if (this.tokens < 2) return 0;
    return (this.lastTokenAtMs! - this.firstTokenAtMs) / (this.tokens - 1);
  }

  #countGap(gapMs: number): void {
    const tenths = Math.round(gapMs * 10);
    this.gapCounts.set(tenths, (this.gapCounts.get(tenths) ?? 0) + 1);
  }
}
