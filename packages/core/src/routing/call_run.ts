/** One call to a plain service: its endpoint, its repeats, its answer or refusal. */
import type { Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import {
  notRun,
  type Refusal,
  refuse,
  type Verdict,
} from "../common/verdict.ts";
import type { RoutingContext } from "./context.ts";
import { fingerprintOf } from "./crash_tracker.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { EndpointAnswer, SendFailure } from "./port.ts";
import { chooseEndpoint } from "./queries/choose_endpoint.ts";
import { RequestClock } from "./request_clock.ts";
import { isRetryable, type Route, type RoutedRequest } from "./types.ts";
import {
  provesNotRun,
  refusalOfEarlierSend,
  refusalOfFailure,
} from "./verdicts.ts";

/** Less time than this is not worth a send. */
const MIN_SEND_MS = 5;
/** Sends of one request, those included that the endpoints did not run. */
const MAX_SENDS = 4;
/** A repeatable request leaves an endpoint that is silent for this many times its target. */
const SILENCE_TARGETS = 2;
/** How long an endpoint that had no room is passed over. */
const FULL_REST_MS = 50;
const FIRST_SERVER_ERROR = 500;

/** What a call is run with. */
export interface CallRunOptions {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  /** Ends the call when its caller leaves. */
  signal: AbortSignal;
}

type Outcome = Result<EndpointAnswer, SendFailure>;

/** Runs a call to its verdict. */
export class CallRun {
  #context: RoutingContext;
  #options: CallRunOptions;
  #clock: RequestClock;
  #tried = new Set<EndpointId>();
  /** Endpoints that may have run the request. */
  #ran = 0;

  constructor(context: RoutingContext, options: CallRunOptions) {
    this.#context = context;
    this.#options = options;
    this.#clock = new RequestClock(options.request, options.route);
  }

  /** Sends the call until it is answered or can't be. */
  async run(): Promise<Verdict<EndpointAnswer>> {
    let last: Outcome | null = null;
    for (let sends = 1; sends <= MAX_SENDS; sends += 1) {
      if (last && !this.#takeRepeat(last)) break;
      if (this.#clock.leftMs() < MIN_SEND_MS) break;
      const endpoint = this.#choose();
      if (!endpoint) break;
      last = await this.#send(endpoint, sends);
      if (!this.#isWorthRepeating(last)) break;
    }
    return this.#verdictOf(last);
  }

  #choose(): EndpointRecord | undefined {
    const { endpoints, dataCentre, random } = this.#context;
    return chooseEndpoint(endpoints.usable(this.#options.service, null), {
      dataCentre,
      tried: this.#tried,
      nowMs: performance.now(),
      random,
    });
  }

  async #send(endpoint: EndpointRecord, sends: number): Promise<Outcome> {
    const { request, route, signal } = this.#options;
    this.#tried.add(endpoint.entry.id);
    const startedMs = performance.now();
    endpoint.inFlight += 1;
    const outcome = await this.#context.port.call(endpoint.entry, {
      request,
      timeLeftMs: this.#clock.callerTimeLeftMs(),
      firstByteMs: this.#firstByteMs(),
      signal,
    });
    endpoint.inFlight -= 1;
    const tookMs = performance.now() - startedMs;
    if (outcome.isOk() || !provesNotRun(outcome.error)) this.#ran += 1;
    noteOutcome(this.#context, { endpoint, request, outcome, tookMs });
    this.#context.observer.log({
      event: "call-sent",
      attempt: request.id,
      route: route.name,
      endpoint: endpoint.entry.id,
      send: sends,
      outcome: outcome.isOk() ? outcome.value.status : outcome.error.kind,
      tookMs: Math.round(tookMs),
      leftMs: Math.round(this.#clock.leftMs()),
    });
    return outcome;
  }

  // The silence of one endpoint must not use up the time of a request that another could answer.
  #firstByteMs(): number {
    const leftMs = this.#clock.leftMs();
    const { route } = this.#options;
    return isRetryable(route) && this.#ran + 1 < route.maxAttempts
      ? Math.min(leftMs, SILENCE_TARGETS * route.targetLatencyMs)
      : leftMs;
  }

  #isWorthRepeating(outcome: Outcome): boolean {
    const { route, signal } = this.#options;
    if (signal.aborted) return false;
    if (outcome.isErr() && provesNotRun(outcome.error)) return true;
    if (!isRetryable(route) || this.#ran >= route.maxAttempts) return false;
    return outcome.match(
      (answer) => answer.status >= FIRST_SERVER_ERROR,
      () => true,
    );
  }

  // A connection that never stood brought nothing to an endpoint, so it costs nothing of the budget.
  #takeRepeat(last: Outcome): boolean {
    const reason = last.isErr() ? last.error.kind : "server-error";
    if (reason === "notSent") return true;
    return takeRetry(this.#context, {
      service: this.#options.service,
      reason,
    });
  }

  #verdictOf(last: Outcome | null): Verdict<EndpointAnswer> {
    if (last) return last.mapErr((failure) => this.#refusalOf(failure));
    return refuse(
      this.#clock.leftMs() < MIN_SEND_MS
        ? notRun("deadline-passed")
        : notRun("no-endpoint", { retryAfterMs: 200 }),
    );
  }

  // An earlier send may have run even where the last one did not.
  #refusalOf(last: SendFailure): Refusal {
    const refusal = refusalOfFailure(last);
    if (refusal.kind === "mayHaveRun" || this.#ran === 0) return refusal;
    return refusalOfEarlierSend();
  }
}

/** Takes a repeat from the budget and counts it; false where the budget is spent. */
export function takeRetry(
  { budget, observer }: RoutingContext,
  { service, reason }: { service: ServiceName; reason: string },
): boolean {
  const taken = budget.take(service);
  observer.count("retries", taken ? reason : `spent-${reason}`);
  return taken;
}

/** Notes in the endpoint's record how it answered. */
export function noteOutcome(
  context: RoutingContext,
  { endpoint, request, outcome, tookMs }: {
    endpoint: EndpointRecord;
    request: RoutedRequest;
    outcome: Result<unknown, SendFailure>;
    tookMs: number;
  },
): void {
  const nowMs = performance.now();
  const { crashes } = context;
  if (outcome.isOk()) {
    if (crashes.hasSuspects) crashes.clear(fingerprintOf(request));
    return endpoint.noteSuccess(tookMs);
  }
  if (outcome.error.kind === "lost") {
    crashes.noteLostConnection(fingerprintOf(request), endpoint.entry.id);
  }
  if (outcome.error.kind === "notSent") crashes.noteCrash(endpoint.entry.id);
  switch (outcome.error.kind) {
    case "aborted":
      return;
    case "notExecuted":
      return endpoint.noteFull(nowMs + FULL_REST_MS);
    case "misdirected":
      // Its entry says otherwise if it is there again.
      return endpoint.setMissing(nowMs);
    default:
      if (!endpoint.noteFailure(nowMs)) return;
      context.observer.count("ejections", outcome.error.kind);
      context.observer.log({
        event: "endpoint-ejected",
        level: "warn",
        endpoint: endpoint.entry.id,
        reason: outcome.error.kind,
        failures: endpoint.failuresInRow,
        forMs: Math.round(endpoint.ejectedUntilMs - nowMs),
      });
  }
}
