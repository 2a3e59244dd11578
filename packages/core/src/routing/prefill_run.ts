/** The prefill of one stream: where its prompt is read, and what becomes of the KV cache. */
import { err, ok, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { noteOutcome } from "./call_run.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { KvSource, PrefillAnswer, SendFailure } from "./port.ts";
import type { RequestClock } from "./request_clock.ts";
import type { RoutedRequest } from "./types.ts";

/** Prefill endpoints that are tried for one send. */
const MAX_PREFILLS = 2;
/** A prefill is given up after this many times its expected time. */
const PREFILL_TIMEOUT_FACTOR = 4;
/** Prompts that come together queue for about this long. */
const MIN_PREFILL_TIMEOUT_MS = 600;

/** KV cache, and the endpoint that read it. */
export interface PrefillSource extends KvSource {
  readonly endpoint: EndpointRecord;
}

/** What a prefill is made for. */
export interface PrefillRunOptions {
  request: RoutedRequest;
  service: ServiceName;
  clock: RequestClock;
  /** Ends the prefill when its caller leaves. */
  signal: AbortSignal;
}

/** Owns the prefills of one stream. */
export class PrefillRun {
  #context: RoutingContext;
  #options: PrefillRunOptions;
  /** Endpoints whose KV cache could not be fetched. */
  #expired = new Set<EndpointId>();
  #sent = 0;

  constructor(context: RoutingContext, options: PrefillRunOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Tokens of the prompt. */
  get tokens(): number {
    return this.#options.request.prompt?.promptTokens ?? 0;
  }

  /** How long the prefill takes with the queues of the moment. */
  expectedMs(): number {
    const { prefillTimes } = this.#context;
    return prefillTimes.expectedMs(this.#options.service, this.tokens);
  }

  /**
   * Reads the prompt at a prefill endpoint. Where none can be reached, the decode
   * endpoint reads it itself, which holds up all streams there; so it does not
   * stand in for several prefill endpoints that are merely busy. For a single one
   * it does, as prefill is then what the pool is short of.
   */
  async run(
    decode: EndpointRecord,
  ): Promise<Result<PrefillSource | null, SendFailure>> {
    const tried = new Set<EndpointId>(this.#expired);
    let busyEngines = 0;
    for (let attempts = 0; attempts < MAX_PREFILLS; attempts += 1) {
      const endpoint = await this.#choose(decode, tried);
      if (!endpoint || !this.#takePrefill()) break;
      tried.add(endpoint.entry.id);
      const outcome = await this.#sendPrefill(endpoint);
      if (outcome.isOk()) {
        const { handle } = outcome.value;
        return ok({ endpoint, address: endpoint.entry.address, handle });
      }
      const { kind } = outcome.error;
      if (kind === "aborted") return err(outcome.error);
      if (kind === "timeout" || kind === "notExecuted") busyEngines += 1;
    }
    return busyEngines > 1 ? err({ kind: "notSent" }) : ok(null);
  }

  #choose(
    decode: EndpointRecord,
    tried: ReadonlySet<EndpointId>,
  ): Promise<EndpointRecord | undefined> {
    const { placement, random } = this.#context;
    return placement.choosePrefill(this.#options.service, {
      decodeDataCentre: decode.entry.dataCentre,
      tried,
      nowMs: performance.now(),
      random,
      tokens: this.tokens,
    });
  }

  // Only the first prefill of a request costs nothing of the budget.
  #takePrefill(): boolean {
    const { budget } = this.#context;
    if (this.#sent > 0 && !budget.take(this.#options.service)) return false;
    this.#sent += 1;
    return true;
  }

  async #sendPrefill(
    endpoint: EndpointRecord,
  ): Promise<Result<PrefillAnswer, SendFailure>> {
    const { request, service, signal } = this.#options;
    const { port, budget, prefillTimes, observer } = this.#context;
    const { tokens } = this;
    const expectedMs = this.expectedMs();
    const startedMs = performance.now();
    endpoint.inFlightTokens += tokens;
    const outcome = await port.prefill(endpoint.entry, {
      request,
      timeLeftMs: this.#options.clock.callerTimeLeftMs(),
      firstByteMs: Math.max(
        MIN_PREFILL_TIMEOUT_MS,
        PREFILL_TIMEOUT_FACTOR * expectedMs,
      ),
      signal,
    });
    endpoint.inFlightTokens -= tokens;
    const tookMs = performance.now() - startedMs;
    noteOutcome(this.#context, { endpoint, request, outcome, tookMs });
    const kind = outcome.isOk() ? "ok" : outcome.error.kind;
    // One that was given up took at least so long.
    if (kind === "ok" || kind === "timeout") {
      prefillTimes.note(service, { tokens, tookMs });
    }
    if (kind === "ok") return outcome;
    if (this.#sent === 1 && kind !== "notSent") budget.charge(service);
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

  /** Notes whether the decode endpoint could fetch the KV cache. */
  noteFetched(source: PrefillSource, fetched: boolean): void {
    source.endpoint.noteHandleFetch(fetched);
    if (!fetched) this.#expired.add(source.endpoint.entry.id);
  }

  /** Frees KV cache that nobody will fetch. */
  discard(source: PrefillSource, reason: SendFailure["kind"]): void {
    this.#context.port.freeHandle(source.endpoint.entry, source.handle);
    this.#context.observer.count("prefills_wasted", reason);
  }
}
