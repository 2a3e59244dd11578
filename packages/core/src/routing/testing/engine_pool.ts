/** Simulates decode engines whose streams grow, and VMs that place streams on them, on fake timers. */
import { err, ok, type Result } from "neverthrow";
import {
  asId,
  type EndpointId,
  type VmId,
  type WorkspaceId,
} from "../../common/ids.ts";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import { wait } from "../../common/wait.ts";
import { hash48, rankByRendezvous } from "../../common/hash.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { RoutingContext } from "../context.ts";
import { DecodeQueue } from "../decode_queue.ts";
import { endLoad } from "../decode_reservation.ts";
import { StreamMeter } from "../placement/measured_speed.ts";
import { PlacementClient } from "../placement/client.ts";
import {
  createPlacementHandlers,
  type PlacementHandlers,
} from "../placement/handlers.ts";
import { PlacementHome } from "../placement/home.ts";
import type { SendFailure } from "../port.ts";
import { RequestClock } from "../request_clock.ts";
import type { EndpointEntry, EnginePool, ReservationId } from "../types.ts";
import {
  context,
  entry,
  FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
} from "./fake_endpoints.ts";

const STEP_MS = 50;
const TARGET_MS = 900;
/** Duration of each prefill. */
export const PREFILL_MS = 100;
const PEER_DELAY_MS = 2;

/** One stream of a load, in tokens. */
export interface LoadStream {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The caller's estimate of the output. */
  readonly expectedTokens: number;
  readonly maxTokens: number;
  readonly priority?: number;
  readonly workspace?: WorkspaceId;
  /** Target for its first event, if it isn't that of all. */
  readonly targetMs?: number;
}

/** What became of a stream; times are since its arrival. */
export interface LoadOutcome {
  readonly stream: LoadStream;
  /**
   * `refused` at `afterMs`, or the first event came then. A stream whose engine preempts
   * it or crashes is `interrupted`.
   */
  readonly kind: "served" | "interrupted" | "refused" | "lost";
  readonly afterMs: number;
  /** Where it had its place. */
  readonly engine?: EndpointId;
}

interface HeldStream {
  reservedTokens: number;
  promptTokens: number;
  generatedTokens: number;
  outputTokens: number;
  onGrowth: (generatedTokens: number) => void;
  end: (completed: boolean) => void;
}

/** Options of {@link SimulatedPool}. */
export interface SimulatedPoolOptions {
  vms: number;
  engines: number;
  slots: number;
  kvTokens: number;
  /** Tokens that a stream generates per millisecond at an engine that isn't slow. */
  tokensPerMs: number;
  /** Whether VMs ask the homes of the engines' shards. */
  hasHomes?: boolean;
  /** Whether homes are told the priorities and workspaces of streams. */
  tellsPriorities?: boolean;
  /** Whether VMs measure the speeds of engines. */
  measuresSpeeds?: boolean;
  /** Longest permitted gap between events; null if there is none. */
  maxEventGapMs?: number | null;
  /** Whether VMs choose shards by the loads that homes tell. */
  isBalancing?: boolean;
}

class SimulatedEngine {
  readonly streams = new Map<ReservationId, HeldStream>();
  slowness = 1;
  isDown = false;
  #reservations = 0;

  constructor(
    readonly entry: EndpointEntry,
    readonly options: SimulatedPoolOptions,
  ) {}

  /** Memory in use, with what is reserved and not used yet. */
  get heldTokens(): number {
    let sum = 0;
    for (const stream of this.streams.values()) {
      const used = stream.promptTokens + stream.generatedTokens;
      sum += Math.max(stream.reservedTokens, used);
    }
    return sum;
  }

  reserve(tokens: number): Result<ReservationId, SendFailure> {
    if (this.isDown) return err({ kind: "notSent", refused: true });
    const { slots, kvTokens } = this.options;
    const isFull = this.streams.size >= slots ||
      this.heldTokens + tokens > kvTokens;
    if (isFull) return err({ kind: "notExecuted", status: 503 });
    this.#reservations += 1;
    const id = asId<ReservationId>(`${this.entry.id}-${this.#reservations}`);
    this.streams.set(id, {
      reservedTokens: tokens,
      promptTokens: 0,
      generatedTokens: 0,
      outputTokens: Infinity,
      onGrowth() {},
      end() {},
    });
    return ok(id);
  }

  /** Lets all streams grow for a step; returns the number of preempted ones. */
  step(): number {
    for (const [id, stream] of this.streams) {
      if (stream.outputTokens === Infinity) continue;
      stream.generatedTokens += STEP_MS * this.options.tokensPerMs /
        this.slowness;
      stream.onGrowth(stream.generatedTokens);
      if (stream.generatedTokens < stream.outputTokens) continue;
      this.streams.delete(id);
      stream.end(true);
    }
    let preempted = 0;
    while (this.heldTokens > this.options.kvTokens) {
      const newest = [...this.streams].findLast(([, stream]) =>
        stream.promptTokens + stream.generatedTokens > stream.reservedTokens
      );
      if (!newest) break;
      preempted += 1;
      this.streams.delete(newest[0]);
      newest[1].end(false);
    }
    return preempted;
  }

  crash(): void {
    this.isDown = true;
    for (const { end } of this.streams.values()) end(false);
    this.streams.clear();
  }
}

interface SimulatedVm {
  readonly context: RoutingContext;
  readonly queue: DecodeQueue;
  readonly client: PlacementClient;
}

/** VMs and engines; streams are sent to the VMs in turn. */
export class SimulatedPool {
  readonly engines: readonly SimulatedEngine[];
  readonly outcomes: LoadOutcome[] = [];
  /** Homes that don't answer. */
  readonly silentHomes = new Set<VmId>();
  preempted = 0;
  #vms: SimulatedVm[];
  #homes = new Map<VmId, PlacementHandlers>();
  #arrivals = 0;
  #pool: EnginePool;
  #options: SimulatedPoolOptions;

  constructor(options: SimulatedPoolOptions) {
    const { slots, kvTokens } = options;
    this.#options = options;
    this.#pool = { ...POOL, slots, kvTokens, tokensPerEvent: 10 };
    this.engines = Array.from(
      { length: options.engines },
      (_, n) =>
        new SimulatedEngine(
          entry(`e${n}`, { stage: "decode", address: `10.0.${n}.1:1` }),
          options,
        ),
    );
    const ids = Array.from(
      { length: options.vms },
      (_, n) => asId<VmId>(`vm-${n}`),
    );
    for (const id of ids) {
      this.#homes.set(id, createPlacementHandlers(new PlacementHome()));
    }
    this.#vms = ids.map((id) => this.#createVm(id, { ids, ...options }));
    setInterval(() => {
      for (const engine of this.engines) this.preempted += engine.step();
    }, STEP_MS);
  }

  /** The VM that is home for a shard. */
  homeOf(shard: number): VmId {
    return rankByRendezvous(
      `placement/${SERVICE}/${shard}`,
      [...this.#homes.keys()],
    )[0]!;
  }

  /** Sends a stream, and records what becomes of it. */
  send(stream: LoadStream): void {
    this.#arrivals += 1;
    const vm = this.#vms[this.#arrivals % this.#vms.length]!;
    void this.#run(vm, stream);
  }

  async #run(
    { context, queue }: SimulatedVm,
    stream: LoadStream,
  ): Promise<void> {
    const arrivedAtMs = performance.now();
    let engineId: EndpointId | undefined = undefined;
    const record = (
      kind: LoadOutcome["kind"],
      atMs = performance.now(),
    ) => {
      const afterMs = atMs - arrivedAtMs;
      this.outcomes.push({ stream, kind, afterMs, engine: engineId });
    };
    const { promptTokens, expectedTokens, maxTokens } = stream;
    const { priority, workspace, targetMs = TARGET_MS } = stream;
    const reserved = await queue.enqueue({
      attempt: asId(`attempt-${this.#arrivals}`),
      clock: new RequestClock(
        request({ callerTimeoutMs: 14_000 }),
        route({
          targetLatencyMs: targetMs,
          timeoutMs: 14_000,
          maxEventGapMs: this.#options.maxEventGapMs ?? null,
        }),
      ),
      load: { promptTokens, generatedTokens: 0, expectedTokens, maxTokens },
      ...(this.#options.tellsPriorities ?? true ? { priority, workspace } : {}),
      prefillMs: PREFILL_MS,
      avoid: new Set(),
      version: null,
      mustBeOnTime: true,
      findRefusal: () => null,
      signal: new AbortController().signal,
    });
    if (reserved.isErr()) return record("refused");
    const { endpoint, reservationId, load } = reserved.value;
    engineId = endpoint.entry.id;
    await wait(PREFILL_MS);
    const engine = this.engines.find(({ entry: { id } }) =>
      id === endpoint.entry.id
    )!;
    const held = engine.streams.get(reservationId!);
    const decodedAtMs = performance.now();
    const completed = held !== undefined &&
      await new Promise<boolean>((end) => {
        held.promptTokens = promptTokens;
        held.outputTokens = stream.outputTokens;
        const meter = new StreamMeter(endpoint.decodeSpeed);
        held.onGrowth = (tokens) => {
          load.generatedTokens = tokens;
          if (this.#options.measuresSpeeds ?? true) meter.note(tokens);
        };
        held.end = end;
      });
    if (held === undefined) record("lost");
    else record(completed ? "served" : "interrupted", decodedAtMs);
    endLoad(context, reserved.value);
    if (!completed) return void endpoint.noteFailure(performance.now());
    endpoint.noteSuccess(0);
    context.outputs.note(SERVICE, {
      prompt: request({
        prompt: {
          model: "m",
          promptTokens,
          maxOutputTokens: maxTokens,
          expectedOutputTokens: expectedTokens,
          parts: [],
        },
      }).prompt,
      generatedTokens: stream.outputTokens,
      decodeMs: performance.now() - decodedAtMs,
    });
  }

  #createVm(
    id: VmId,
    { ids, hasHomes = true, isBalancing = true }: SimulatedPoolOptions & {
      ids: readonly VmId[];
    },
  ): SimulatedVm {
    const byId = new Map(
      this.engines.map((engine) => [engine.entry.id, engine]),
    );
    const port = new FakeEndpoints({
      reserve: (endpoint, tokens) => byId.get(endpoint.id)!.reserve(tokens),
    });
    port.releaseReservation = (endpoint, reservation) => {
      byId.get(endpoint.id as EndpointId)!.streams.delete(
        reservation as ReservationId,
      );
    };
    const shared = context(port, this.engines.map((engine) => engine.entry));
    // The first numbers of seeds in a row are nearly the same, as if VMs had agreed.
    const random = createRandom(hash48(id) % 2 ** 32);
    const client = new PlacementClient({
      endpoints: shared.endpoints,
      membership: {
        self: { id },
        homeOf: (key: string) => ({ id: rankByRendezvous(key, ids)[0]! }),
      } as never,
      peers: this.#createPeers(),
      prefillTimes: shared.prefillTimes,
      outputs: shared.outputs,
      observer: SILENT_OBSERVER,
      random,
      isBalancing: () => isBalancing,
    });
    const placement = hasHomes ? client : shared.placement;
    const vm = { ...shared, placement, random };
    if (hasHomes) client.start();
    const queue = new DecodeQueue(vm, {
      service: SERVICE,
      pool: () => this.#pool,
    });
    return { context: vm, queue, client };
  }

  #createPeers(): PeerPort {
    return {
      call: async (peer, method, { params, timeoutMs }) => {
        const id = peer.id as VmId;
        if (this.silentHomes.has(id)) {
          await wait(timeoutMs);
          return err({ kind: "timeout" });
        }
        await wait(PEER_DELAY_MS);
        const handlers = this.#homes.get(id)!;
        const handle = handlers[method as keyof typeof handlers];
        return ok(handle(params as never) as never);
      },
    };
  }
}

/** A linear congruential generator, so that each run is the same. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** Draws a log-normal value. */
export function drawLogNormal(
  median: number,
  { sigma, random }: { sigma: number; random: () => number },
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return median * Math.exp(sigma * normal);
}
