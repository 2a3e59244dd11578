/**
 * Runs one call to a service without engines: chooses an endpoint, sends the
 * request, retries where that is safe, and returns the answer or a refusal.
 */
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

/** A request with less time left than this is not sent. */
const MIN_SEND_MS = 5;
/** Maximum sends of one request, including those that endpoints rejected without running it. */
const MAX_SENDS = 4;
/** First-byte timeout of a retryable request, in multiples of its target latency. */
const FIRST_BYTE_TIMEOUT_TARGETS = 2;
/** How long an endpoint that refused a call for lack of capacity counts as full. */
const FULL_FOR_MS = 50;
const FIRST_SERVER_ERROR = 500;

/** Options of {@link CallRun}. */
export interface CallRunOptions {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

type SendResult = Result<EndpointAnswer, SendFailure>;

/** Sends one call, with retries, until it has a verdict. */
export class CallRun {
  #context: RoutingContext;
  #options: CallRunOptions;
  #clock: RequestClock;
  #tried = new Set<EndpointId>();
  /** Number of sends after which an endpoint may have run the request. */
  #runs = 0;

  constructor(context: RoutingContext, options: CallRunOptions) {
    this.#context = context;
    this.#options = options;
    this.#clock = new RequestClock(options.request, options.route);
  }

  /** Sends the call until it is answered, or no further send is possible or allowed. */
  async run(): Promise<Verdict<EndpointAnswer>> {
    let last: SendResult | null = null;
    for (let sends = 1; sends <= MAX_SENDS; sends += 1) {
      if (last && !this.#takeRetry(last)) break;
      if (this.#clock.leftMs() < MIN_SEND_MS) break;
      const endpoint = this.#choose();
      if (!endpoint) break;
      last = await this.#send(endpoint, sends);
      if (!this.#shouldRetry(last)) break;
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

  async #send(endpoint: EndpointRecord, sends: number): Promise<SendResult> {
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
    if (outcome.isOk() || !provesNotRun(outcome.error)) this.#runs += 1;
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

  // An unresponsive endpoint must not use up the whole deadline while another
  // endpoint could still answer.
  #firstByteMs(): number {
    const leftMs = this.#clock.leftMs();
    const { route } = this.#options;
    return isRetryable(route) &&
        this.#runs + 1 < route.maxAttempts
      ? Math.min(leftMs, FIRST_BYTE_TIMEOUT_TARGETS * route.targetLatencyMs)
      : leftMs;
  }

  #shouldRetry(outcome: SendResult): boolean {
    const { route, signal } = this.#options;
    if (signal.aborted) return false;
    if (outcome.isErr() && provesNotRun(outcome.error)) return true;
    if (!isRetryable(route) || this.#runs >= route.maxAttempts) return false;
    return outcome.match(
      (answer) => answer.status >= FIRST_SERVER_ERROR,
      () => true,
    );
  }

  // If the connection was never established, no endpoint received the request,
  // so the retry is not charged to the budget.
  #takeRetry(last: SendResult): boolean {
    const reason = last.isErr() ? last.error.kind : "server-error";
    if (reason === "notSent") return true;
    return takeRetry(this.#context, {
      service: this.#options.service,
      reason,
    });
  }

  #verdictOf(last: SendResult | null): Verdict<EndpointAnswer> {
    if (last) return last.mapErr((failure) => this.#refusalOf(failure));
    return refuse(
      this.#clock.leftMs() < MIN_SEND_MS
        ? notRun("deadline-passed")
        : notRun("no-endpoint", { retryAfterMs: 200 }),
    );
  }

  // An earlier send may have run the request even if the last one did not.
  #refusalOf(last: SendFailure): Refusal {
    const refusal = refusalOfFailure(last);
    if (refusal.kind === "mayHaveRun" || this.#runs === 0) return refusal;
    return refusalOfEarlierSend();
  }
}

/** Takes a retry from the budget and counts it; returns false if the budget is spent. */
export function takeRetry(
  { budget, observer }: RoutingContext,
  { service, reason }: { service: ServiceName; reason: string },
): boolean {
  const taken = budget.take(service);
  observer.count("retries", taken ? reason : `spent-${reason}`);
  return taken;
}

/** Updates the endpoint's record and the crash tracker with the outcome of a send. */
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
      return endpoint.noteFull(nowMs + FULL_FOR_MS);
    case "misdirected":
      // If the endpoint comes back, its next directory entry undoes this.
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
