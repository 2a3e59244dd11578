/**
 * Orders endpoints of a service to change their stage, prefill or decode.
 *
 * The service's home, the VM that rendezvous hashing picks for its key, gives the
 * orders, and only while it holds the service's lease.
 */
import {
  asId,
  type EndpointId,
  type ModelName,
  type ServiceName,
  type VmId,
} from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { shuffle } from "../../common/shuffle.ts";
import { SuspensionDetector } from "../../common/suspension.ts";
import { findOthers } from "../../membership/queries/find_others.ts";
import type { MembershipView } from "../../membership/types.ts";
import { type LeaseContext, ShardLease } from "../../orders/lease.ts";
import { ORDER_TIMEOUT_MS } from "../../orders/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { OrderOutcome, RoutedEndpointPort } from "../port.ts";
import type { EndpointEntry, EnginePool } from "../types.ts";
import {
  computeStageNeeds,
  type DemandSample,
  type StageDemand,
} from "./demand.ts";
import { planStageChange, type StageChange } from "./plan.ts";

const TICK_MS = 1_000;
/** How often other VMs are polled for their demand samples, and how many of them. */
const SAMPLE_INTERVAL_MS = 4_000;
const SAMPLED_VMS = 16;
const SAMPLE_TIMEOUT_MS = 500;
/** Pause after an order, until its effect shows in the directory and the demand samples. */
const ORDER_PAUSE_MS = 8_000;
/** Pause after a report that rules out an order, or after a failed report. */
const REPORT_PAUSE_MS = 2_000;
/** Time from the end of a stage change until the engine's directory entry shows it. */
const SETTLE_MS = 2_000;
/**
 * How long a stage order may still be executed after its answer was lost. For this
 * time the VM gives the service no other stage order and does not release the lease.
 * If another VM takes over the expired lease earlier, the fencing number and
 * `expectedSequence` let the endpoint refuse an order that arrives after a newer one.
 * Orders from `orders/task.ts` have no such delay: they take effect within
 * `ORDER_TIMEOUT_MS` or not at all.
 */
const UNCERTAIN_ORDER_MS = 15_000;

/** How long a VM gives the orders in place of a home that has lost its links. */
const DEPUTY_MS = 3_000;
const DEPUTY_TIMEOUT_MS = 500;
/** Pause before the first order after such a change; longer than a lease and a deputy's term. */
const HANDOVER_PAUSE_MS = 4_000;

/** Options of {@link StagesTask}. */
export interface StagesTaskOptions {
  context: LeaseContext;
  service: ServiceName;
  pool: () => EnginePool | null;
  demand: StageDemand;
  /** Prompt tokens that a prefill endpoint processes per millisecond. */
  prefillTokensPerMs: () => number;
  endpoints: EndpointRegistry;
  port: Pick<RoutedEndpointPort, "orderStage" | "report">;
  peers: PeerPort;
  membership: MembershipView;
  /** Whether this VM can reach the service's endpoints. */
  hasLinks: () => boolean;
  /** How long an endpoint may go on with the requests that it has begun. */
  longestRunMs: () => number;
  /** Called for each accepted order, with the time for which the endpoint takes no work. */
  onOrdered: (endpoint: EndpointId, forMs: number) => void;
  observer: Observer;
  random: () => number;
}

/** Plans and gives the stage orders of one service. */
export class StagesTask {
  #options: StagesTaskOptions;
  #lease: ShardLease;
  #suspensionDetector = new SuspensionDetector();
  #timer: ReturnType<typeof setInterval> | undefined;
  #pausedUntilMs = 0;
  /** Until this time the VM gives the orders for the home. */
  #deputyUntilMs = -Infinity;
  /** The VM that gives the orders for this one. */
  #deputy: VmId | null = null;
  /** Until this time an order without an answer may still be executed. */
  #uncertainUntilMs = 0;
  #samples: DemandSample[] = [];
  #sampledAtMs = -Infinity;
  #busy = false;

  constructor(options: StagesTaskOptions) {
    this.#options = options;
    // Leases are keyed by model; here the service's name takes its place.
    this.#lease = new ShardLease(
      options.context,
      asId<ModelName>(options.service),
    );
  }

  start(): void {
    this.#timer = setInterval(() => void this.#tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Gives the orders for a home that has lost its links; returns false if it can't. */
  takeOver(): boolean {
    if (!this.#options.hasLinks()) return false;
    const nowMs = performance.now();
    if (nowMs >= this.#deputyUntilMs) this.#pauseForHandover();
    this.#deputyUntilMs = nowMs + DEPUTY_MS;
    return true;
  }

  async #tick(): Promise<void> {
    if (this.#busy) return;
    if (!this.#options.hasLinks()) {
      this.#releaseLease();
      this.#pauseForHandover();
      return this.#isHome() ? await this.#appointDeputy() : undefined;
    }
    const isDeputy = performance.now() < this.#deputyUntilMs;
    if (!this.#isHome() && !isDeputy) return this.#releaseLease();
    this.#busy = true;
    try {
      await this.#samplePeers();
      const change = this.#plan();
      if (change) await this.#orderAll(change);
    } finally {
      this.#busy = false;
    }
  }

  // Another VM is home now, or this one is leaving. Releasing the lease spares the
  // next home the wait until it expires.
  #releaseLease(): void {
    if (this.#lease.held && performance.now() >= this.#uncertainUntilMs) {
      this.#lease.release();
    }
  }

  #pauseForHandover(): void {
    this.#pausedUntilMs = Math.max(
      this.#pausedUntilMs,
      performance.now() + HANDOVER_PAUSE_MS,
    );
  }

  // The lease keeps two deputies from giving orders at a time.
  async #appointDeputy(): Promise<void> {
    const { membership, peers, service } = this.#options;
    const others = findOthers(membership);
    const deputy = others.find(({ id }) => id === this.#deputy) ??
      others[Math.floor(this.#options.random() * others.length)];
    if (!deputy) return;
    const answer = await peers.call(deputy, "routing/take-stages", {
      params: { service },
      timeoutMs: DEPUTY_TIMEOUT_MS,
    });
    const isTaken = answer.isOk() && answer.value.taken;
    this.#deputy = isTaken ? deputy.id : null;
  }

  #isHome(): boolean {
    const { membership, service } = this.#options;
    const home = membership.homeOf(`stages/${service}`);
    return home.id === membership.self.id;
  }

  async #samplePeers(): Promise<void> {
    const nowMs = performance.now();
    if (nowMs - this.#sampledAtMs < SAMPLE_INTERVAL_MS) return;
    this.#sampledAtMs = nowMs;
    const { membership, peers, service } = this.#options;
    // Callers keep their connections, so that many VMs get no streams.
    const others = shuffle(findOthers(membership), this.#options.random)
      .slice(0, SAMPLED_VMS);
    const answers = await Promise.all(
      others.map((peer) =>
        peers.call(peer, "routing/demand", {
          params: { service },
          timeoutMs: SAMPLE_TIMEOUT_MS,
        })
      ),
    );
    this.#samples = answers.flatMap((answer) =>
      answer.isOk() ? [answer.value] : []
    );
  }

  #plan(): StageChange | null {
    const { service, demand, endpoints } = this.#options;
    const pool = this.#options.pool();
    if (!pool || performance.now() < this.#pausedUntilMs) return null;
    // The endpoints that are changing would count for neither stage.
    if (endpoints.isReconfiguring(service)) return null;
    const samples = [demand.sample(), ...this.#samples];
    const needs = computeStageNeeds(samples, {
      kvTokens: pool.kvTokens,
      prefillTokensPerMs: this.#options.prefillTokensPerMs(),
    });
    this.#options.observer.log({
      event: "stage-needs",
      level: "debug",
      service,
      streams: samples.reduce((sum, sample) => sum + sample.streams, 0),
      prefillMs: needs ? Math.round(needs.prefillMs) : undefined,
      decodeMs: needs ? Math.round(needs.decodeMs) : undefined,
    });
    if (!needs) return null;
    const usable = [
      ...endpoints.usable(service, "prefill"),
      ...endpoints.usable(service, "decode"),
    ];
    return planStageChange(usable.map(({ entry }) => entry), {
      needs,
      reconfigureMs: pool.reconfigureMs,
      loadOf: ({ id }) => this.#loadOf(id),
    });
  }

  async #orderAll(change: StageChange): Promise<void> {
    for (const endpoint of change.endpoints) {
      const outcome = await this.#order(endpoint, change);
      if (outcome !== "accepted") return;
    }
  }

  /** Sends one order; returns null if none was sent. */
  async #order(
    endpoint: EndpointEntry,
    change: StageChange,
  ): Promise<OrderOutcome | null> {
    const fencingNumber = this.#fencingNumber();
    if (fencingNumber === null) return null;
    const { port, membership, observer, service } = this.#options;
    const { stage } = change;
    const report = await port.report(endpoint, { timeoutMs: ORDER_TIMEOUT_MS });
    if (report.isErr() || report.value.busy || report.value.stage === stage) {
      this.#pausedUntilMs = performance.now() + REPORT_PAUSE_MS;
      return null;
    }
    const expectedSequence = report.value.orderSequence;
    // The lease may have lapsed during the report, so it is checked again.
    if (this.#fencingNumber() !== fencingNumber) return null;
    this.#pausedUntilMs = performance.now() + ORDER_PAUSE_MS;
    const outcome = await port.orderStage(endpoint, {
      stage,
      holder: membership.self.id,
      fencingNumber,
      expectedSequence,
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    if (outcome === "fenced") this.#lease.markLost();
    if (outcome === "accepted") {
      const { reconfigureMs = 0 } = this.#options.pool() ?? {};
      // It reserves places meanwhile, and refuses the requests sent to them.
      const forMs = this.#options.longestRunMs() + reconfigureMs + SETTLE_MS;
      this.#options.onOrdered(endpoint.id, forMs);
    }
    if (outcome === "lost") {
      this.#uncertainUntilMs = performance.now() + UNCERTAIN_ORDER_MS;
      this.#pausedUntilMs = this.#uncertainUntilMs;
    }
    observer.count("orders", outcome);
    observer.log({
      event: "stage-ordered",
      service,
      endpoint: endpoint.id,
      stage,
      outcome,
      fencingNumber,
      expectedSequence,
      ratePerSecond: round(change.ratePerSecond),
      newRatePerSecond: round(change.newRatePerSecond),
    });
    return outcome;
  }

  // No await may come between this check and the sending of the order.
  #fencingNumber(): number | null {
    const { held } = this.#lease;
    if (held && this.#suspensionDetector.suspendedMs() > 0) {
      this.#lease.markLost();
      return null;
    }
    const leftMs = (held?.endsAtMs ?? 0) - performance.now();
    if (held && leftMs >= ORDER_TIMEOUT_MS) return held.fencingNumber;
    this.#suspensionDetector = new SuspensionDetector();
    this.#lease.acquire();
    return null;
  }

  #loadOf(id: EndpointId): number {
    return this.#options.endpoints.get(id)?.inFlightTokens ?? 0;
  }
}

function round(rate: number): number {
  return Math.round(rate * 10) / 10;
}
