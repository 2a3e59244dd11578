/**
 * Streams that wait for a slot and memory at the decode endpoints of a service.
 *
 * Made for more streams than the engines have memory for. The one whose target
 * ends first is served first; a stream that can't have its first event in time
 * any more is refused at once, since its slot serves others better.
 */
import { err, ok, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { type NotRun, notRun } from "../common/verdict.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { RequestClock } from "./request_clock.ts";
import type { AttemptId, EnginePool, ReservationId } from "./types.ts";

/** How soon a queue that found all endpoints full asks again. */
const FULL_RETRY_MS = 40;
/** How long an endpoint that refused a reservation is asked last. */
const FULL_REST_MS = 40;
/** Endpoints that are asked for a stream in its first round. */
const ASKED_FIRST = 4;
/** The same in later rounds: the ranking puts first where room was made since. */
const ASKED_AGAIN = 1;
/** A refused stream is late when it comes back, so that it may as well come when a burst of some seconds is over. */
const COME_BACK_MIN_MS = 1_500;
const COME_BACK_SPREAD_MS = 3_000;
const RESERVE_TIMEOUT_MS = 250;
/** Time that prefill and hand-over take at the least, for the estimate of the first event. */
const HAND_OVER_MS = 20;

/** A slot and memory that a stream holds. */
export interface DecodeReservation {
  readonly endpoint: EndpointRecord;
  readonly reservationId: ReservationId;
}

/** A stream that waits. */
export interface DecodeRequest {
  readonly attempt: AttemptId;
  readonly clock: RequestClock;
  /** Memory for the prompt and the output. */
  readonly tokens: number;
  /** Expected time of the prefill. */
  readonly prefillMs: number;
  /** Endpoints that failed this stream. */
  readonly avoid: ReadonlySet<EndpointId>;
  /** False for a stream that has begun, which goes on also when it is late. */
  readonly mustBeOnTime: boolean;
  readonly signal: AbortSignal;
}

interface Waiting {
  readonly demand: DecodeRequest;
  /** Whether a round found no place for it. */
  asked: boolean;
  readonly settle: (result: Result<DecodeReservation, NotRun>) => void;
}

/** Owns the streams of one service that wait at this VM. */
export class DecodeQueue {
  #context: RoutingContext;
  #service: ServiceName;
  #pool: () => EnginePool | null;
  #waiting: Waiting[] = [];
  #busy = false;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(
    context: RoutingContext,
    options: { service: ServiceName; pool: () => EnginePool | null },
  ) {
    this.#context = context;
    this.#service = options.service;
    this.#pool = options.pool;
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** Waits for a place; refuses a stream once it can't be on time. */
  enqueue(demand: DecodeRequest): Promise<Result<DecodeReservation, NotRun>> {
    return new Promise((settle) => {
      this.#insert({ demand, asked: false, settle });
      this.#pump();
    });
  }

  /** Refuses all that wait. */
  stop(): void {
    clearTimeout(this.#timer);
    for (const { settle } of this.#waiting.splice(0)) {
      settle(err(notRun("stopping")));
    }
  }

  #insert(one: Waiting): void {
    const endsMs = one.demand.clock.targetLeftMs();
    const at = this.#waiting.findIndex(
      ({ demand }) => demand.clock.targetLeftMs() > endsMs,
    );
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, one);
  }

  #pump(): void {
    if (this.#busy) return;
    this.#busy = true;
    void this.#serve().finally(() => {
      this.#busy = false;
      if (this.#waiting.length === 0) return;
      clearTimeout(this.#timer);
      this.#timer = setTimeout(() => this.#pump(), FULL_RETRY_MS);
    });
  }

  async #serve(): Promise<void> {
    for (;;) {
      this.#dropHopeless();
      const [first] = this.#waiting;
      if (!first) return;
      const place = await this.#reserve(first);
      if (!place) return;
      const at = this.#waiting.indexOf(first);
      if (at >= 0) this.#waiting.splice(at, 1);
      if (at < 0 || first.demand.signal.aborted) {
        this.#context.port.releaseReservation(
          place.endpoint.entry,
          place.reservationId,
        );
      }
      first.settle(ok(place));
    }
  }

  #dropHopeless(): void {
    this.#waiting = this.#waiting.filter(({ demand, settle }) => {
      if (!demand.signal.aborted && !isHopeless(demand)) return true;
      const reason = demand.signal.aborted ? "cancelled" : "no-capacity";
      const refusal = notRun(reason, { retryAfterMs: this.#comeBackMs() });
      this.#logRefusal(demand, refusal);
      settle(err(refusal));
      return false;
    });
  }

  #logRefusal(demand: DecodeRequest, { reason, retryAfterMs }: NotRun): void {
    const nowMs = performance.now();
    const usable = this.#context.endpoints.usable(this.#service, "decode");
    this.#context.observer.log({
      event: "stream-refused",
      attempt: demand.attempt,
      service: this.#service,
      reason,
      waitedMs: Math.round(demand.clock.elapsedMs()),
      targetLeftMs: Math.round(demand.clock.targetLeftMs()),
      prefillMs: Math.round(demand.prefillMs),
      tokens: demand.tokens,
      waiting: this.#waiting.length,
      endpoints: usable.length,
      full: usable.filter((one) => one.isFull(nowMs)).length,
      resting: usable.filter((one) => !one.isHealthy(nowMs)).length,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  // Spread, so that those who were refused together don't come back together.
  #comeBackMs(): number {
    const { random } = this.#context;
    return COME_BACK_MIN_MS + COME_BACK_SPREAD_MS * random();
  }

  async #reserve(one: Waiting): Promise<DecodeReservation | null> {
    const pool = this.#pool();
    if (!pool) return null;
    const { demand } = one;
    const count = one.asked ? ASKED_AGAIN : ASKED_FIRST;
    one.asked = true;
    const { placement, port, dataCentre, random } = this.#context;
    const ranked = await placement.rankDecode(this.#service, {
      dataCentre,
      random,
      nowMs: performance.now(),
      avoid: demand.avoid,
      tokens: demand.tokens,
    });
    for (const endpoint of ranked.slice(0, count)) {
      const reserved = await port.reserve(endpoint.entry, {
        tokens: Math.min(demand.tokens, pool.kvTokens),
        ttlMs: pool.reservationTtlMs,
        timeoutMs: RESERVE_TIMEOUT_MS,
        signal: demand.signal,
      });
      if (reserved.isOk()) return { endpoint, reservationId: reserved.value };
      this.#noteRefusal(endpoint, reserved.error.kind);
      if (demand.signal.aborted) return null;
    }
    return null;
  }

  #noteRefusal(endpoint: EndpointRecord, kind: string): void {
    const nowMs = performance.now();
    if (kind === "notExecuted") return endpoint.noteFull(nowMs + FULL_REST_MS);
    if (kind === "aborted") return;
    if (kind === "misdirected") return endpoint.setMissing(nowMs);
    endpoint.noteFailure(nowMs);
    this.#context.observer.log({
      event: "reservation-failed",
      endpoint: endpoint.entry.id,
      reason: kind,
    });
  }
}

function isHopeless(demand: DecodeRequest): boolean {
  const leftMs = demand.mustBeOnTime
    ? demand.clock.targetLeftMs()
    : demand.clock.leftMs();
  return leftMs < demand.prefillMs + HAND_OVER_MS;
}
