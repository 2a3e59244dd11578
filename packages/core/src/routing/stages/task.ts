/** Orders endpoints to change their stage, under a lease of the service. */
import {
  asId,
  type EndpointId,
  type ModelName,
  type ServiceName,
} from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { ClockMark } from "../../common/suspension.ts";
import type { MembershipView } from "../../membership/types.ts";
import { type LeaseContext, ShardLease } from "../../orders/lease.ts";
import { ORDER_LIMIT_MS } from "../../orders/types.ts";
import type { EndpointBook } from "../endpoint_book.ts";
import type { RoutedEndpointPort } from "../port.ts";
import type { EnginePool } from "../types.ts";
import type { StageDemand } from "./demand.ts";
import { planStageChange, type StageChange } from "./plan.ts";

const TICK_MS = 1_000;
/** Pause after an order, so that its effect shows in the directory and in what streams need. */
const ORDER_PAUSE_MS = 8_000;
/** Pause after a report that forbids an order. */
const REPORT_PAUSE_MS = 2_000;
/** An order without an answer may be carried out this much later. */
const UNCERTAIN_MS = 15_000;
/** Reading speed of an engine; only its relation to the decode time matters. */
const PREFILL_TOKENS_PER_MS = 30;

/** Options of {@link StagesTask}. */
export interface StagesTaskOptions {
  context: LeaseContext;
  service: ServiceName;
  pool: () => EnginePool | null;
  demand: StageDemand;
  endpoints: EndpointBook;
  port: Pick<RoutedEndpointPort, "orderStage" | "report">;
  membership: MembershipView;
  observer: Observer;
}

/** Owns the orders of one service. */
export class StagesTask {
  #options: StagesTaskOptions;
  #lease: ShardLease;
  #leaseMark = new ClockMark();
  #timer: ReturnType<typeof setInterval> | undefined;
  #restsUntilMs = 0;
  #busy = false;

  constructor(options: StagesTaskOptions) {
    this.#options = options;
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

  async #tick(): Promise<void> {
    const change = this.#busy ? null : this.#plan();
    if (!change) return;
    this.#busy = true;
    try {
      await this.#order(change);
    } finally {
      this.#busy = false;
    }
  }

  #plan(): StageChange | null {
    const { membership, service, demand, endpoints } = this.#options;
    const pool = this.#options.pool();
    if (!pool || performance.now() < this.#restsUntilMs) return null;
    if (membership.homeOf(`stages/${service}`).id !== membership.self.id) {
      return null;
    }
    const needs = demand.needs({
      kvTokens: pool.kvTokens,
      prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
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

  async #order(change: StageChange): Promise<void> {
    const fencingNumber = this.#fencingNumber();
    if (fencingNumber === null) return;
    const { port, membership, observer, service } = this.#options;
    const { endpoint, stage } = change;
    const report = await port.report(endpoint, { timeoutMs: ORDER_LIMIT_MS });
    if (report.isErr() || report.value.busy || report.value.stage === stage) {
      this.#restsUntilMs = performance.now() + REPORT_PAUSE_MS;
      return;
    }
    const expectedSequence = report.value.orderSequence;
    // The report took time, so that the lease is checked again.
    if (this.#fencingNumber() !== fencingNumber) return;
    this.#restsUntilMs = performance.now() + ORDER_PAUSE_MS;
    const outcome = await port.orderStage(endpoint, {
      stage,
      holder: membership.self.id,
      fencingNumber,
      expectedSequence,
      timeoutMs: ORDER_LIMIT_MS,
    });
    if (outcome === "fenced") this.#lease.fenced();
    if (outcome === "lost") {
      this.#restsUntilMs = performance.now() + UNCERTAIN_MS;
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
  }

  // Nothing may come between this check and the sending of the order.
  #fencingNumber(): number | null {
    const { held } = this.#lease;
    if (held && this.#leaseMark.suspendedMs() > 0) {
      this.#lease.fenced();
      return null;
    }
    const leftMs = (held?.endsAtMs ?? 0) - performance.now();
    if (held && leftMs >= ORDER_LIMIT_MS) return held.fencingNumber;
    this.#leaseMark = new ClockMark();
    this.#lease.want();
    return null;
  }

  #loadOf(id: EndpointId): number {
    return this.#options.endpoints.get(id)?.inFlightTokens ?? 0;
  }
}

function round(rate: number): number {
  return Math.round(rate * 10) / 10;
}
