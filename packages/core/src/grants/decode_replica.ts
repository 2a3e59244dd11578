/** The slot and memory book of one decode replica: its last report plus what was granted since. */
import type { Endpoint } from "../configuration/types.ts";
import type { HeldRun, LoadReport } from "../ports/engines.ts";
import type { EndpointId, StreamId } from "../common/ids.ts";
import { Availability } from "./availability.ts";

/** Tokens of one memory piece. */
export const TOKENS_PER_KV_BLOCK = 32;
const ENDED_KEPT_MS = 10_000;
/** A run that no report shows this long after its grant is taken for ended. */
const UNSEEN_MS = 4_000;
/** Use is computed again after this long, as answers grow. */
const USE_KEPT_MS = 5;
/** Time that a replica is given to free a run that has ended. */
const FREEING_MS = 1_000;

/** One run that holds a slot, or will. */
export interface SlotReservation {
  readonly stream: StreamId;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly grantedAtMs: number;
  readonly isolated: boolean;
  decodeStartedAtMs: number | undefined;
  generatedTokens: number;
  generatedAtMs: number;
}

/** Use of a decode replica at one moment. */
export interface DecodeUsage {
  readonly batchSize: number;
  readonly kvBlocks: number;
  /** Rate at which runs are expected to end. */
  readonly completionsPerMs: number;
}

/** Options of {@link DecodeReplica.applyReport}. */
export interface ReportOptions {
  nowMs: number;
  /** Told of a step time that two reports in a row show. */
  onStep: (members: number, stepMs: number) => void;
}

/** Keeps the book of one decode replica. */
export class DecodeReplica extends Availability {
  readonly id: EndpointId;
  slots: number;
  memoryPieces: number;
  #holds = new Map<StreamId, SlotReservation>();
  #endedAtMs = new Map<StreamId, number>();
  /** The last use that was computed; dropped with every change. */
  #kept: { nowMs: number; stepMs: number; use: DecodeUsage } | undefined;

  constructor(endpoint: Endpoint) {
    super();
    this.id = endpoint.id;
    this.slots = endpoint.slots;
    this.memoryPieces = endpoint.memoryPieces;
  }

  /** Adds a granted run. */
  reserve(hold: SlotReservation): void {
    this.#kept = undefined;
    this.#holds.set(hold.stream, hold);
  }

  /** Frees a run's slot. */
  release(stream: StreamId, nowMs: number): void {
    this.#kept = undefined;
    this.#holds.delete(stream);
    this.#endedAtMs.set(stream, nowMs);
  }

  /** Notes that a run's first token is under way. */
  startDecode(
    stream: StreamId,
    options: { nowMs: number; generatedTokens: number },
  ): void {
    const hold = this.#holds.get(stream);
    if (!hold) return;
    this.#kept = undefined;
    hold.decodeStartedAtMs = options.nowMs;
    hold.generatedAtMs = options.nowMs;
    hold.generatedTokens = options.generatedTokens;
  }

  /** Whether a run is in the book. */
  hasRun(stream: StreamId): boolean {
    return this.#holds.has(stream);
  }

  /** Whether any run, granted or reported, is here. */
  get isEmpty(): boolean {
    return this.#holds.size === 0;
  }

  /** Whether a run that must be alone is here. */
  get hasIsolatedRun(): boolean {
    for (const hold of this.#holds.values()) if (hold.isolated) return true;
    return false;
  }

  /** Members and memory, with tokens generated since the last report estimated by the step time. */
  usage(nowMs: number, stepMs: number): DecodeUsage {
    const kept = this.#kept;
    const isFresh = kept && nowMs - kept.nowMs < USE_KEPT_MS &&
      kept.stepMs === stepMs;
    if (isFresh) return kept.use;
    const use = this.#computeUse(nowMs, stepMs);
    this.#kept = { nowMs, stepMs, use };
    return use;
  }

  #computeUse(nowMs: number, stepMs: number): DecodeUsage {
    let pieces = 0;
    let endsPerMs = 0;
    for (const hold of this.#holds.values()) {
      const tokens = hold.decodeStartedAtMs === undefined
        ? 0
        : hold.generatedTokens + (nowMs - hold.generatedAtMs) / stepMs;
      pieces += Math.ceil((hold.promptTokens + tokens) / TOKENS_PER_KV_BLOCK);
      // A run that has passed its expected length is taken to be halfway through what is left.
      const leftTokens = Math.max(
        hold.expectedTokens - tokens,
        hold.expectedTokens / 2,
      );
      endsPerMs += 1 / (leftTokens * stepMs);
    }
    return {
      batchSize: this.#holds.size,
      kvBlocks: pieces,
      completionsPerMs: endsPerMs,
    };
  }

  /** Takes in a load report. */
  applyReport(report: LoadReport, options: ReportOptions): void {
    const { nowMs } = options;
    const takenAtMs = nowMs - report.ageMs;
    this.#kept = undefined;
    if (this.recordReport(report, takenAtMs)) this.#holds.clear();
    this.slots = report.slots;
    this.memoryPieces = report.memoryPieces;
    const seen = new Set<StreamId>();
    for (const run of report.runs) {
      seen.add(run.stream);
      const endedAtMs = this.#endedAtMs.get(run.stream);
      // A report from before the end still lists the run; a later one means that it was not freed.
      if (endedAtMs !== undefined && takenAtMs < endedAtMs + FREEING_MS) {
        continue;
      }
      const hold = this.#holds.get(run.stream);
      if (!hold) {
        this.#adopt(run, takenAtMs);
        continue;
      }
      this.#follow(hold, {
        generatedTokens: run.generatedTokens,
        takenAtMs,
        onStep: (stepMs) => options.onStep(report.runs.length, stepMs),
      });
    }
    this.#dropUnseen(seen, takenAtMs);
    this.#forgetEnded(nowMs);
  }

  #adopt(run: HeldRun, takenAtMs: number): void {
    const tokens = run.memoryPieces * TOKENS_PER_KV_BLOCK - run.generatedTokens;
    this.reserve({
      stream: run.stream,
      promptTokens: Math.max(1, tokens),
      expectedTokens: Math.max(100, run.generatedTokens * 2),
      grantedAtMs: takenAtMs,
      isolated: false,
      decodeStartedAtMs: takenAtMs,
      generatedTokens: run.generatedTokens,
      generatedAtMs: takenAtMs,
    });
  }

  #follow(
    hold: SlotReservation,
    seen: {
      generatedTokens: number;
      takenAtMs: number;
      onStep: (stepMs: number) => void;
    },
  ): void {
    if (seen.takenAtMs <= hold.generatedAtMs) return;
    const tokens = seen.generatedTokens - hold.generatedTokens;
    const elapsedMs = seen.takenAtMs - hold.generatedAtMs;
    if (hold.generatedTokens > 0 && tokens > 8) seen.onStep(elapsedMs / tokens);
    hold.generatedTokens = seen.generatedTokens;
    hold.generatedAtMs = seen.takenAtMs;
    hold.decodeStartedAtMs ??= seen.takenAtMs;
  }

  #dropUnseen(seen: ReadonlySet<StreamId>, takenAtMs: number): void {
    for (const hold of this.#holds.values()) {
      if (seen.has(hold.stream)) continue;
      if (takenAtMs > hold.grantedAtMs + UNSEEN_MS) {
        this.#holds.delete(hold.stream);
      }
    }
  }

  #forgetEnded(nowMs: number): void {
    for (const [stream, atMs] of this.#endedAtMs) {
      if (nowMs - atMs > ENDED_KEPT_MS) this.#endedAtMs.delete(stream);
      else break;
    }
  }
}
