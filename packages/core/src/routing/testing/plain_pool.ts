/** Simulates replicas of a plain service, and VMs that send calls to them, on fake timers. */
import type { EndpointId } from "../../common/ids.ts";
import { EndpointRecord } from "../endpoint_record.ts";
import { createRandom, drawLogNormal } from "./engine_pool.ts";
import { entry } from "./fake_endpoints.ts";

/** Time between a VM and a replica, one way. */
const LINK_MS = 0.5;
const MAX_SENDS = 4;
/** How long a replica that refused a call counts as full, as in `call_run.ts`. */
const FULL_FOR_MS = 50;
const WINDOW_MS = 100;
/** Windows with fewer requests per replica on average say little about their balance. */
const MIN_MEAN_HELD = 2;
const SAMPLE_MS = 5;

/** Options of {@link PlainPool}. */
export interface PlainPoolOptions {
  vms: number;
  replicas: number;
  slots: number;
  /** Calls that wait at a replica; further ones are refused. */
  queue: number;
  /** Median and spread of the processing time. */
  processingMs: number;
  sigma: number;
  seed: number;
  /** Multiple of the processing time at a replica, at a time. */
  slowness?: (replica: number, nowMs: number) => number;
}

/** One VM's view, from which a policy chooses. */
export interface PlainVm {
  readonly index: number;
  readonly records: readonly EndpointRecord[];
  /** Load of each replica as reported last, and when. */
  reported: { atMs: number; held: readonly number[] };
}

/** Chooses the replica of a call by its index; undefined if all were tried. */
export type PlainPolicy = (
  vm: PlainVm,
  options: {
    tried: ReadonlySet<EndpointId>;
    random: () => number;
    pool: PlainPool;
  },
) => number | undefined;

class Replica {
  running = 0;
  readonly waiting: (() => void)[] = [];

  get held(): number {
    return this.running + this.waiting.length;
  }
}

/** Replicas and VMs. Calls arrive at random VMs. */
export class PlainPool {
  readonly latenciesMs: number[] = [];
  /** Sends that a replica refused, and calls that no replica took. */
  rejected = 0;
  failed = 0;
  arrivals = 0;
  readonly replicas: readonly Replica[];
  /** Ratios of the busiest replica to the mean, by window. */
  readonly ratios: number[] = [];
  /** Samples in which a call waited at one replica while another had a free slot. */
  idleSamples = 0;
  samples = 0;
  #options: PlainPoolOptions;
  #policy: PlainPolicy;
  #vms: PlainVm[];
  #random: () => number;
  #windowHeld: number[];
  #windowSamples = 0;

  constructor(options: PlainPoolOptions, policy: PlainPolicy) {
    this.#options = options;
    this.#policy = policy;
    this.#random = createRandom(options.seed);
    this.replicas = Array.from(
      { length: options.replicas },
      () => new Replica(),
    );
    this.#windowHeld = this.replicas.map(() => 0);
    const entries = this.replicas.map((_, index) =>
      entry(`r${index}`, { slots: options.slots, address: `10.0.2.${index}:1` })
    );
    this.#vms = Array.from({ length: options.vms }, (_, index) => ({
      index,
      records: entries.map((item) => new EndpointRecord(item)),
      reported: { atMs: 0, held: this.replicas.map(() => 0) },
    }));
  }

  /** Sends calls at random times for `durationMs`; `ratePerS` may depend on the time. */
  start(durationMs: number, ratePerS: (nowMs: number) => number): void {
    const startMs = performance.now();
    const next = () => {
      const nowMs = performance.now() - startMs;
      if (nowMs >= durationMs) return;
      const gapMs = -Math.log(1 - this.#random()) * 1_000 / ratePerS(nowMs);
      setTimeout(() => {
        const index = Math.floor(this.#random() * this.#vms.length);
        void this.#call(this.#vms[index]!);
        next();
      }, gapMs);
    };
    next();
    const sampler = setInterval(() => this.#sample(), SAMPLE_MS);
    setTimeout(() => clearInterval(sampler), durationMs);
    for (const vm of this.#vms) {
      const report = () => {
        const held = this.replicas.map((replica) => replica.held);
        vm.reported = { atMs: performance.now(), held };
      };
      const reports = setInterval(report, 1_000 * (0.9 + 0.2 * this.#random()));
      setTimeout(() => clearInterval(reports), durationMs);
    }
  }

  #sample(): void {
    const { slots } = this.#options;
    const held = this.replicas.map((replica) => replica.held);
    held.forEach((count, index) => this.#windowHeld[index]! += count);
    this.#windowSamples += 1;
    this.samples += 1;
    const waits = this.replicas.some(({ waiting }) => waiting.length > 0);
    const isFree = this.replicas.some(({ running }) => running < slots);
    if (waits && isFree) this.idleSamples += 1;
    if (this.#windowSamples < WINDOW_MS / SAMPLE_MS) return;
    const means = this.#windowHeld.map((sum) => sum / this.#windowSamples);
    const mean = means.reduce((sum, value) => sum + value, 0) / means.length;
    if (mean >= MIN_MEAN_HELD) this.ratios.push(Math.max(...means) / mean);
    this.#windowHeld.fill(0);
    this.#windowSamples = 0;
  }

  async #call(vm: PlainVm): Promise<void> {
    this.arrivals += 1;
    const arrivedMs = performance.now();
    const tried = new Set<EndpointId>();
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const index = this.#policy(vm, {
        tried,
        random: this.#random,
        pool: this,
      });
      if (index === undefined) break;
      const record = vm.records[index]!;
      tried.add(record.entry.id);
      record.inFlight += 1;
      record.recentSends.add();
      const sentMs = performance.now();
      const isRun = await this.#run(index);
      record.inFlight -= 1;
      const nowMs = performance.now();
      if (!isRun) {
        this.rejected += 1;
        record.noteFull(nowMs + FULL_FOR_MS);
        continue;
      }
      record.noteSuccess(nowMs - sentMs);
      this.latenciesMs.push(nowMs - arrivedMs);
      return;
    }
    this.failed += 1;
  }

  async #run(index: number): Promise<boolean> {
    const { slots, queue, processingMs, sigma, slowness } = this.#options;
    const replica = this.replicas[index]!;
    await sleep(LINK_MS);
    if (replica.running >= slots && replica.waiting.length >= queue) {
      await sleep(LINK_MS);
      return false;
    }
    if (replica.running >= slots) {
      await new Promise<void>((begin) => replica.waiting.push(begin));
    }
    replica.running += 1;
    const drawnMs = drawLogNormal(processingMs, {
      sigma,
      random: this.#random,
    });
    await sleep(drawnMs * (slowness?.(index, performance.now()) ?? 1));
    replica.running -= 1;
    replica.waiting.shift()?.();
    await sleep(LINK_MS);
    return true;
  }
}

/** Returns the value below which a share of the values lies. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ] ??
    NaN;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
