/**
 * Load state of a shard's engines and the queue of streams for them, kept by the
 * shard's home: the VM that rendezvous hashing picks for the shard's key.
 *
 * Many VMs place streams on the same engines, and a VM's own streams say little
 * about an engine's total load or about the streams that wait at other VMs. The state
 * is a hint, held in memory and rebuilt from new requests; the engine's answer to a
 * reservation is authoritative.
 */
import type { EndpointId, VmId, WorkspaceId } from "../../common/ids.ts";
import { minimumBy } from "../queries/choose_endpoint.ts";
import type { EventTimes } from "./engine_preference.ts";
import { type EngineSpeed, EngineSpeeds } from "./engine_speeds.ts";
import type { AttemptId } from "../types.ts";
import {
  type EngineLoads,
  grow,
  holdPlace,
  rankFitting,
  type Ranking,
  soonestPlace,
} from "./engine_ranking.ts";
import { findStreamsToKeep } from "./kept_capacity.ts";
import {
  type EngineCapacity,
  heldTokens,
  type StreamLoad,
} from "./memory_forecast.ts";
import { StreamUse } from "./stream_use.ts";
import { compareWaiting } from "./waiting_order.ts";

/** A VM's load report expires after this time unless a newer one replaces it. */
const LOAD_REPORT_TTL_MS = 5_000;
/** A VM's report may have been sent before it got the answer that placed a stream. */
const PLACED_GRACE_MS = 100;
/** A waiting stream that hasn't asked for so long has ended at its VM. */
const WAITING_TTL_MS = 400;
/** Limits of the time after which a waiting stream asks again. */
const MIN_ASK_MS = 40;
const MAX_ASK_MS = 120;

/** Weight of the newest request in the average length of prompts. */
const PROMPT_WEIGHT = 0.05;
/** Room that any prompt needs, as a share of the average prompt. */
const SHORT_PROMPT_SHARE = 0.6;
/** Largest slowdown that is assumed of a prefill engine. */
const MAX_SLOWDOWN = 8;
/** Half-life of an engine's slowdown while nothing new is known about it. */
const SLOWDOWN_HALF_LIFE_MS = 2_500;
/** Below this the engine counts as well, so that it gets prompts again, which show whether it is. */
const MIN_SLOWDOWN = 1.5;

/** The streams of one VM by engine. */
export type VmLoads = readonly (readonly [EndpointId, readonly StreamLoad[]])[];

/** One VM's streams at the engines of a shard. */
export interface LoadReport {
  readonly vm: VmId;
  /** Key of the shard. One VM may be home for several. */
  readonly shard: string;
  readonly loads: VmLoads;
  /** Tokens that each of them generates per millisecond. */
  readonly tokensPerMs: number;
  /** Speeds of the shard's engines as the VM measured them lately. */
  readonly speeds?: readonly EngineSpeed[];
}

/** A stream that needs a place. */
export interface PlaceRequest {
  readonly attempt: AttemptId;
  readonly vm: VmId;
  readonly shard: string;
  readonly stream: StreamLoad;
  /** Engines that it may use. */
  readonly engines: readonly EndpointId[];
  readonly capacity: EngineCapacity;
  /** Tokens that a stream generates per millisecond. */
  readonly tokensPerMs: number;
  /** How long it may still wait for its place. */
  readonly spareMs: number;
  /** Whether it joins the queue if there is no place. */
  readonly joins: boolean;
  /** Its priority, 0 being the highest, where the streams of its service have several. */
  readonly priority?: number;
  /** The workspace of its caller, if it has one. */
  readonly workspace?: WorkspaceId;
  /**
   * Whether it can't meet its target any more, so that it gets a place only if no other
   * stream needs it.
   */
  readonly isLate?: boolean;
  /** For late streams: the prefill engines that it may use; empty if the service has none. */
  readonly prefillEngines?: readonly EndpointId[];
  /** What its events are like; absent from VMs of earlier builds. */
  readonly events?: EventTimes;
}

/** Where a stream goes, or how long it has to wait. */
export type PlaceAnswer =
  /** Engines that have room, least loaded first. */
  | { readonly kind: "place"; readonly engines: readonly EndpointId[] }
  /** Room is expected in time; ask again after `askAgainMs`. */
  | {
    readonly kind: "wait";
    readonly waitMs: number;
    readonly askAgainMs: number;
  }
  /** No room is expected within the time that the stream may wait. */
  | { readonly kind: "full" };

interface VmLoadReport {
  readonly streams: ReadonlyMap<EndpointId, readonly StreamLoad[]>;
  readonly tokensPerMs: number;
  readonly atMs: number;
}

interface PlacedStream {
  readonly vm: VmId;
  readonly shard: string;
  readonly engine: EndpointId;
  readonly stream: StreamLoad;
  readonly atMs: number;
  readonly isLate: boolean;
}

interface WaitingStream {
  readonly request: PlaceRequest;
  readonly latestMs: number;
  readonly askedAtMs: number;
}

/** Holds the load state and the queues of the shards that one VM is home for. */
export class PlacementHome {
  /** The newest report of each VM on each shard. */
  #reports = new Map<string, VmLoadReport>();
  /** Streams placed so recently that the reports of their VMs may not include them. */
  #placed: PlacedStream[] = [];
  #waiting = new Map<AttemptId, WaitingStream>();
  #use = new StreamUse();
  #meanPromptTokens = 0;
  #speeds = new EngineSpeeds();
  #busyUntilMs = new Map<EndpointId, number>();
  /** Prefill engines that took longer than expected, in multiples of the expected time. */
  #slowdowns = new Map<EndpointId, { factor: number; atMs: number }>();

  /** Number of streams that wait for a place. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns the KV cache that streams use at the engines, in tokens. */
  heldTokens(engines: readonly EndpointId[]): number {
    const loads = this.#collectLoads(engines, performance.now());
    return [...loads.values()].flat().reduce(
      (sum, stream) => sum + heldTokens(stream),
      0,
    );
  }

  /** Records a VM's load report, which replaces its previous one on the same shard. */
  noteLoads({ vm, shard, loads, tokensPerMs, speeds }: LoadReport): void {
    const atMs = performance.now();
    this.#speeds.note(vm, speeds);
    this.#reports.set(`${vm} ${shard}`, {
      streams: new Map(loads),
      tokensPerMs,
      atMs,
    });
    this.#placed = this.#placed.filter((placed) =>
      placed.vm !== vm || placed.shard !== shard ||
      atMs - placed.atMs < PLACED_GRACE_MS
    );
  }

  /**
   * Finds a place for a stream, after those that wait and go first: by priority, then by
   * the latest time at which they can start. A stream that is placed counts towards the
   * first engine of the answer. Short prompts need more room than they take; otherwise
   * they would use up what is left piece by piece, and long ones would be refused far
   * more often.
   */
  place(request: PlaceRequest): PlaceAnswer {
    const { promptTokens } = request.stream;
    this.#meanPromptTokens += (promptTokens - this.#meanPromptTokens) *
      (this.#meanPromptTokens === 0 ? 1 : PROMPT_WEIGHT);
    const needed = Math.max(
      promptTokens,
      SHORT_PROMPT_SHARE * this.#meanPromptTokens,
    );
    const sized = {
      ...request,
      stream: { ...request.stream, promptTokens: needed },
    };
    const nowMs = performance.now();
    this.#expireWaiting(nowMs);
    this.#waiting.delete(request.attempt);
    const answer = request.isLate
      ? this.#placeLate(sized, nowMs)
      : this.#place(sized, nowMs);
    if (answer.kind === "place") {
      const { vm, shard, stream, isLate = false } = request;
      const [engine] = answer.engines as [EndpointId];
      this.#placed.push({ vm, shard, engine, stream, atMs: nowMs, isLate });
      if (!isLate) this.#use.notePlaced(request);
    }
    return answer;
  }

  #place(request: PlaceRequest, nowMs: number): PlaceAnswer {
    this.#use.noteOffered(request);
    const loads = this.#collectLoads(request.engines, nowMs);
    const latestMs = nowMs + request.spareMs;
    const order = this.#use.order();
    const own = order(request, latestMs);
    const ahead = [...this.#waiting.values()]
      .map((waiting) => ({
        request: waiting.request,
        order: order(waiting.request, waiting.latestMs),
      }))
      .filter((waiting) => compareWaiting(waiting.order, own) < 0)
      .sort((a, b) => compareWaiting(a.order, b.order));
    const ranking = this.#rankingOf(request);
    for (const waiting of ahead) {
      holdPlace(loads, { ...ranking, request: waiting.request });
    }
    this.#keepCapacity(loads, ranking);
    const engines = rankFitting(loads, ranking);
    if (engines.length > 0) return { kind: "place", engines };
    const waitMs = soonestPlace(loads, ranking)?.delayMs;
    if (waitMs === undefined) return { kind: "full" };
    if (request.joins) {
      const waiting = { request, latestMs, askedAtMs: nowMs };
      this.#waiting.set(request.attempt, waiting);
    }
    const askAgainMs = Math.min(MAX_ASK_MS, Math.max(MIN_ASK_MS, waitMs));
    return { kind: "wait", waitMs, askAgainMs };
  }

  // A late stream waits for none, and takes nothing that others could use in time.
  #placeLate(request: PlaceRequest, nowMs: number): PlaceAnswer {
    if (!this.#hasIdlePrefill(request, nowMs)) return { kind: "full" };
    const loads = this.#collectLoads(request.engines, nowMs);
    const ranking = this.#rankingOf(request);
    for (const { request: waiting } of this.#waiting.values()) {
      holdPlace(loads, { ...ranking, request: waiting });
    }
    this.#keepCapacity(loads, ranking);
    const engines = rankFitting(loads, ranking);
    return engines.length > 0 ? { kind: "place", engines } : { kind: "full" };
  }

  // Late streams that were placed just now may not have chosen their prefill engines yet.
  #hasIdlePrefill(
    { shard, prefillEngines = [] }: PlaceRequest,
    nowMs: number,
  ): boolean {
    if (prefillEngines.length === 0) return true;
    const idle = prefillEngines.filter((engine) =>
      (this.#busyUntilMs.get(engine) ?? 0) <= nowMs
    );
    const late = this.#placed.filter((placed) =>
      placed.isLate && placed.shard === shard &&
      nowMs - placed.atMs < PLACED_GRACE_MS
    );
    return idle.length > late.length;
  }

  // Keeps the capacity that streams which go first will need before more becomes free.
  #keepCapacity(loads: EngineLoads, ranking: Ranking): void {
    const { request } = ranking;
    const arrivals = this.#use.arrivalsBefore(request);
    const kept = findStreamsToKeep(arrivals, { ...request, loads });
    for (const stream of kept) {
      holdPlace(loads, { ...ranking, request: { ...request, stream } });
    }
  }

  #rankingOf(request: PlaceRequest): Ranking {
    const speeds = this.#speeds;
    const speedOf = speeds.relative("decode", request.engines);
    return { request, speeds, speedOf };
  }

  /**
   * Chooses the prefill engine that finishes the prompt first, `extraMs` included, and
   * adds the prompt to its queue. `waitMs` is the time until the engine starts
   * on the prompt, `readMs` the expected duration of the prefill. Returns null for
   * an empty list.
   */
  choosePrefill(
    engines: readonly EndpointId[],
    options: { readMs: number; extraMs: (engine: EndpointId) => number },
  ): { engine: EndpointId; waitMs: number } | null {
    const nowMs = performance.now();
    const speedOf = this.#speeds.relative("prefill", engines);
    const freeAtMs = (engine: EndpointId) =>
      Math.max(nowMs, this.#busyUntilMs.get(engine) ?? 0);
    const readMsAt = (engine: EndpointId) =>
      options.readMs *
      Math.max(this.#slowdownOf(engine, nowMs), 1 / speedOf(engine));
    const best = minimumBy(
      engines,
      (engine) => freeAtMs(engine) + readMsAt(engine) + options.extraMs(engine),
    );
    if (best === undefined) return null;
    const waitMs = freeAtMs(best) - nowMs;
    this.#busyUntilMs.set(best, freeAtMs(best) + readMsAt(best));
    return { engine: best, waitMs };
  }

  /** Records that a prefill took `factor` times as long as was expected with its queue. */
  noteSlowPrefill(engine: EndpointId, factor: number): void {
    const atMs = performance.now();
    const current = this.#slowdownOf(engine, atMs);
    this.#slowdowns.set(engine, {
      factor: Math.min(MAX_SLOWDOWN, Math.max(current, factor)),
      atMs,
    });
  }

  #slowdownOf(engine: EndpointId, nowMs: number): number {
    const slowdown = this.#slowdowns.get(engine);
    if (!slowdown) return 1;
    const halvings = (nowMs - slowdown.atMs) / SLOWDOWN_HALF_LIFE_MS;
    const factor = 1 + (slowdown.factor - 1) * 2 ** -halvings;
    if (factor >= MIN_SLOWDOWN) return factor;
    this.#slowdowns.delete(engine);
    return 1;
  }

  #expireWaiting(nowMs: number): void {
    for (const [attempt, { askedAtMs }] of this.#waiting) {
      if (nowMs - askedAtMs > WAITING_TTL_MS) this.#waiting.delete(attempt);
    }
  }

  // Streams have grown since they were reported, and some have ended.
  #collectLoads(
    engines: readonly EndpointId[],
    nowMs: number,
  ): EngineLoads {
    const loads: EngineLoads = new Map(engines.map((engine) => [engine, []]));
    const speedOf = this.#speeds.relative("decode", engines);
    for (const [key, report] of this.#reports) {
      const ageMs = nowMs - report.atMs;
      if (ageMs > LOAD_REPORT_TTL_MS) {
        this.#reports.delete(key);
        continue;
      }
      for (const [engine, streams] of report.streams) {
        const grown = streams.flatMap((stream) =>
          grow(stream, ageMs * report.tokensPerMs * speedOf(engine))
        );
        loads.get(engine)?.push(...grown);
      }
    }
    this.#placed = this.#placed.filter(({ atMs }) =>
      nowMs - atMs <= LOAD_REPORT_TTL_MS
    );
    for (const { engine, stream } of this.#placed) {
      loads.get(engine)?.push(stream);
    }
    return loads;
  }
}
