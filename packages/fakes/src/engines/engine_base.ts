/** What prefill and decode engines have in common: lagging reports, tombstones, orders, crashes. */
import type {
  EndpointId,
  EngineOrder,
  EngineRejection,
  HeldRun,
  LoadReport,
  StreamId,
} from "@teaselvalve/core";
import type { EngineProfile } from "./profile.ts";

const DEFAULT_MODEL_LOAD_MS = 3_000;

/** Options of a fake engine. */
export interface FakeEngineOptions {
  id: EndpointId;
  models: string[];
  profile: EngineProfile;
  random: () => number;
  /** Whether an order with an old fencing number is refused. */
  checksFencing?: boolean;
  /** Whether a cancel that overtakes its start wins. Defaults to true. */
  refusesCancelled?: boolean;
  /** Told of each order that took effect. */
  onOrder?: (order: EngineOrder) => void;
  /** How long an engine takes to load weights. */
  modelLoadMs?: number;
  /** Told when a marked prompt crashes the engine. */
  onCrash?: () => void;
}

/** State that both roles of engine share. */
export abstract class FakeEngine {
  readonly id: EndpointId;
  readonly profile: EngineProfile;
  /** How many prefills or runs were ordered here, refused ones included. */
  ordersReceived = 0;
  protected readonly random: () => number;
  /** Runs that were taken in after their cancel was acknowledged. */
  readonly startedAfterCancel: StreamId[] = [];
  #cancelled = new Set<StreamId>();
  protected state: "live" | "leaving" = "live";
  protected models: string[];
  #options: FakeEngineOptions;
  #up = true;
  #boots = 1;
  #fencingNumber = 0;
  #orderedRole: "prefill" | "decode" | undefined;
  #adapters: readonly string[] = [];
  #modelVersion: string | undefined;
  #loadTimer: ReturnType<typeof setTimeout> | undefined;
  /** Whether an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** Told of each order that took effect. */
  onOrder: ((order: EngineOrder) => void) | undefined;
  /** How late orders take effect after they were sent, as after a freeze of their sender. */
  orderDelayMs = 0;
  #snapshots: { readonly takenAtMs: number; readonly report: LoadReport }[] =
    [];
  #reportTimer: ReturnType<typeof setInterval> | undefined;
  #reportsFrozen = false;

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.id = options.id;
    this.profile = options.profile;
    this.random = options.random;
    this.models = options.models;
    this.checksFencing = options.checksFencing ?? true;
    this.onOrder = options.onOrder;
  }

  abstract readonly role: "prefill" | "decode";
  /** All that the engine holds memory for. */
  abstract heldRuns(): HeldRun[];
  /** Drops everything, as a crash does. */
  protected abstract dropAll(): void;
  protected abstract queuedTokens(): number;

  /** False while the engine's process is gone. */
  get up(): boolean {
    return this.#up;
  }

  /** Whether reports stay as they are. */
  get reportsFrozen(): boolean {
    return this.#reportsFrozen;
  }

  /** Starts taking load reports. */
  open(): void {
    this.#takeSnapshot();
    const [intervalMs] = this.profile.reportAgeRangeMs;
    this.#reportTimer = setInterval(() => this.#takeSnapshot(), intervalMs);
  }

  /** Ends timers, so that a process can exit. */
  close(): void {
    clearInterval(this.#reportTimer);
    clearTimeout(this.#loadTimer);
    this.dropAll();
  }

  /** Crashes the engine; it holds nothing afterwards and answers nobody. */
  crash(): void {
    if (!this.#up) return;
    this.#up = false;
    this.dropAll();
    this.#cancelled.clear();
    this.#options.onCrash?.();
  }

  /** Brings a crashed engine back, empty. */
  restart(): void {
    if (this.#up) return;
    this.#up = true;
    this.#boots += 1;
    // A new process has no older report to show, frozen or not.
    this.#snapshots = [];
    this.#pushSnapshot();
  }

  /** Announces that the engine will leave. */
  leave(): void {
    this.state = "leaving";
  }

  /** Keeps reports as they are, or lets them go on; an engine that leaves goes on reporting it. */
  freezeReports(frozen: boolean): void {
    this.#reportsFrozen = frozen && this.state === "live";
  }

  /** Remembers a cancel for a start that has not arrived yet. */
  protected recordCancel(stream: StreamId): void {
    this.#cancelled.add(stream);
  }

  /** Whether a start is refused as its cancel came before it. */
  protected isCancelled(stream: StreamId): boolean {
    if (!this.#cancelled.has(stream)) return false;
    if (this.#options.refusesCancelled ?? true) return true;
    this.startedAfterCancel.push(stream);
    return false;
  }

  /** The newest report that is old enough to have arrived. */
  report(): LoadReport {
    const nowMs = performance.now();
    const [leastMs, mostMs] = this.profile.reportAgeRangeMs;
    const oldestMs = nowMs - leastMs - this.random() * (mostMs - leastMs);
    const found =
      this.#snapshots.findLast((one) => one.takenAtMs <= oldestMs) ??
        this.#snapshots[0]!;
    return { ...found.report, ageMs: nowMs - found.takenAtMs };
  }

  /** Carries out an order, unless its fencing number is old and checked. */
  order(order: EngineOrder): EngineRejection | null {
    if (this.checksFencing && order.fencingNumber < this.#fencingNumber) {
      return "fenced";
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    this.#orderedRole = order.role ?? this.#orderedRole;
    if (this.#needsLoad(order)) this.#load(order);
    this.onOrder?.(order);
    return null;
  }

  #needsLoad(order: EngineOrder): boolean {
    const { model, modelVersion, adapters } = order;
    return (model !== undefined && !this.models.includes(model)) ||
      (modelVersion !== undefined && modelVersion !== this.#modelVersion) ||
      (adapters !== undefined &&
        JSON.stringify(adapters) !== JSON.stringify(this.#adapters));
  }

  #load(order: EngineOrder): void {
    clearTimeout(this.#loadTimer);
    const models = order.model ? [order.model] : this.models;
    this.models = [];
    this.#loadTimer = setTimeout(() => {
      this.#loadTimer = undefined;
      this.models = models;
      this.#adapters = order.adapters ?? this.#adapters;
      this.#modelVersion = order.modelVersion ?? this.#modelVersion;
    }, this.#options.modelLoadMs ?? DEFAULT_MODEL_LOAD_MS);
  }

  #takeSnapshot(): void {
    if (!this.#reportsFrozen && this.#up) this.#pushSnapshot();
  }

  #pushSnapshot(): void {
    this.#snapshots.push({
      takenAtMs: performance.now(),
      report: this.#currentReport(),
    });
    const keep = Math.ceil(
      this.profile.reportAgeRangeMs[1] / this.profile.reportAgeRangeMs[0],
    ) + 2;
    while (this.#snapshots.length > keep) this.#snapshots.shift();
  }

  #currentReport(): LoadReport {
    return {
      endpoint: this.id,
      boot: `${this.id}-${this.#boots}`,
      ageMs: 0,
      state: this.state,
      role: this.#orderedRole ?? this.role,
      models: [...this.models],
      adapters: this.#adapters,
      ...(this.#modelVersion ? { modelVersion: this.#modelVersion } : {}),
      loading: this.#loadTimer !== undefined,
      slots: this.profile.decodeSlots,
      memoryPieces: this.profile.kvBlocks,
      runs: this.heldRuns(),
      queuedTokens: this.queuedTokens(),
    };
  }
}
