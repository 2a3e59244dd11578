/** One send of a stream: the prefill of its prompt, if there is one, and the answer of one endpoint. */
import { err, type Result } from "neverthrow";
import type { ServiceName } from "../common/ids.ts";
import type { RoutingContext } from "./context.ts";
import {
  type DecodeReservation,
  endLoad,
  releasePlace,
} from "./decode_reservation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import {
  type AnswerHead,
  detailOf,
  type EndpointStream,
  type KvSource,
  type SendFailure,
} from "./port.ts";
import { heldTokens } from "./placement/memory_forecast.ts";
import { StreamMeter } from "./placement/measured_speed.ts";
import type { PrefillRun, PrefillSource } from "./prefill_run.ts";
import type { RequestClock } from "./request_clock.ts";
import { noteOutcome } from "./send_outcome.ts";
import { SilenceWatch } from "./silence_watch.ts";
import type { StreamRelay } from "./stream_relay.ts";
import type { EnginePool, Route, RoutedRequest } from "./types.ts";
import { provesNotRun } from "./verdicts.ts";

/** Silence after which a stream may need another endpoint, in multiples of the route's `maxEventGapMs`. */
const SILENCE_GAPS = 5;
/** Minimum of that silence; an engine recomputes a preempted stream within this time. */
const MIN_SILENCE_MS = 1_500;

/** An answer that has gone on for this time is a sign that its prompt's parts are sound. */
const BEGUN_MS = 250;
/** An engine crashes within this time after it begins to answer on a part that crashes engines. */
const ANSWERING_MS = 1_000;

/** Urgencies are from 0, served first, to this. */
const LEAST_URGENT = 9;

/** Result of a send; a failure says whether the endpoint may have run the request. */
export type SendResult = Result<void, SendFailure>;

/** How a send is cancelled, and what it reports while it runs. */
export interface StreamSendHooks {
  /** Aborted when the caller disconnects or the send is no longer needed. */
  signal: AbortSignal;
  /** Called while a resumable stream receives nothing, after a silence and then repeatedly. */
  onSilent: () => void;
  /** Called with an exception of `onSilent`. */
  onFault: (error: unknown) => void;
  /** Called for each part of the body that arrives, before it is passed on. */
  onProgress: () => void;
}

/** Options of {@link StreamSend}. */
export interface StreamSendOptions extends StreamSendHooks {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  clock: RequestClock;
  relay: StreamRelay;
  prefill: PrefillRun;
  reservation: DecodeReservation;
  /** Its priority, where the streams of the service have several. */
  priority?: number;
  /** Null for services without engines. */
  pool: EnginePool | null;
  /** Position among the sends of the stream, from 1. */
  ordinal: number;
  /** Whether the request is now known to crash engines, and must not be decoded. */
  isQuarantined: () => boolean;
  /** Called when an endpoint's first event has been passed on, if no event was before. */
  onFirstEvent: () => void;
  /** Called when the request is sent to the decode endpoint. */
  onDecode: () => void;
}

/** Sends a stream once and passes its events on to the relay. */
export class StreamSend {
  #context: RoutingContext;
  #options: StreamSendOptions;
  #stream: EndpointStream | undefined;
  #lastByteAtMs = NaN;
  #replaced = false;
  #decodeBegun = false;
  #eventsBefore = 0;
  #answeringSinceMs: number | undefined;
  #isBegun = false;
  /** Whether the endpoint has been answering for so long that no part of the prompt crashes it. */
  #wasAnswering = false;
  #endsWithConnection = false;
  /** Id of the event after which the send begins. */
  #lastEventId: string | null = null;
  #meter: StreamMeter;

  constructor(context: RoutingContext, options: StreamSendOptions) {
    this.#context = context;
    this.#options = options;
    this.#meter = new StreamMeter(this.endpoint.decodeSpeed);
  }

  get endpoint(): EndpointRecord {
    return this.#options.reservation.endpoint;
  }

  get ordinal(): number {
    return this.#options.ordinal;
  }

  // A late stream is served after all others.
  get #urgency(): number | undefined {
    const { priority, reservation } = this.#options;
    if (priority === undefined) return undefined;
    return reservation.isLate ? LEAST_URGENT : priority;
  }

  /** Whether the request was sent to the decode endpoint. */
  get decodeBegun(): boolean {
    return this.#decodeBegun;
  }

  /** Time since the decode began or bytes arrived. */
  silentMs(): number {
    return performance.now() - this.#lastByteAtMs;
  }

  /** Ends the send with `timeout`, because another send continues the stream. */
  replace(): void {
    this.#replaced = true;
    this.#stream?.abort();
  }

  /** Prefills and decodes; resolves when the stream is complete or has failed. */
  async run(): Promise<SendResult> {
    const { reservation, prefill, signal, clock } = this.#options;
    const { endpoint } = reservation;
    const tokens = heldTokens(reservation.load) +
      reservation.load.expectedTokens;
    endpoint.inFlight += 1;
    endpoint.inFlightTokens += tokens;
    const startedMs = performance.now();
    const prefilled: Result<PrefillSource | null, SendFailure> =
      this.#options.isQuarantined()
        ? err({ kind: "notSent" })
        : await prefill.run(endpoint, { signal, urgency: this.#urgency });
    const prefilledMs = performance.now();
    const source = prefilled.unwrapOr(null);
    // During the prefill, the endpoint may have started draining, or the request may
    // have been quarantined.
    const usable = prefilled.isOk() && endpoint.mayTakeWork(prefilledMs) &&
      !this.#options.isQuarantined();
    const outcome = usable ? await this.#decode(source) : this.#abandon({
      source,
      failure: prefilled.isErr() ? prefilled.error : { kind: "notSent" },
    });
    endpoint.inFlight -= 1;
    endpoint.inFlightTokens -= tokens;
    endLoad(this.#context, reservation);
    const decodeMs = performance.now() - prefilledMs;
    if (usable) this.#recordOutcome({ source, outcome, decodeMs });
    if (outcome.isOk()) this.#noteCost(decodeMs);
    this.#noteTimes({ startedMs, prefilledMs });
    this.#logOutcome(outcome, {
      prefill: source?.endpoint.entry.id,
      queuedMs: Math.round(startedMs - clock.startedAtMs),
      prefillMs: Math.round(prefilledMs - startedMs),
      decodeMs: Math.round(decodeMs),
    });
    return outcome;
  }

  async #decode(source: KvSource | null): Promise<SendResult> {
    const { request, clock, relay, reservation, signal } = this.#options;
    if (signal.aborted) return err({ kind: "aborted" });
    const silence = this.#watchSilence();
    const listener = relay.listen({
      resume: () => {
        silence.restart();
        stream.resume();
      },
    });
    let rejectedStatus: number | null = null;
    this.#lastByteAtMs = performance.now();
    this.#decodeBegun = true;
    this.#lastEventId = relay.lastEventId;
    this.#eventsBefore = relay.events;
    this.#options.onDecode();
    const stream = this.#context.port.stream(reservation.endpoint.entry, {
      request,
      timeLeftMs: clock.callerTimeLeftMs(),
      firstByteMs: clock.leftMs(),
      wholeMs: clock.leftMs(),
      signal,
      urgency: this.#urgency,
      lastEventId: this.#lastEventId,
      reservation: reservation.reservationId,
      kvSource: source && { address: source.address, handle: source.handle },
      listener: {
        onHead: (head: AnswerHead) => {
          this.#endsWithConnection = head.endsWithConnection ?? false;
          const { service, softwareVersion } = reservation.endpoint.entry;
          const origin = { service, version: softwareVersion };
          if (listener.onHead({ ...head, origin })) return;
          rejectedStatus = head.status;
          this.#stream?.abort();
        },
        onData: (bytes) => {
          this.#lastByteAtMs = performance.now();
          silence.restart();
          this.#options.onProgress();
          const isBegun = relay.events > 0;
          const writable = listener.onData(bytes);
          reservation.load.generatedTokens = this.#tokensIn(relay.events);
          this.#meter.note(this.#generatedTokens());
          this.#noteAnswering();
          if (!isBegun && relay.events > 0) this.#options.onFirstEvent();
          if (listener.overflowed) this.#stream?.abort();
          if (!writable) {
            silence.stop();
            this.#meter.pause();
          }
          return writable;
        },
      },
    });
    this.#stream = stream;
    if (rejectedStatus !== null || listener.overflowed) stream.abort();
    const ended = await stream.ended;
    silence.end();
    const result = listener.overflowed
      ? listener.finish()
      : ended.andThen(() => listener.finish());
    listener.discard();
    if (listener.overflowed && relay.overrun) {
      this.#context.observer.count("stream_overruns", relay.overrun);
    }
    if (this.#replaced) return err({ kind: "timeout" });
    if (rejectedStatus !== null) {
      const detail = `Status ${rejectedStatus} does not continue the stream`;
      return err({ kind: "lost", detail });
    }
    return result;
  }

  #noteCost(decodeMs: number): void {
    const { reservation, service, request, pool } = this.#options;
    if (!pool) return;
    const { promptTokens } = reservation.load;
    const generatedTokens = this.#generatedTokens();
    // The output grows evenly, so that half of it is held on average.
    this.#context.noteStreamCost(service, {
      heldTokens: promptTokens + generatedTokens / 2,
      decodeMs,
    });
    if (this.#eventsBefore > 0) return;
    const { prompt } = request;
    this.#context.outputs.note(service, { prompt, generatedTokens, decodeMs });
  }

  #generatedTokens(): number {
    return this.#tokensIn(this.#options.relay.events - this.#eventsBefore);
  }

  #tokensIn(events: number): number {
    return events * (this.#options.pool?.tokensPerEvent ?? 0);
  }

  #noteAnswering(): void {
    if (this.#options.relay.events === this.#eventsBefore) return;
    this.#answeringSinceMs ??= performance.now();
    const answeringMs = performance.now() - this.#answeringSinceMs;
    if (!this.#isBegun && answeringMs >= BEGUN_MS) {
      this.#isBegun = true;
      this.#context.crashes.noteBegun(this.#options.request);
    }
    if (this.#wasAnswering || answeringMs < ANSWERING_MS) return;
    this.#wasAnswering = true;
    this.#context.crashes.noteAnswering(this.#options.request);
  }

  // While the caller doesn't read, nothing is expected from the endpoint either:
  // the watch is stopped until the caller can be written to again.
  #watchSilence(): SilenceWatch {
    const { route, onSilent, onFault } = this.#options;
    const watch = new SilenceWatch({
      limitMs: Math.max(
        MIN_SILENCE_MS,
        SILENCE_GAPS * (route.maxEventGapMs ?? 0),
      ),
      onSilent,
      onFault,
    });
    if (route.resumable) watch.start();
    return watch;
  }

  // Nothing was sent to the decode endpoint, so its record is not updated.
  #abandon(
    { source, failure }: { source: PrefillSource | null; failure: SendFailure },
  ): SendResult {
    const { reservation, prefill } = this.#options;
    releasePlace(this.#context, reservation);
    if (source) prefill.discard(source, failure.kind);
    return err(failure);
  }

  #recordOutcome(
    { source, outcome, decodeMs }: {
      source: PrefillSource | null;
      outcome: SendResult;
      decodeMs: number;
    },
  ): void {
    const { reservation, prefill, request } = this.#options;
    const { endpoint, reservationId } = reservation;
    const refused = outcome.isErr() && outcome.error.kind === "notExecuted";
    // The stream holds a reservation, so a refusal means that the KV cache could
    // not be fetched.
    if (source && (refused || outcome.isOk())) {
      prefill.noteFetched(source, !refused);
    }
    noteOutcome(this.#context, {
      endpoint,
      request,
      outcome,
      // The duration of a decode depends on its output, and says little of the engine.
      tookMs: this.#options.pool ? 0 : decodeMs,
      wasAnswering: this.#wasAnswering,
    });
    const { crashes } = this.#context;
    if (outcome.isOk() && this.#endsWithConnection) {
      const wasAnswering = this.#wasAnswering;
      return crashes.noteEnded(request, endpoint.entry, { wasAnswering });
    }
    if (outcome.isOk()) return crashes.noteAnswered(request);
    // A refusal despite the reservation counts as a failure, so that an endpoint
    // which keeps refusing for another reason than a pause is ejected.
    const refusedDespite = refused && reservationId !== null;
    if (refusedDespite && !endpoint.isLimited(performance.now())) {
      endpoint.noteFailure(performance.now());
      this.#context.noteRefusal(endpoint);
    }
    if (provesNotRun(outcome.error) || outcome.error.kind === "aborted") {
      releasePlace(this.#context, reservation);
      if (source) prefill.discard(source, outcome.error.kind);
    }
  }

  #noteTimes(timestamps: { startedMs: number; prefilledMs: number }): void {
    const { times } = this.#context;
    const { relay, clock, route } = this.#options;
    const { startedAtMs } = clock;
    times.note("queue", route.kind, timestamps.startedMs - startedAtMs);
    times.note(
      "prefill",
      route.kind,
      timestamps.prefilledMs - timestamps.startedMs,
    );
    if (relay.events === 0) return;
    times.note("first-event", route.kind, relay.firstEventAtMs - startedAtMs);
    times.note("gap", route.kind, relay.longestGapMs);
  }

  #logOutcome(
    outcome: SendResult,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { request, route, clock, relay, ordinal, prefill } = this.#options;
    this.#context.observer.log({
      event: "stream-sent",
      attempt: request.id,
      route: route.name,
      endpoint: this.endpoint.entry.id,
      version: this.endpoint.entry.softwareVersion,
      send: ordinal,
      urgency: this.#urgency,
      late: this.#options.reservation.isLate,
      placedBy: this.#options.reservation.isForecast ? "home" : "own-view",
      after: this.#lastEventId ?? undefined,
      outcome: outcome.isOk() ? "complete" : outcome.error.kind,
      detail: outcome.isErr() ? detailOf(outcome.error) : undefined,
      replaced: this.#replaced || undefined,
      ...fields,
      silentMs: Math.round(this.silentMs()),
      firstEventMs: Math.round(relay.firstEventAtMs - clock.startedAtMs),
      longestGapMs: Math.round(relay.longestGapMs),
      events: relay.events,
      promptTokens: prefill.tokens,
      maxOutputTokens: request.prompt?.maxOutputTokens,
      hint: request.prompt?.expectedOutputTokens ?? undefined,
      parts: request.prompt?.parts.map(({ id }) => id).join() || undefined,
    });
  }
}
