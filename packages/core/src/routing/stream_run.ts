/**
 * Runs one stream: reserves a slot at a decode endpoint, prefills the prompt,
 * passes the events on, and continues at another endpoint after a failure.
 *
 * An endpoint that stops sending is not given up: a backup is prepared at another
 * one, and whichever of the two sends bytes first continues the stream.
 */
import { err, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
import { takeRetry } from "./call_run.ts";
import type { RoutingContext } from "./context.ts";
import type { DecodeQueue, DecodeReservation } from "./decode_queue.ts";
import { PrefillRun } from "./prefill_run.ts";
import { RequestClock } from "./request_clock.ts";
import { type AnswerSink, StreamRelay } from "./stream_relay.ts";
import { type SendResult, StreamSend } from "./stream_send.ts";
import type { EnginePool, Route, RoutedRequest } from "./types.ts";
import {
  provesNotRun,
  refusalOfEarlierSend,
  refusalOfFailure,
} from "./verdicts.ts";

/** Maximum sends of one stream, including those that endpoints rejected without running it. */
const MAX_SENDS = 4;
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

/** Why a stream is not sent again, or why a silent send gets no backup. */
type Obstacle =
  | "caller-left"
  | "deadline-passed"
  | "not-resumable"
  | "attempts-used"
  | "sends-used"
  | "retry-budget-spent";

/** A second send, prepared because the first one is silent. */
interface Backup {
  /** Ends it, as the first send continues. */
  cancel(): void;
  /** Its result, or null if it got no place at another endpoint. */
  readonly ended: Promise<SendResult | null>;
}

/** Sends one stream, with retries and backups, until it has an outcome. */
export class StreamRun {
  #context: RoutingContext;
  #options: StreamRunOptions;
  #clock: RequestClock;
  #relay: StreamRelay;
  #avoid = new Set<EndpointId>();
  #prefill: PrefillRun;
  /** Number of sends that have begun. */
  #sends = 0;
  /** Number of decodes that have not ended. */
  #decoding = 0;
  /** Number of sends after which an endpoint may have run the request. */
  #runs = 0;
  /** The last logged reason why a silent send has no backup. */
  #loggedObstacle: Obstacle | null = null;

  constructor(context: RoutingContext, options: StreamRunOptions) {
    this.#context = context;
    this.#options = options;
    this.#clock = new RequestClock(options.request, options.route);
    const { request, service } = options;
    this.#prefill = new PrefillRun(context, {
      request,
      service,
      clock: this.#clock,
    });
    this.#relay = new StreamRelay({
      sink: options.sink,
      lastEventId: options.request.lastEventId,
    });
  }

  /** Sends the stream until it is complete or can't be continued. */
  async run(): Promise<StreamOutcome> {
    const { service, signal } = this.#options;
    this.#context.noteArrival(service, this.#prefill.tokens);
    let last: SendResult = err({ kind: "notSent" });
    for (;;) {
      const obstacle = this.#sends > 0 ? this.#prepareRetry(last) : null;
      if (obstacle) {
        this.#logNotContinued(obstacle, last);
        return this.#outcomeOf(last);
      }
      const reservation = await this.#reserve({
        signal,
        avoid: this.#avoid,
        mustBeOnTime: !this.#relay.begun,
      });
      if (reservation.isErr()) {
        const { reason } = reservation.error;
        if (this.#sends > 0) this.#logNotContinued(reason, last);
        return this.#endWithRefusal(reservation.error);
      }
      last = await this.#send(reservation.value, { signal });
      if (last.isOk()) return { kind: "complete" };
    }
  }

  // Takes a retry from the budget, or returns why the stream is not sent again.
  #prepareRetry(last: SendResult): Obstacle | null {
    const obstacle = this.#findObstacle(last);
    if (obstacle) return obstacle;
    return this.#takeRetry(last) ? null : "retry-budget-spent";
  }

  #reserve(
    options: {
      signal: AbortSignal;
      avoid: ReadonlySet<EndpointId>;
      mustBeOnTime: boolean;
    },
  ): Promise<Result<DecodeReservation, Refusal>> {
    return this.#options.queue.enqueue({
      attempt: this.#options.request.id,
      clock: this.#clock,
      tokens: this.#tokens(),
      prefillMs: this.#prefill.expectedMs(),
      ...options,
    });
  }

  /** Sends the stream once; while the send is silent, a backup may take its place. */
  async #send(
    reservation: DecodeReservation,
    options: { signal: AbortSignal; onProgress?: () => void },
  ): Promise<SendResult> {
    const held: { backup: Backup | null } = { backup: null };
    this.#sends += 1;
    const send = new StreamSend(this.#context, {
      ...this.#options,
      clock: this.#clock,
      relay: this.#relay,
      prefill: this.#prefill,
      reservation,
      ordinal: this.#sends,
      tokens: this.#tokens(),
      signal: options.signal,
      onDecode: () => (this.#decoding += 1),
      onProgress: () => {
        options.onProgress?.();
        held.backup?.cancel();
        held.backup = null;
        this.#loggedObstacle = null;
      },
      onSilent: () => {
        held.backup ??= this.#startBackup(send, () => (held.backup = null));
      },
    });
    const result = await send.run();
    if (send.decodeBegun) this.#recordDecode(send, result);
    if (result.isOk()) held.backup?.cancel();
    if (result.isOk() || !held.backup) return result;
    return await held.backup.ended ?? result;
  }

  #recordDecode(send: StreamSend, result: SendResult): void {
    this.#decoding -= 1;
    if (result.isOk() || provesNotRun(result.error)) return;
    this.#runs += 1;
    this.#avoid.add(send.endpoint.entry.id);
  }

  // The first send is not closed yet: its endpoint may go on at any moment, and the
  // backup may still fail.
  #startBackup(silent: StreamSend, onFailed: () => void): Backup | null {
    const { service } = this.#options;
    const obstacle = this.#findBackupObstacle() ??
      (takeRetry(this.#context, { service, reason: "silent" })
        ? null
        : "retry-budget-spent");
    this.#logSilence(silent, obstacle);
    if (obstacle) return null;
    const cancellation = new AbortController();
    const ended = this.#runBackup(silent, cancellation.signal);
    void ended.then((result) => {
      if (result === null || result.isErr()) onFailed();
    });
    return { cancel: () => cancellation.abort(), ended };
  }

  async #runBackup(
    silent: StreamSend,
    cancelled: AbortSignal,
  ): Promise<SendResult | null> {
    const signal = AbortSignal.any([this.#options.signal, cancelled]);
    const avoid = new Set([...this.#avoid, silent.endpoint.entry.id]);
    const reservation = await this.#reserve({
      signal,
      avoid,
      mustBeOnTime: false,
    });
    if (reservation.isErr()) {
      this.#context.budget.giveBack(this.#options.service);
      return null;
    }
    return await this.#send(reservation.value, {
      signal,
      onProgress: () => silent.replace(),
    });
  }

  // Returns why no further send may follow a failed one, or null if one may.
  #findObstacle(last: SendResult): Obstacle | null {
    const { route, signal } = this.#options;
    if (signal.aborted) return "caller-left";
    if (this.#clock.leftMs() <= 0) return "deadline-passed";
    if (this.#sends >= MAX_SENDS) return "sends-used";
    if (last.isErr() && provesNotRun(last.error)) return null;
    if (!route.resumable) return "not-resumable";
    return this.#runs < route.maxAttempts ? null : "attempts-used";
  }

  // The decodes in progress may have run the request as well.
  #findBackupObstacle(): Obstacle | null {
    const { maxAttempts } = this.#options.route;
    if (this.#clock.leftMs() <= 0) return "deadline-passed";
    if (this.#sends >= MAX_SENDS) return "sends-used";
    return this.#runs + this.#decoding < maxAttempts ? null : "attempts-used";
  }

  // One line for each change, as a long silence is reported again and again.
  #logSilence(silent: StreamSend, obstacle: Obstacle | null): void {
    if (obstacle && obstacle === this.#loggedObstacle) return;
    this.#loggedObstacle = obstacle;
    this.#context.observer.log({
      event: "stream-silent",
      attempt: this.#options.request.id,
      endpoint: silent.endpoint.entry.id,
      send: silent.ordinal,
      silentMs: Math.round(silent.silentMs()),
      events: this.#relay.events,
      backup: obstacle ?? "started",
    });
  }

  #logNotContinued(
    reason: Obstacle | Refusal["reason"],
    last: SendResult,
  ): void {
    const { request, service } = this.#options;
    this.#context.observer.log({
      event: "stream-not-continued",
      attempt: request.id,
      service,
      reason,
      lastOutcome: last.isErr() ? last.error.kind : undefined,
      runs: this.#runs,
      retriesLeft: Math.floor(this.#context.budget.left(service)),
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
