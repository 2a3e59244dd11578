/**
 * Runs one stream: reserves a slot at a decode endpoint, prefills the prompt,
 * passes the events on, and continues at another endpoint after a failure.
 */
import { err, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
import { noteOutcome, takeRetry } from "./call_run.ts";
import type { RoutingContext } from "./context.ts";
import type { DecodeQueue, DecodeReservation } from "./decode_queue.ts";
import type { KvSource, SendFailure } from "./port.ts";
import { PrefillRun, type PrefillSource } from "./prefill_run.ts";
import { RequestClock } from "./request_clock.ts";
import { type AnswerSink, StreamRelay } from "./stream_relay.ts";
import type { EnginePool, Route, RoutedRequest } from "./types.ts";
import {
  provesNotRun,
  refusalOfEarlierSend,
  refusalOfFailure,
} from "./verdicts.ts";

/** Maximum sends of one stream, including those that endpoints rejected without running it. */
const MAX_SENDS = 4;
/** Idle timeout of a resumable stream, in multiples of the route's `maxEventGapMs`. */
const IDLE_TIMEOUT_GAPS = 5;
/** Minimum idle timeout; an engine recomputes a preempted stream within this time. */
const MIN_IDLE_TIMEOUT_MS = 1_500;
/**
 * Share of an endpoint's memory that a stream reserves beyond its prompt. It covers
 * the growth of the outputs of all streams there until the next one ends, which
 * doesn't depend on the new stream's own output.
 */
const OUTPUT_GROWTH_SHARE = 0.03;

/** Options of {@link StreamRun}. */
export interface StreamRunOptions {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  pool: EnginePool;
  queue: DecodeQueue;
  sink: AnswerSink;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** Outcome of a stream for its caller. */
export type StreamOutcome =
  | { readonly kind: "complete" }
  /** Nothing was passed on to the caller. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The answer was passed on in part, and can't be continued. */
  | { readonly kind: "broken"; readonly reason: string };

type SendResult = Result<void, SendFailure>;

/** Why a stream that is not complete is not sent again. */
type Obstacle =
  | "caller-left"
  | "deadline-passed"
  | "not-resumable"
  | "attempts-used"
  | "sends-used"
  | "retry-budget-spent";

/** Sends one stream, with retries, until it has an outcome. */
export class StreamRun {
  #context: RoutingContext;
  #options: StreamRunOptions;
  #clock: RequestClock;
  #relay: StreamRelay;
  #avoid = new Set<EndpointId>();
  #prefill: PrefillRun;
  /** Number of sends after which an endpoint may have run the request. */
  #runs = 0;
  /** When the current send began or last received bytes, on the monotonic clock. */
  #lastByteAtMs = NaN;

  constructor(context: RoutingContext, options: StreamRunOptions) {
    this.#context = context;
    this.#options = options;
    this.#clock = new RequestClock(options.request, options.route);
    const { request, service, signal } = options;
    this.#prefill = new PrefillRun(context, {
      request,
      service,
      clock: this.#clock,
      signal,
    });
    this.#relay = new StreamRelay({
      sink: options.sink,
      lastEventId: options.request.lastEventId,
    });
  }

  /** Sends the stream until it is complete or can't be continued. */
  async run(): Promise<StreamOutcome> {
    const { service } = this.#options;
    this.#context.noteArrival(service, this.#prefill.tokens);
    let last: SendResult = err({ kind: "notSent" });
    let obstacle: Obstacle | null = "sends-used";
    for (let sends = 1; sends <= MAX_SENDS; sends += 1) {
      if (sends > 1 && !this.#takeRetry(last)) {
        obstacle = "retry-budget-spent";
        break;
      }
      const reservation = await this.#reserve();
      if (reservation.isErr()) {
        if (sends > 1) this.#logObstacle(reservation.error.reason, last);
        return this.#endWithRefusal(reservation.error);
      }
      last = await this.#sendTo(reservation.value, sends);
      if (last.isOk()) return { kind: "complete" };
      obstacle = this.#findObstacle(last.error);
      if (obstacle) break;
      obstacle = "sends-used";
    }
    this.#logObstacle(obstacle, last);
    return this.#outcomeOf(last);
  }

  #reserve(): Promise<Result<DecodeReservation, Refusal>> {
    const { queue, signal } = this.#options;
    return queue.enqueue({
      attempt: this.#options.request.id,
      clock: this.#clock,
      tokens: this.#tokens(),
      prefillMs: this.#prefill.expectedMs(),
      avoid: this.#avoid,
      mustBeOnTime: !this.#relay.begun,
      signal,
    });
  }

  async #sendTo(
    reservation: DecodeReservation,
    sends: number,
  ): Promise<SendResult> {
    const { endpoint } = reservation;
    const tokens = this.#tokens();
    endpoint.inFlight += 1;
    endpoint.inFlightTokens += tokens;
    const startedMs = performance.now();
    const prefilled = await this.#prefill.run(endpoint);
    const prefilledMs = performance.now();
    const source = prefilled.unwrapOr(null);
    // The endpoint may have started draining during the prefill.
    const usable = prefilled.isOk() && endpoint.mayTakeWork(prefilledMs);
    const outcome = usable
      ? await this.#decode(reservation, source)
      : this.#abandon(reservation, {
        source,
        failure: prefilled.isErr() ? prefilled.error : { kind: "notSent" },
      });
    endpoint.inFlight -= 1;
    endpoint.inFlightTokens -= tokens;
    if (usable) this.#recordOutcome(reservation, { source, outcome });
    const decodeMs = performance.now() - prefilledMs;
    if (outcome.isOk()) {
      const cost = { heldTokens: tokens, decodeMs };
      this.#context.noteStreamCost(this.#options.service, cost);
    }
    this.#noteTimes({ startedMs, prefilledMs });
    this.#context.observer.log({
      event: "stream-sent",
      attempt: this.#options.request.id,
      route: this.#options.route.name,
      endpoint: endpoint.entry.id,
      prefill: source?.endpoint.entry.id,
      send: sends,
      outcome: outcome.isOk() ? "complete" : outcome.error.kind,
      detail: outcome.isErr() && outcome.error.kind === "lost"
        ? outcome.error.detail
        : undefined,
      silentMs: Math.round(performance.now() - this.#lastByteAtMs),
      queuedMs: Math.round(startedMs - this.#clock.startedAtMs),
      prefillMs: Math.round(prefilledMs - startedMs),
      decodeMs: Math.round(decodeMs),
      firstEventMs: Math.round(
        this.#relay.firstEventAtMs - this.#clock.startedAtMs,
      ),
      longestGapMs: Math.round(this.#relay.longestGapMs),
      events: this.#relay.events,
      promptTokens: this.#prefill.tokens,
      maxOutputTokens: this.#options.request.prompt?.maxOutputTokens,
      hint: this.#options.request.prompt?.expectedOutputTokens ?? undefined,
    });
    return outcome;
  }

  #noteTimes(timestamps: { startedMs: number; prefilledMs: number }): void {
    const { times } = this.#context;
    const { kind } = this.#options.route;
    const { startedAtMs } = this.#clock;
    times.note("queue", kind, timestamps.startedMs - startedAtMs);
    times.note("prefill", kind, timestamps.prefilledMs - timestamps.startedMs);
    if (this.#relay.events === 0) return;
    times.note("first-event", kind, this.#relay.firstEventAtMs - startedAtMs);
    times.note("gap", kind, this.#relay.longestGapMs);
  }

  async #decode(
    reservation: DecodeReservation,
    source: KvSource | null,
  ): Promise<SendResult> {
    const { request, signal } = this.#options;
    if (signal.aborted) return err({ kind: "aborted" });
    let idle = false;
    const idleTimer = this.#startIdleTimer(() => {
      idle = true;
      stream.abort();
    });
    const listener = this.#relay.listen({ resume: () => stream.resume() });
    this.#lastByteAtMs = performance.now();
    const stream = this.#context.port.stream(reservation.endpoint.entry, {
      request,
      timeLeftMs: this.#clock.callerTimeLeftMs(),
      firstByteMs: this.#clock.leftMs(),
      wholeMs: this.#clock.leftMs(),
      signal,
      lastEventId: this.#relay.lastEventId,
      reservation: reservation.reservationId,
      kvSource: source && { address: source.address, handle: source.handle },
      listener: {
        onHead: (head) => listener.onHead(head),
        onData: (bytes) => {
          this.#lastByteAtMs = performance.now();
          idleTimer.restart();
          return listener.onData(bytes);
        },
      },
    });
    const ended = await stream.ended;
    idleTimer.stop();
    if (idle) return err({ kind: "timeout" });
    return ended.andThen(() => this.#relay.finish());
  }

  // An idle endpoint is given up only if the stream may continue at another one;
  // otherwise no timer runs.
  #startIdleTimer(onIdle: () => void) {
    const { route } = this.#options;
    const movable = route.resumable &&
      this.#runs + 1 < route.maxAttempts;
    const limitMs = Math.max(
      MIN_IDLE_TIMEOUT_MS,
      IDLE_TIMEOUT_GAPS * (route.maxEventGapMs ?? 0),
    );
    const start = () => movable ? setTimeout(onIdle, limitMs) : undefined;
    let timer = start();
    return {
      restart() {
        clearTimeout(timer);
        timer = start();
      },
      stop: () => clearTimeout(timer),
    };
  }

  // Nothing was sent to the decode endpoint, so its record is not updated.
  #abandon(
    reservation: DecodeReservation,
    { source, failure }: { source: PrefillSource | null; failure: SendFailure },
  ): SendResult {
    const { endpoint, reservationId } = reservation;
    this.#context.port.releaseReservation(endpoint.entry, reservationId);
    if (source) this.#prefill.discard(source, failure.kind);
    return err(failure);
  }

  #recordOutcome(
    reservation: DecodeReservation,
    { source, outcome }: {
      source: PrefillSource | null;
      outcome: SendResult;
    },
  ): void {
    const { endpoint, reservationId } = reservation;
    const refused = outcome.isErr() && outcome.error.kind === "notExecuted";
    // The stream holds a reservation, so a refusal means that the KV cache could
    // not be fetched.
    if (source && (refused || outcome.isOk())) {
      this.#prefill.noteFetched(source, !refused);
    }
    const { request } = this.#options;
    noteOutcome(this.#context, { endpoint, request, outcome, tookMs: 0 });
    if (outcome.isOk()) return;
    // A refusal despite the reservation counts as a failure, so that an endpoint
    // which keeps refusing for another reason is ejected.
    if (refused) endpoint.noteFailure(performance.now());
    if (provesNotRun(outcome.error) || outcome.error.kind === "aborted") {
      this.#context.port.releaseReservation(endpoint.entry, reservationId);
      if (source) this.#prefill.discard(source, outcome.error.kind);
    }
    if (!provesNotRun(outcome.error)) {
      this.#runs += 1;
      this.#avoid.add(endpoint.entry.id);
    }
  }

  // Returns why no further send may follow a failed one, or null if one may.
  #findObstacle(failure: SendFailure): Obstacle | null {
    const { route, signal } = this.#options;
    if (signal.aborted) return "caller-left";
    if (this.#clock.leftMs() <= 0) return "deadline-passed";
    if (provesNotRun(failure)) return null;
    if (!route.resumable) return "not-resumable";
    return this.#runs < route.maxAttempts ? null : "attempts-used";
  }

  #logObstacle(
    obstacle: Obstacle | Refusal["reason"],
    last: SendResult,
  ): void {
    this.#context.observer.log({
      event: "stream-not-continued",
      attempt: this.#options.request.id,
      service: this.#options.service,
      reason: obstacle,
      lastOutcome: last.isErr() ? last.error.kind : undefined,
      runs: this.#runs,
      retriesLeft: Math.floor(
        this.#context.budget.left(this.#options.service),
      ),
      leftMs: Math.round(this.#clock.leftMs()),
    });
  }

  #takeRetry(last: SendResult): boolean {
    const reason = last.isErr() ? last.error.kind : "server-error";
    const { service } = this.#options;
    if (reason !== "notSent") {
      return takeRetry(this.#context, { service, reason });
    }
    this.#context.observer.count("retries", reason);
    return true;
  }

  #endWithRefusal(refusal: Refusal): StreamOutcome {
    if (this.#relay.begun) return { kind: "broken", reason: refusal.reason };
    // An earlier send may have run the request even if the next one got no
    // reservation.
    return {
      kind: "refused",
      refusal: this.#runs === 0 ? refusal : refusalOfEarlierSend(),
    };
  }

  #outcomeOf(last: SendResult): StreamOutcome {
    if (last.isOk()) return { kind: "complete" };
    return this.#endWithRefusal(
      last.error.kind === "notSent" && this.#runs === 0
        ? notRun("no-endpoint", { retryAfterMs: 200 })
        : refusalOfFailure(last.error),
    );
  }

  #tokens(): number {
    const { pool } = this.#options;
    return this.#prefill.tokens +
      Math.ceil(OUTPUT_GROWTH_SHARE * pool.kvTokens);
  }
}
