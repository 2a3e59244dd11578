/**
 * Runs one stream: finds a place at an endpoint, passes the events on, and continues
 * at another endpoint after a failure. At engines, a slot is reserved for the decode,
 * and the prompt is prefilled.
 */
import { err, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { type NotRun, notRun, type Refusal } from "../common/verdict.ts";
import { takeRetry } from "./retries.ts";
import { forwardStream, mayHaveRunElsewhere } from "./links/forward_request.ts";
import type { ForwardResult } from "./links/types.ts";
import type { RoutingContext } from "./context.ts";
import {
  type DecodeReservation,
  releasePlace,
  type StreamPlaces,
} from "./decode_reservation.ts";
import type { StreamLoad } from "./placement/memory_forecast.ts";
import { PrefillRun } from "./prefill_run.ts";
import { RequestClock } from "./request_clock.ts";
import type { StreamOrigin } from "./stream_origins.ts";
import { type AnswerSink, StreamRelay } from "./stream_relay.ts";
import { SendRace } from "./send_race.ts";
import { type Obstacle, StreamLog } from "./stream_log.ts";
import type { StreamOutcome } from "./stream_outcome.ts";
import { type SendResult, StreamSend } from "./stream_send.ts";
import { UnsentPauses } from "./unsent_pauses.ts";
import type {
  EnginePool,
  Route,
  RoutedRequest,
  SoftwareVersion,
} from "./types.ts";
import {
  provesNotRun,
  refusalOfEarlierSend,
  refusalOfFailure,
} from "./verdicts.ts";

/** Maximum sends of one stream, including those that endpoints rejected without running it. */
const MAX_SENDS = 4;
/** Crashes with a request from which on it is sent to one endpoint only. */
const SUSPECT_CRASHES = 2;

/** Options of {@link StreamRun}. */
export interface StreamRunOptions {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  /** Null for services without engines. */
  pool: EnginePool | null;
  places: StreamPlaces;
  /** The software version that began a resumed stream; null for a new one. */
  version: SoftwareVersion | null;
  /** Its priority, where the streams of the service have several. */
  priority?: number;
  sink: AnswerSink;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** Sent once only, to find out whether the request still crashes engines. */
  isTrial?: boolean;
}

/** Sends one stream, with retries and backups, until it has an outcome. */
export class StreamRun {
  #context: RoutingContext;
  #options: StreamRunOptions;
  #clock: RequestClock;
  #relay: StreamRelay;
  #avoid = new Set<EndpointId>();
  #prefill: PrefillRun;
  /** Position of the last send that was created. */
  #ordinal = 0;
  /** Number of sends, without backups that ended before their decode. */
  #sends = 0;
  /** Number of decodes that have not ended. */
  #decoding = 0;
  /** Number of sends after which an endpoint may have run the request. */
  #runs: number;
  /** Where the stream began and has to continue; null before. */
  #origin: StreamOrigin | null;
  #log: StreamLog;
  #unsentPauses: UnsentPauses;

  constructor(context: RoutingContext, options: StreamRunOptions) {
    this.#context = context;
    this.#options = options;
    const { request, service, version, pool, isTrial = false } = options;
    this.#log = new StreamLog(context.observer, options);
    this.#origin = version === null ? null : { service, version };
    this.#clock = new RequestClock(options.request, options.route);
    this.#unsentPauses = new UnsentPauses(this.#clock);
    this.#runs = request.hop?.runs ?? 0;
    this.#prefill = new PrefillRun(context, {
      request,
      service,
      clock: this.#clock,
      urgency: options.priority,
      atDecode: () =>
        pool === null || isTrial ||
        context.crashes.crashesOf(request) >= SUSPECT_CRASHES,
      mustGoOn: () => this.#origin !== null,
    });
    this.#relay = new StreamRelay({
      sink: options.sink,
      lastEventId: request.lastEventId,
      prompt: request.prompt,
    });
  }

  /** Sends the stream until it is complete or can't be continued. */
  async run(): Promise<StreamOutcome> {
    const { service, pool, signal } = this.#options;
    if (pool && !this.#context.forwarding.isLost(service)) {
      this.#context.noteArrival(service, this.#load());
    }
    let last: SendResult = err({ kind: "notSent" });
    for (;;) {
      const obstacle = this.#ordinal > 0 ? this.#prepareRetry(last) : null;
      if (obstacle) {
        this.#logNotContinued(obstacle, last);
        return this.#outcomeOf(last);
      }
      const refusal = this.#refusalOfStop();
      if (refusal) return this.#endWithRefusal(refusal);
      const reservation = await this.#reserve({
        signal,
        avoid: this.#avoid,
        mustBeOnTime: !this.#relay.begun && this.#origin === null,
      });
      if (reservation.isErr()) {
        const { reason } = reservation.error;
        if (reason === "no-links") {
          const forwarded = await this.#forward();
          if (forwarded.isOk()) return { kind: "complete" };
          if (forwarded.error.kind === "refused") {
            return this.#endWithRefusal(forwarded.error.refusal);
          }
          last = err(forwarded.error);
          continue;
        }
        if (this.#ordinal > 0) this.#logNotContinued(reason, last);
        return this.#endWithRefusal(reservation.error);
      }
      // The stop may have begun during the wait for the place.
      const stopping = this.#refusalOfStop();
      if (stopping) {
        releasePlace(this.#context, reservation.value);
        return this.#endWithRefusal(stopping);
      }
      this.#sends += 1;
      last = await this.#createRace().run(reservation.value);
      if (last.isOk()) return { kind: "complete" };
      const { error } = last;
      const isExtra = error.kind === "limited" ||
        this.#isBound() && await this.#unsentPauses.wait(error);
      if (isExtra) this.#sends -= 1;
    }
  }

  async #forward(): Promise<ForwardResult> {
    this.#ordinal += 1;
    this.#sends += 1;
    const result = await forwardStream(this.#context.forwarding, {
      ...this.#options,
      clock: this.#clock,
      runs: this.#runs,
      relay: this.#relay,
      origin: this.#origin,
      onFirstEvent: (origin) => this.#noteOrigin(origin),
    });
    if (mayHaveRunElsewhere(result)) this.#runs += 1;
    return result;
  }

  // Takes a retry from the budget, or returns why the stream is not sent again.
  #prepareRetry(last: SendResult): Obstacle | null {
    const obstacle = this.#findObstacle();
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
    return this.#options.places.enqueue({
      attempt: this.#options.request.id,
      clock: this.#clock,
      load: this.#load(),
      prefillMs: this.#prefill.expectedMs(),
      version: this.#origin?.version ?? null,
      priority: this.#options.priority,
      workspace: this.#options.request.workspace,
      findRefusal: () => this.#findQuarantine() ?? this.#refusalOfStop(),
      ...options,
    });
  }

  #findQuarantine(): NotRun | null {
    const { request, isTrial } = this.#options;
    return isTrial ? null : this.#context.crashes.refusalOf(request);
  }

  #refusalOfStop(): NotRun | null {
    const { route } = this.#options;
    return this.#context.stop.refusalOf(route, this.#clock.leftMs());
  }

  #createRace(): SendRace {
    const { route, service, signal } = this.#options;
    const { budget } = this.#context;
    const unsentBackups = new Set<StreamSend>();
    return new SendRace({
      signal,
      createSend: (reservation, { isBackup, ...hooks }) => {
        this.#ordinal += 1;
        const send = new StreamSend(this.#context, {
          ...this.#options,
          ...hooks,
          clock: this.#clock,
          relay: this.#relay,
          prefill: this.#prefill,
          reservation,
          ordinal: this.#ordinal,
          pool: this.#options.pool,
          isQuarantined: () => this.#findQuarantine() !== null,
          onFirstEvent: () => {
            const { softwareVersion: version } = send.endpoint.entry;
            this.#noteOrigin({ service, version });
          },
          onDecode: () => {
            this.#decoding += 1;
            if (unsentBackups.delete(send)) this.#sends += 1;
          },
        });
        if (isBackup) unsentBackups.add(send);
        return send;
      },
      reserveBackup: (open, backupSignal) =>
        this.#reserveBackup(open, backupSignal),
      release: (reservation) => {
        releasePlace(this.#context, reservation);
        budget.giveBack(service);
      },
      onEnd: (send, result) => {
        if (unsentBackups.has(send)) budget.giveBack(service);
        if (send.decodeBegun) this.#recordDecode(send, result);
        if (result.isOk()) {
          this.#context.stop.noteDuration(route, this.#clock.elapsedMs());
        }
      },
    });
  }

  // Callers name the attempt that brought the first event of all.
  #noteOrigin(origin: StreamOrigin): void {
    const { request, route } = this.#options;
    this.#origin = origin;
    if (!route.resumable) return;
    this.#context.origins.note(request.resumes ?? request.id, origin);
  }

  // Other endpoints of the service can't take a stream that one version has begun.
  #isBound(): boolean {
    return this.#options.pool === null && this.#origin !== null;
  }

  #recordDecode(send: StreamSend, result: SendResult): void {
    this.#decoding -= 1;
    if (result.isOk()) return;
    const isRun = !provesNotRun(result.error);
    if (isRun) this.#runs += 1;
    // A plain endpoint that refused once has no place that could be waited for.
    const mayRetry = this.#isBound() && result.error.kind === "notSent";
    if (isRun || !this.#options.pool && !mayRetry) {
      this.#avoid.add(send.endpoint.entry.id);
    }
  }

  async #reserveBackup(
    open: readonly StreamSend[],
    signal: AbortSignal,
  ): Promise<DecodeReservation | null> {
    const { service } = this.#options;
    const obstacle = this.#findBackupObstacle();
    this.#log.noteSilence(open.at(-1)!, {
      events: this.#relay.events,
      backup: obstacle ?? "started",
    });
    if (obstacle) return null;
    const openIds = open.map(({ endpoint }) => endpoint.entry.id);
    const reservation = await this.#reserve({
      signal,
      avoid: new Set([...this.#avoid, ...openIds]),
      mustBeOnTime: false,
    });
    if (reservation.isErr()) return null;
    if (takeRetry(this.#context, { service, reason: "silent" })) {
      return reservation.value;
    }
    releasePlace(this.#context, reservation.value);
    return null;
  }

  // Returns why no further send may follow a failed one, or null if one may.
  #findObstacle(): Obstacle | null {
    const { route, service, signal } = this.#options;
    if (signal.aborted) return "caller-left";
    if (this.#isStopped()) return "quarantined";
    if (this.#clock.leftMs() <= 0) return "deadline-passed";
    if (this.#sends >= MAX_SENDS) return "sends-used";
    if (this.#runs === 0) return null;
    if (this.#relay.isUsedUp) return "overrun";
    if (!route.resumable) return "not-resumable";
    if (!this.#relay.canContinue) return "no-event-id";
    // Another VM may have had a newer routing table.
    if ((this.#origin?.service ?? service) !== service) return "other-service";
    return this.#runs < route.maxAttempts ? null : "attempts-used";
  }

  // Whether no further send may follow, as the request may crash engines.
  #isStopped(): boolean {
    return this.#options.isTrial || this.#findQuarantine() !== null;
  }

  // The decodes in progress may have run the request as well.
  #findBackupObstacle(): Obstacle | null {
    const { route, service } = this.#options;
    if (this.#isStopped()) return "quarantined";
    if (this.#refusalOfStop()) return "stopping";
    if (this.#clock.leftMs() <= 0) return "deadline-passed";
    if (this.#sends >= MAX_SENDS) return "sends-used";
    if (!this.#relay.canContinue) return "no-event-id";
    const runs = this.#runs + this.#decoding;
    if (runs >= route.maxAttempts) return "attempts-used";
    return this.#context.budget.left(service) < 1 ? "retry-budget-spent" : null;
  }

  #logNotContinued(
    reason: Obstacle | Refusal["reason"],
    last: SendResult,
  ): void {
    this.#log.noteNotContinued({
      reason,
      lastOutcome: last.isErr() ? last.error.kind : undefined,
      runs: this.#runs,
      retriesLeft: Math.floor(this.#context.budget.left(this.#options.service)),
      leftMs: Math.round(this.#clock.leftMs()),
    });
  }

  #takeRetry(last: SendResult): boolean {
    const reason = last.isErr() ? last.error.kind : "server-error";
    const { service } = this.#options;
    if (reason !== "notSent" && reason !== "limited") {
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
    const quarantine = this.#findQuarantine();
    if (quarantine) return this.#endWithRefusal(quarantine);
    return this.#endWithRefusal(
      last.error.kind === "notSent" && this.#runs === 0
        ? notRun("no-endpoint", { retryAfterMs: 200 })
        : refusalOfFailure(last.error),
    );
  }

  // A send that continues the stream needs the events so far in memory as well.
  #load(): StreamLoad {
    const { service, pool, request } = this.#options;
    const { outputs } = this.#context;
    return {
      promptTokens: this.#prefill.tokens,
      generatedTokens: this.#relay.events * (pool?.tokensPerEvent ?? 0),
      ...outputs.expect(service, request.prompt),
    };
  }
}
