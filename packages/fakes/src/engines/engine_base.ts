/**
 * Base of the fake prefill and decode engines: delayed load reports, tombstones
 * of cancelled streams, orders and crashes.
 */
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

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions {
  id: EndpointId;
  models: string[];
  profile: EngineProfile;
  random: () => number;
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing?: boolean;
  /** Whether a start is refused if its cancel arrived first. Defaults to true. */
  refusesCancelled?: boolean;
  /** Called with each order that took effect. */
  onOrder?: (order: EngineOrder) => void;
  /** How long the engine takes to load model weights. Defaults to 3 s. */
  modelLoadMs?: number;
  /** Called when the engine crashes, whatever the cause. */
  onCrash?: () => void;
}

/** State and behaviour that both engine roles share. */
export abstract class FakeEngine {
  readonly id: EndpointId;
  readonly profile: EngineProfile;
  /** Number of prefills or runs that were requested, including refused ones. */
  ordersReceived = 0;
  protected readonly random: () => number;
  /** Runs that were started after their cancel had been acknowledged. */
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
  #modelLoadTimer: ReturnType<typeof setTimeout> | undefined;
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing: boolean;
  /** Called with each order that took effect. */
  onOrder: ((order: EngineOrder) => void) | undefined;
  /** Delay before an order takes effect, as if its sender had been frozen. */
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
  /** All runs that occupy memory of the engine. */
  abstract heldRuns(): HeldRun[];
  /** Drops all runs and cached state, as a crash does. */
  protected abstract dropAll(): void;
  protected abstract queuedTokens(): number;

  /** False while the engine's process is down. */
  get up(): boolean {
    return this.#up;
  }

  /** Whether load reports are frozen. */
  get reportsFrozen(): boolean {
    return this.#reportsFrozen;
  }

  /** Starts taking load reports at regular intervals. */
  open(): void {
    this.#takeSnapshot();
    const [intervalMs] = this.profile.reportAgeRangeMs;
    this.#reportTimer = setInterval(() => this.#takeSnapshot(), intervalMs);
  }

  /** Drops all runs and stops the timers, so that the process can exit. */
  close(): void {
    clearInterval(this.#reportTimer);
    clearTimeout(this.#modelLoadTimer);
    this.dropAll();
  }

  /** Crashes the engine: it loses all runs and responds to nothing until a restart. */
  crash(): void {
    if (!this.#up) return;
    this.#up = false;
    this.dropAll();
    this.#cancelled.clear();
    this.#options.onCrash?.();
  }

  /** Restarts a crashed engine without runs and with a new boot id. */
  restart(): void {
    if (this.#up) return;
    this.#up = true;
    this.#boots += 1;
    // A new process has no earlier reports, even while reports are frozen.
    this.#snapshots = [];
    this.#pushSnapshot();
  }

  /** Announces that the engine will leave; it refuses new runs from now on. */
  leave(): void {
    this.state = "leaving";
  }

  /** Freezes or unfreezes load reports; has no effect on an engine that is leaving. */
  freezeReports(frozen: boolean): void {
    this.#reportsFrozen = frozen && this.state === "live";
  }

  /** Records a cancel, so that a start that arrives later is refused. */
  protected recordCancel(stream: StreamId): void {
    this.#cancelled.add(stream);
  }

  /** Whether a start is refused because its cancel arrived first. */
  protected isCancelled(stream: StreamId): boolean {
    if (!this.#cancelled.has(stream)) return false;
    if (this.#options.refusesCancelled ?? true) return true;
    this.startedAfterCancel.push(stream);
    return false;
  }

  /** Returns the newest report that is old enough to have arrived, else the oldest. */
  report(): LoadReport {
    const nowMs = performance.now();
    const [minMs, maxMs] = this.profile.reportAgeRangeMs;
    const latestMs = nowMs - minMs - this.random() * (maxMs - minMs);
    const snapshot =
      this.#snapshots.findLast((entry) => entry.takenAtMs <= latestMs) ??
        this.#snapshots[0]!;
    return { ...snapshot.report, ageMs: nowMs - snapshot.takenAtMs };
  }

  /**
   * Executes an order. Returns `fenced` if fencing numbers are checked and a
   * higher one has been received, else null.
   */
  order(order: EngineOrder): EngineRejection | null {
    if (this.checksFencing && order.fencingNumber < this.#fencingNumber) {
      return "fenced";
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    this.#orderedRole = order.role ?? this.#orderedRole;
    if (this.#needsModelLoad(order)) this.#loadModel(order);
    this.onOrder?.(order);
    return null;
  }

  #needsModelLoad(order: EngineOrder): boolean {
    const { model, modelVersion, adapters } = order;
    return (model !== undefined && !this.models.includes(model)) ||
      (modelVersion !== undefined && modelVersion !== this.#modelVersion) ||
      (adapters !== undefined &&
        JSON.stringify(adapters) !== JSON.stringify(this.#adapters));
  }

  #loadModel(order: EngineOrder): void {
    clearTimeout(this.#modelLoadTimer);
    const models = order.model ? [order.model] : this.models;
    this.models = [];
    this.#modelLoadTimer = setTimeout(() => {
      this.#modelLoadTimer = undefined;
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
    const maxSnapshots = Math.ceil(
      this.profile.reportAgeRangeMs[1] / this.profile.reportAgeRangeMs[0],
    ) + 2;
    while (this.#snapshots.length > maxSnapshots) this.#snapshots.shift();
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
      loading: this.#modelLoadTimer !== undefined,
      slots: this.profile.decodeSlots,
      memoryPieces: this.profile.kvBlocks,
      runs: this.heldRuns(),
      queuedTokens: this.queuedTokens(),
    };
  }
}
