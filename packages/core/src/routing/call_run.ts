/**
 * Runs one call to a service without engines: chooses an endpoint, sends the
 * request, retries where that is safe, and returns the answer or a refusal.
 */
import { err, ok, type Result } from "neverthrow";
import type { EndpointId } from "../common/ids.ts";
import {
  type NotRun,
  notRun,
  type Refusal,
  refuse,
  type Verdict,
} from "../common/verdict.ts";
import { isFinal, isLimited, type SendResult } from "./call_results.ts";
import type { CallRunOptions } from "./call_run_options.ts";
import { CallTurns } from "./call_turns.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { forwardCall, mayHaveRunElsewhere } from "./links/forward_request.ts";
import type { ForwardFailure } from "./links/types.ts";
import {
  detailOf,
  type EndpointAnswer,
  isAnswer,
  type SendFailure,
} from "./port.ts";
import { chooseEndpoint, chooseOptions } from "./queries/choose_endpoint.ts";
import { soonestPermitMs } from "./queries/soonest_permit.ts";
import { effectivePriority } from "./queries/effective_priority.ts";
import { ReceivedBodies } from "./received_bodies.ts";
import { RequestClock } from "./request_clock.ts";
import { takeRetry } from "./retries.ts";
import { noteOutcome } from "./send_outcome.ts";
import { SilenceWatch, type SilenceWatchOptions } from "./silence_watch.ts";
import { isRetryable } from "./types.ts";
import {
  provesNotRun,
  refusalOfEarlierSend,
  refusalOfFailure,
  refusalOfFullEndpoints,
  refusalOfLimit,
} from "./verdicts.ts";

/** A request with less time left than this is not sent. */
const MIN_SEND_MS = 5;
/** Maximum sends of one request, including those that endpoints rejected without running it. */
const MAX_SENDS = 4;
/** Time without an answer after which a retryable request is hedged, in multiples of its target latency. */
const HEDGE_AFTER_TARGETS = 2;
/** Spreads the retries of requests that were refused because of limits. */
const LIMIT_JITTER_MS = 1_000;

type SendHooks = Pick<SilenceWatchOptions, "onSilent" | "onFault">;

/** Sends one call, with retries, until it has a verdict. */
export class CallRun {
  #context: RoutingContext;
  #options: CallRunOptions;
  #clock: RequestClock;
  #tried = new Set<EndpointId>();
  #turns: CallTurns;
  #bodies = new ReceivedBodies();
  /** Number of sends that have begun. */
  #sends = 0;
  /** Number of sends after which an endpoint may have run the request. */
  #runs: number;
  /** Whether a retry was taken from the budget and nothing has been sent since. */
  #hasUnusedRetry = false;

  constructor(context: RoutingContext, options: CallRunOptions) {
    this.#context = context;
    this.#options = options;
    this.#clock = new RequestClock(options.request, options.route);
    this.#runs = options.request.hop?.runs ?? 0;
    const { request, route } = options;
    const priority = effectivePriority(request, route);
    const clock = this.#clock;
    this.#turns = new CallTurns(context, { ...options, clock, priority });
  }

  /** Sends the call until it is answered, or no further send is possible or allowed. */
  async run(): Promise<Verdict<EndpointAnswer>> {
    const verdict = await this.#run();
    this.#bodies.freeOthers(verdict.isOk() ? verdict.value.body : null);
    return verdict;
  }

  async #run(): Promise<Verdict<EndpointAnswer>> {
    let last: SendResult | null = null;
    let answered: SendResult | null = null;
    if (this.#turns.mustWait() && !await this.#turns.wait()) {
      return refuse(refusalOfFullEndpoints());
    }
    while (this.#sends < MAX_SENDS) {
      if (last && this.#isQuarantined()) break;
      if (last && !this.#takeRetry(last)) break;
      if (this.#clock.leftMs() < MIN_SEND_MS) break;
      const stopping = this.#refusalOfStop();
      if (stopping) {
        return refuse(last ? this.#withEarlierSends(stopping) : stopping);
      }
      if (await this.#hasLostLinks(last)) {
        const forwarded = await this.#forward();
        // The other VM has made the retries that the route allows.
        if (forwarded.isOk()) return ok(forwarded.value);
        const { error } = forwarded;
        if (error.kind === "refused") return refuse(error.refusal);
        last = err(error);
        if (!this.#shouldRetry(last)) break;
        continue;
      }
      const endpoint = this.#choose();
      if (!endpoint) break;
      last = await this.#sendWithHedge(endpoint);
      if (!isLimited(last)) this.#hasUnusedRetry = false;
      if (last.isOk()) answered = last;
      if (!this.#shouldRetry(last)) break;
    }
    if (this.#hasUnusedRetry) this.#giveBackRetry();
    // An endpoint's own error says more than that no other one may get the call.
    return this.#verdictOf(last && isLimited(last) ? answered ?? last : last);
  }

  // A check of the links is awaited only after a send that they may have failed.
  async #hasLostLinks(last: SendResult | null): Promise<boolean> {
    const { forwarding } = this.#context;
    const { service } = this.#options;
    if (last?.isErr() && !isAnswer(last.error) && !isLimited(last)) {
      await forwarding.settled(service);
    }
    return forwarding.isLost(service);
  }

  async #forward(): Promise<Result<EndpointAnswer, ForwardFailure>> {
    const { request, signal } = this.#options;
    this.#sends += 1;
    this.#hasUnusedRetry = false;
    const answer = await forwardCall(this.#context.forwarding, {
      request,
      clock: this.#clock,
      runs: this.#runs,
      signal,
    });
    if (mayHaveRunElsewhere(answer)) this.#runs += 1;
    return answer;
  }

  // A silent endpoint is not given up for another one: the first answer counts, and
  // the sends that are still open then are cancelled.
  #sendWithHedge(endpoint: EndpointRecord): Promise<SendResult> {
    return new Promise((resolve, reject) => {
      const open = new Set<AbortController>();
      let best: SendResult | null = null;
      const fail = (error: unknown) => {
        reject(error);
        for (const send of open) send.abort();
      };
      const start = async (
        endpoint: EndpointRecord,
        { isHedge = false } = {},
      ) => {
        const cancellation = new AbortController();
        open.add(cancellation);
        const result = await this.#send(endpoint, {
          cancelled: cancellation.signal,
          onSilent: () => {
            const next = this.#takeHedge(open.size);
            if (next) start(next, { isHedge: true }).catch(fail);
          },
          onFault: fail,
        });
        open.delete(cancellation);
        if (isHedge && isLimited(result)) this.#giveBackRetry();
        best = best?.isOk() ? best : result;
        if (open.size > 0 && !isFinal(result)) return;
        resolve(isFinal(result) ? result : best);
        for (const other of open) other.abort();
      };
      start(endpoint).catch(fail);
    });
  }

  // Returns the endpoint of a hedge, whose retry has been taken from the budget, or
  // null if the call may not be hedged now.
  #takeHedge(openSends: number): EndpointRecord | null {
    const { route, service } = this.#options;
    if (this.#runs + openSends >= route.maxAttempts) return null;
    if (this.#sends >= MAX_SENDS || this.#isQuarantined()) return null;
    if (this.#refusalOfStop()) return null;
    if (this.#clock.leftMs() < MIN_SEND_MS) return null;
    const endpoint = this.#choose();
    if (!endpoint?.isHealthy(performance.now())) return null;
    return takeRetry(this.#context, { service, reason: "silent" })
      ? endpoint
      : null;
  }

  #refusalOfStop(): NotRun | null {
    const { route } = this.#options;
    return this.#context.stop.refusalOf(route, this.#clock.leftMs());
  }

  #isQuarantined(): boolean {
    const { request, isTrial } = this.#options;
    return isTrial || this.#context.crashes.refusalOf(request) !== null;
  }

  #choose(): EndpointRecord | undefined {
    const { endpoints } = this.#context;
    return chooseEndpoint(endpoints.usable(this.#options.service, null), {
      ...chooseOptions(this.#context),
      tried: this.#tried,
    });
  }

  async #send(
    endpoint: EndpointRecord,
    { cancelled, ...hooks }: SendHooks & { cancelled: AbortSignal },
  ): Promise<SendResult> {
    const { request, route, signal } = this.#options;
    this.#tried.add(endpoint.entry.id);
    this.#sends += 1;
    const send = this.#sends;
    const startedMs = performance.now();
    const leftMs = this.#clock.leftMs();
    endpoint.inFlight += 1;
    endpoint.recentSends.add();
    const silence = this.#watchSilence(endpoint, hooks);
    const outcome = await this.#context.port.call(endpoint.entry, {
      request,
      timeLeftMs: this.#clock.callerTimeLeftMs(),
      firstByteMs: leftMs,
      wholeMs: leftMs,
      signal: AbortSignal.any([signal, cancelled]),
    });
    silence.end();
    if (outcome.isOk()) this.#bodies.add(outcome.value.body);
    endpoint.inFlight -= 1;
    const tookMs = performance.now() - startedMs;
    if (outcome.isOk() || !provesNotRun(outcome.error)) {
      this.#runs += 1;
      this.#context.stop.noteDuration(route, tookMs);
    }
    if (isLimited(outcome)) this.#sends -= 1;
    this.#turns.noteSend(endpoint, outcome.isErr() ? outcome.error : null);
    noteOutcome(this.#context, { endpoint, request, outcome, tookMs });
    if (outcome.isOk()) {
      const { crashes } = this.#context;
      crashes.noteAnswer(endpoint.entry, { sentAtMs: startedMs });
      if (outcome.value.endsWithConnection) {
        crashes.noteEnded(request, endpoint.entry);
      } else crashes.noteAnswered(request);
    }
    this.#context.observer.log({
      event: "call-sent",
      attempt: request.id,
      route: route.name,
      endpoint: endpoint.entry.id,
      send,
      outcome: outcome.isOk() ? outcome.value.status : outcome.error.kind,
      detail: outcome.isErr() ? detailOf(outcome.error) : undefined,
      tookMs: Math.round(tookMs),
      leftMs: Math.round(this.#clock.leftMs()),
    });
    return outcome;
  }

  // The silence counts as a failure of the endpoint, which an answer undoes.
  #watchSilence(endpoint: EndpointRecord, hooks: SendHooks): SilenceWatch {
    const { request, route } = this.#options;
    let noted = false;
    const watch = new SilenceWatch({
      limitMs: HEDGE_AFTER_TARGETS * route.targetLatencyMs,
      onSilent: () => {
        const outcome = err<never, SendFailure>({ kind: "timeout" });
        if (!noted) {
          noteOutcome(this.#context, { endpoint, request, outcome, tookMs: 0 });
        }
        noted = true;
        hooks.onSilent();
      },
      onFault: hooks.onFault,
    });
    if (isRetryable(route)) watch.start();
    return watch;
  }

  #shouldRetry(outcome: SendResult): boolean {
    const { route, signal } = this.#options;
    if (signal.aborted) return false;
    if (outcome.isErr() && provesNotRun(outcome.error)) return true;
    if (!isRetryable(route) || this.#runs >= route.maxAttempts) return false;
    return !isFinal(outcome);
  }

  // If the connection was never established, no endpoint received the request,
  // so the retry is not charged to the budget.
  #takeRetry(last: SendResult): boolean {
    const reason = last.isErr() ? last.error.kind : "server-error";
    if (reason === "notSent" || reason === "limited") return true;
    const { service } = this.#options;
    this.#hasUnusedRetry = takeRetry(this.#context, { service, reason });
    return this.#hasUnusedRetry;
  }

  #giveBackRetry(): void {
    this.#context.budget.giveBack(this.#options.service);
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
    if (last.kind === "limited" && this.#runs === 0) {
      const { endpoints, random } = this.#context;
      const usable = endpoints.usable(this.#options.service, null);
      const permitMs = soonestPermitMs(usable, performance.now());
      return refusalOfLimit(permitMs + LIMIT_JITTER_MS * random());
    }
    return this.#withEarlierSends(refusalOfFailure(last));
  }

  #withEarlierSends(refusal: Refusal): Refusal {
    if (refusal.kind === "mayHaveRun" || this.#runs === 0) return refusal;
    return refusalOfEarlierSend();
  }
}
