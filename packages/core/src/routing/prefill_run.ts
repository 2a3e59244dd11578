/** Runs the prefills of one stream: chooses endpoints and tracks the resulting KV cache. */
import { err, ok, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { PrefillChoice } from "./placement/placement.ts";
import type { KvSource, PrefillAnswer, SendFailure } from "./port.ts";
import type { RequestClock } from "./request_clock.ts";
import { noteOutcome } from "./send_outcome.ts";
import type { RoutedRequest } from "./types.ts";

/** Maximum prefill endpoints tried for one send of a stream. */
const MAX_PREFILLS = 2;
/** Timeout of a prefill, in multiples of its expected duration. */
const PREFILL_TIMEOUT_FACTOR = 4;
/** Prompts that arrive together queue for about this long. */
const MIN_PREFILL_TIMEOUT_MS = 600;
/** Largest share of a request's time for a prefill that isn't expected to take longer. */
const MAX_TIME_SHARE = 0.5;

/** KV cache, and the prefill endpoint that computed it. */
export interface PrefillSource extends KvSource {
  readonly endpoint: EndpointRecord;
}

/** Options of {@link PrefillRun}. */
export interface PrefillRunOptions {
  request: RoutedRequest;
  service: ServiceName;
  clock: RequestClock;
  /** The urgency of the request, where the streams of its service have several. */
  urgency?: number;
  /** Whether the prefill is left to the decode endpoint. */
  atDecode?: () => boolean;
  /** Whether the request continues a stream, which nobody can begin anew. */
  mustGoOn?: () => boolean;
}

/** Prefills the prompt of one stream, again for each send of it. */
export class PrefillRun {
  #context: RoutingContext;
  #options: PrefillRunOptions;
  /** Prefill endpoints whose KV cache could not be fetched. */
  #expired = new Set<EndpointId>();
  /** Number of prefills sent. */
  #sent = 0;

  constructor(context: RoutingContext, options: PrefillRunOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Length of the prompt in tokens; 0 if the request has none. */
  get tokens(): number {
    return this.#options.request.prompt?.promptTokens ?? 0;
  }

  /** Estimated duration of the prefill, including the current queueing delay. */
  expectedMs(): number {
    const { prefillTimes, prefillDelays } = this.#context;
    const { service, urgency } = this.#options;
    return urgency === undefined
      ? prefillTimes.expectedMs(service, this.tokens)
      : this.tokens / prefillTimes.tokensPerMs(service) +
        prefillDelays.currentMs({ service, urgency });
  }

  /**
   * Prefills the prompt at a prefill endpoint. Returns null if none is available:
   * the decode endpoint then prefills the prompt itself. That delays all streams
   * there, so if several prefill endpoints are merely busy, this fails with
   * `notSent` instead. A single busy one still gives null, since the pool is then
   * short of prefill capacity. A stream that goes on and has no time to wait for another
   * one doesn't. Fails with `aborted` once `signal` is.
   */
  async run(
    decode: EndpointRecord,
    { signal, urgency }: { signal: AbortSignal; urgency?: number },
  ): Promise<Result<PrefillSource | null, SendFailure>> {
    if (this.#options.atDecode?.()) return ok(null);
    const tried = new Set<EndpointId>(this.#expired);
    let busyEngines = 0;
    for (let attempts = 0; attempts < MAX_PREFILLS; attempts += 1) {
      const choice = await this.#choose(decode, tried);
      if (!choice || !this.#takePrefill()) break;
      const { endpoint } = choice;
      tried.add(endpoint.entry.id);
      const outcome = await this.#sendPrefill(choice, { signal, urgency });
      if (outcome.isOk()) {
        const { handle } = outcome.value;
        return ok({ endpoint, address: endpoint.entry.address, handle });
      }
      const { kind } = outcome.error;
      if (kind === "aborted") return err(outcome.error);
      if (kind === "limited") {
        this.#giveBackPrefill();
        attempts -= 1;
      }
      if (kind === "timeout" || kind === "notExecuted") busyEngines += 1;
      if (this.#isLastChance()) return ok(null);
    }
    return busyEngines > 1 ? err({ kind: "notSent" }) : ok(null);
  }

  #isLastChance(): boolean {
    const { clock, mustGoOn } = this.#options;
    const mayWaitAgain =
      MAX_TIME_SHARE * clock.leftMs() >= MIN_PREFILL_TIMEOUT_MS;
    return !mayWaitAgain && (mustGoOn?.() ?? false);
  }

  #choose(
    decode: EndpointRecord,
    tried: ReadonlySet<EndpointId>,
  ): Promise<PrefillChoice | undefined> {
    const { placement, random } = this.#context;
    return placement.choosePrefill(this.#options.service, {
      decodeDataCentre: decode.entry.dataCentre,
      tried,
      nowMs: performance.now(),
      random,
      tokens: this.tokens,
    });
  }

  // Every prefill of a request but the first is charged to the retry budget here.
  // The first is charged in `#sendPrefill`, only if it was sent and failed.
  #takePrefill(): boolean {
    const { budget } = this.#context;
    if (this.#sent > 0 && !budget.take(this.#options.service)) return false;
    this.#sent += 1;
    return true;
  }

  #giveBackPrefill(): void {
    this.#sent -= 1;
    if (this.#sent > 0) this.#context.budget.giveBack(this.#options.service);
  }

  async #sendPrefill(
    choice: PrefillChoice,
    { signal, urgency }: { signal: AbortSignal; urgency?: number },
  ): Promise<Result<PrefillAnswer, SendFailure>> {
    const { endpoint } = choice;
    const { request, service, clock } = this.#options;
    const { port, budget, prefillTimes, placement, observer } = this.#context;
    const { prefillDelays } = this.#context;
    const { tokens } = this;
    const expectedMs = this.expectedMs();
    const limitMs = timeoutMs(expectedMs, clock.leftMs());
    const startedMs = performance.now();
    endpoint.inFlightTokens += tokens;
    const outcome = await port.prefill(endpoint.entry, {
      request,
      timeLeftMs: clock.callerTimeLeftMs(),
      firstByteMs: limitMs,
      wholeMs: limitMs,
      signal,
      urgency,
    });
    endpoint.inFlightTokens -= tokens;
    const tookMs = performance.now() - startedMs;
    const kind = outcome.isOk() ? "ok" : outcome.error.kind;
    // A request with too little time left for a prefill says nothing about the endpoint.
    const isMeaningful = kind !== "timeout" || limitMs >= expectedMs;
    if (isMeaningful) {
      noteOutcome(this.#context, { endpoint, request, outcome, tookMs });
    }
    // A prefill that timed out would have taken at least this long.
    if (kind === "ok" || (kind === "timeout" && isMeaningful)) {
      prefillTimes.note(service, { tokens, tookMs, completed: kind === "ok" });
      placement.notePrefill(choice, { tokens, tookMs });
      if (urgency !== undefined) {
        const readMs = tokens / prefillTimes.tokensPerMs(service);
        prefillDelays.note({ service, urgency }, tookMs - readMs);
      }
    }
    if (kind === "ok") return outcome;
    const wasSent = kind !== "notSent" && kind !== "limited";
    if (this.#sent === 1 && wasSent) budget.charge(service);
    observer.log({
      event: "prefill-failed",
      attempt: request.id,
      endpoint: endpoint.entry.id,
      reason: kind,
      expectedMs: Math.round(expectedMs),
      tookMs: Math.round(tookMs),
    });
    return outcome;
  }

  /** Records whether the decode endpoint could fetch the KV cache. */
  noteFetched(source: PrefillSource, fetched: boolean): void {
    source.endpoint.noteHandleFetch(fetched);
    if (!fetched) this.#expired.add(source.endpoint.entry.id);
  }

  /** Frees KV cache that will not be fetched, and counts the wasted prefill. */
  discard(source: PrefillSource, reason: SendFailure["kind"]): void {
    this.#context.port.freeHandle(source.endpoint.entry, source.handle);
    this.#context.observer.count("prefills_wasted", reason);
  }
}

function timeoutMs(expectedMs: number, leftMs: number): number {
  const patientMs = Math.max(
    MIN_PREFILL_TIMEOUT_MS,
    PREFILL_TIMEOUT_FACTOR * expectedMs,
  );
  const shareMs = Math.min(patientMs, MAX_TIME_SHARE * leftMs);
  return Math.min(Math.max(expectedMs, shareMs), leftMs);
}
