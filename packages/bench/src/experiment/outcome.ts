/** What became of one request, as its caller saw it. */
import type { NotRunReason } from "@teaselvalve/core";
import type { WorkItem } from "./workload.ts";

/** Time between caller and VM, one way. */
export const CALLER_LATENCY_MS = 3;
/** Time from an engine through the VM to the caller. */
const RELAY_MS = 3.5;

/** A moment in the course of a request. */
export interface TimelineEvent {
  readonly name: string;
  readonly atMs: number;
}

/** Collects what a caller sees. Times are on the rig's monotonic clock, counted from its start. */
export class Outcome {
  readonly item: WorkItem;
  readonly timeline: TimelineEvent[] = [];
  /** Runs at the engines, one for each attempt. */
  readonly streams: string[] = [];
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number | undefined;
  tokens = 0;
  done = false;
  gaveUp = false;
  lost = false;
  refusalReason: NotRunReason | undefined;
  /** Streams of which a token reached the caller. */
  readonly decodedStreams = new Set<string>();
  /** How often each time between tokens occurred, in tenths of a millisecond. */
  readonly gapCounts = new Map<number, number>();

  constructor(item: WorkItem) {
    this.item = item;
  }

  /** Notes a moment. */
  recordEvent(what: string): void {
    this.timeline.push({ name: what, atMs: performance.now() });
  }

  /** Takes tokens in. */
  receive(count: number, stream: string): void {
    const atMs = performance.now() + RELAY_MS;
    this.tokens += count;
    if (!this.decodedStreams.has(stream)) this.decodedStreams.add(stream);
    if (this.firstTokenAtMs === undefined) {
      this.firstTokenAtMs = atMs;
      this.recordEvent("first token");
    } else this.#countGap(atMs - this.lastTokenAtMs!);
    this.lastTokenAtMs = atMs;
  }

  /** Time to the first token, from the caller's sending. */
  firstTokenMs(originMs: number): number | undefined {
    if (this.firstTokenAtMs === undefined) return undefined;
    return this.firstTokenAtMs - originMs - this.item.arrivesAtMs;
  }

  /** Mean time between tokens; one that has not ended counts its wait until the run's end. */
  meanGapMs(endedAtMs: number): number {
    if (this.firstTokenAtMs === undefined) return 0;
    if (!this.done) {
      return (endedAtMs - this.firstTokenAtMs) / this.tokens;
    }
    if (this.tokens < 2) return 0;
    return (this.lastTokenAtMs! - this.firstTokenAtMs) / (this.tokens - 1);
  }

  #countGap(gapMs: number): void {
    const ticks = Math.round(gapMs * 10);
    this.gapCounts.set(ticks, (this.gapCounts.get(ticks) ?? 0) + 1);
  }
}
