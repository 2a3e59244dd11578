/**
 * Streams that wait for a slot and memory at the decode endpoints of a service.
 *
 * Handles overload, when there are more streams than the engines have memory
 * for. The home of the endpoints' shard, which sees the streams of all VMs, says
 * where there is room; the stream with the earliest latency target is served first.
 * A stream that can't get its first event in time is refused at once, because its
 * slot is more useful to a stream that can. Without a home, the streams of this VM
 * are served in the same order, by requests to the endpoints themselves.
 */
import { err, ok, type Result } from "neverthrow";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import { type NotRun, notRun } from "../common/verdict.ts";
import { wait } from "../common/wait.ts";
import type { RoutingContext } from "./context.ts";
import {
  type DecodeRequest,
  type DecodeReservation,
  releasePlace,
  type StreamPlaces,
  timeToSpareMs,
} from "./decode_reservation.ts";
import { reserveAny, type ReserveOptions } from "./endpoint_reservations.ts";
import type { DecodeAdmission } from "./placement/placement.ts";
import { heldTokens } from "./placement/memory_forecast.ts";
import type { RankDecodeOptions } from "./queries/rank_decode_endpoints.ts";
import { soonestPermitMs } from "./queries/soonest_permit.ts";
import type { EnginePool } from "./types.ts";
import {
  refusalOfLimit,
  refusalOfLinks,
  refusalOfMissingVersion,
} from "./verdicts.ts";
import { VersionWait } from "./version_wait.ts";

/** Delay until the next round after one that left streams waiting. */
const FULL_RETRY_MS = 40;
/** Endpoints tried for a stream in its first round. */
const FIRST_ROUND_ENDPOINTS = 4;
/** Endpoints tried in later rounds: the ranking puts those with newly freed capacity first. */
const LATER_ROUND_ENDPOINTS = 1;
/**
 * A refused stream misses its target whenever it is retried, so the retry is
 * delayed until a burst of a few seconds is likely to be over.
 */
const RETRY_AFTER_MIN_MS = 1_500;
const RETRY_AFTER_JITTER_MS = 3_000;
/**
 * Output for which memory is reserved where no home forecasts the growth of the
 * streams at an endpoint, as a multiple of the expected output. The endpoint doesn't
 * preempt a stream while it holds no more than was reserved for it.
 */
const UNFORECAST_OUTPUT_FACTOR = 1.3;

interface WaitingStream {
  readonly request: DecodeRequest;
  readonly versionWait: VersionWait;
  /** Whether no home answers, so that it takes its turn among this VM's streams. */
  isLocal: boolean;
  /** Whether a round has already tried to reserve for it. */
  tried: boolean;
  readonly settle: (result: Result<DecodeReservation, NotRun>) => void;
}

/** Holds the waiting streams of one service at this VM, ordered by target. */
export class DecodeQueue implements StreamPlaces {
  #context: RoutingContext;
  #service: ServiceName;
  #pool: () => EnginePool | null;
  #waiting: WaitingStream[] = [];
  #serving = false;
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

  /**
   * Resolves with a reservation, or with a refusal once the stream can't be on time,
   * its caller disconnects or the queue is stopped. A stream that can't be on time from
   * the start gets a place only if no other stream needs it.
   */
  enqueue(request: DecodeRequest): Promise<Result<DecodeReservation, NotRun>> {
    if (request.mustBeOnTime && timeToSpareMs(request) <= 0) {
      return this.#enqueueLate(request);
    }
    return new Promise((resolve) => {
      // A round may be waiting for an engine that doesn't answer.
      const refuseLate = () => this.refuseLate();
      const timer = setTimeout(refuseLate, Math.ceil(timeToSpareMs(request)));
      request.signal.addEventListener("abort", refuseLate);
      const settle = (result: Result<DecodeReservation, NotRun>) => {
        clearTimeout(timer);
        request.signal.removeEventListener("abort", refuseLate);
        resolve(result);
      };
      const versionWait = new VersionWait();
      const waiting = {
        request,
        versionWait,
        isLocal: false,
        tried: false,
        settle,
      };
      this.#insert(waiting);
      void this.#admit(waiting);
    });
  }

  /** Refuses all waiting streams. */
  stop(): void {
    clearTimeout(this.#timer);
    for (const { settle } of this.#waiting.splice(0)) {
      settle(err(notRun("stopping")));
    }
  }

  #insert(waiting: WaitingStream): void {
    const { clock, priority = 0 } = waiting.request;
    const targetLeftMs = clock.targetLeftMs();
    const index = this.#waiting.findIndex(({ request }) => {
      const other = request.priority ?? 0;
      return other > priority ||
        other === priority && request.clock.targetLeftMs() > targetLeftMs;
    });
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, waiting);
  }

  // Asks the homes for a place until there is one, or the stream is refused.
  async #admit(waiting: WaitingStream): Promise<void> {
    const { request } = waiting;
    const refused = new Set<EndpointId>();
    for (;;) {
      this.refuseLate();
      const pool = this.#pool();
      if (!this.#waiting.includes(waiting)) return;
      const avoid = new Set([...request.avoid, ...refused]);
      const admission = pool &&
        await this.#askHome({ ...request, avoid }, pool);
      if (!this.#waiting.includes(waiting)) return;
      if (!admission) {
        waiting.isLocal = true;
        return this.#startServing();
      }
      if (admission.kind === "full") return this.#refuseFull(waiting);
      if (admission.kind === "wait") {
        refused.clear();
        await wait(admission.askAgainMs);
        continue;
      }
      // The home counts the stream at the first endpoint only, so that it is asked again
      // where that one refuses.
      const [endpoint] = admission.engines;
      const reservation = await this.#reserveAny(request, {
        endpoints: endpoint ? [endpoint] : [],
        // The home has seen to the memory for the output.
        tokens: heldTokens(request.load) + (pool?.tokensPerEvent ?? 0),
        isForecast: true,
      });
      if (reservation) return this.#settle(waiting, reservation);
      if (endpoint) refused.add(endpoint.entry.id);
      else await wait(FULL_RETRY_MS);
    }
  }

  // Its target no longer counts, only the time for which its caller waits.
  async #enqueueLate(
    onTime: DecodeRequest,
  ): Promise<Result<DecodeReservation, NotRun>> {
    const request = { ...onTime, mustBeOnTime: false };
    const refuse = (refusal: NotRun) => {
      this.#logRefusal(request, refusal);
      return err(refusal);
    };
    const refusal = this.#findRefusal(request, new VersionWait());
    if (refusal) return refuse(refusal);
    const pool = this.#pool();
    const admission = pool &&
      await this.#askHome(request, pool, { isLate: true });
    const reservation = admission?.kind === "place"
      ? await this.#reserveAny(request, {
        endpoints: admission.engines.slice(0, 1),
        tokens: heldTokens(request.load) + (pool?.tokensPerEvent ?? 0),
        isForecast: true,
      })
      : null;
    const { observer } = this.#context;
    observer.count("late_streams", reservation ? "placed" : "refused");
    if (reservation && !request.signal.aborted) {
      return ok({ ...reservation, isLate: true });
    }
    if (reservation) releasePlace(this.#context, reservation);
    const retryAfterMs = this.#retryAfterMs();
    const reason = request.signal.aborted ? "cancelled" : "no-capacity";
    return refuse(notRun(reason, { retryAfterMs }));
  }

  #askHome(
    request: DecodeRequest,
    { slots, kvTokens, tokensPerEvent }: EnginePool,
    { isLate = false } = {},
  ): Promise<DecodeAdmission | null> {
    return this.#context.placement.admitDecode(this.#service, {
      ...this.#rankOptions(request),
      attempt: request.attempt,
      stream: request.load,
      capacity: { slots, kvTokens },
      events: { tokensPerEvent, maxGapMs: request.clock.maxEventGapMs },
      spareMs: timeToSpareMs(request),
      priority: request.priority,
      workspace: request.workspace,
      isLate,
    });
  }

  #refuseFull(waiting: WaitingStream): void {
    this.#remove(waiting);
    const refusal = notRun("no-capacity", {
      retryAfterMs: this.#retryAfterMs(),
    });
    this.#logRefusal(waiting.request, refusal);
    waiting.settle(err(refusal));
  }

  /** Hands over a reservation, or releases it if the stream has been refused meanwhile. */
  #settle(waiting: WaitingStream, reservation: DecodeReservation): void {
    const isWaiting = this.#remove(waiting);
    if (isWaiting && !waiting.request.signal.aborted) {
      return waiting.settle(ok(reservation));
    }
    releasePlace(this.#context, reservation);
    waiting.settle(err(notRun("cancelled")));
  }

  #remove(waiting: WaitingStream): boolean {
    const index = this.#waiting.indexOf(waiting);
    if (index >= 0) this.#waiting.splice(index, 1);
    return index >= 0;
  }

  #startServing(): void {
    if (this.#serving) return;
    this.#serving = true;
    void this.#serveWaiting().finally(() => {
      this.#serving = false;
      if (!this.#waiting.some(({ isLocal }) => isLocal)) return;
      clearTimeout(this.#timer);
      this.#timer = setTimeout(() => this.#startServing(), FULL_RETRY_MS);
    });
  }

  async #serveWaiting(): Promise<void> {
    const skipped = new Set<WaitingStream>();
    for (;;) {
      this.refuseLate();
      const first = this.#waiting.find((waiting) =>
        waiting.isLocal && !skipped.has(waiting)
      );
      if (!first) return;
      const reservation = await this.#reserve(first);
      if (!reservation) {
        // Engines that it may not use may have room for the streams after it.
        if (!isRestricted(first.request)) return;
        skipped.add(first);
        continue;
      }
      this.#settle(first, reservation);
    }
  }

  /** Refuses the streams that no longer have a reason to wait. */
  refuseLate(): void {
    this.#waiting = this.#waiting.filter((waiting) => {
      const { request, settle } = waiting;
      const refusal = this.#findRefusal(request, waiting.versionWait);
      if (!refusal) return true;
      this.#logRefusal(request, refusal);
      settle(err(refusal));
      return false;
    });
  }

  #findRefusal(
    request: DecodeRequest,
    versionWait: VersionWait,
  ): NotRun | null {
    const retryAfterMs = this.#retryAfterMs();
    if (request.signal.aborted) return notRun("cancelled", { retryAfterMs });
    const refusal = request.findRefusal();
    if (refusal) return refusal;
    if (this.#context.forwarding.isLost(this.#service)) return refusalOfLinks();
    const spareMs = timeToSpareMs(request);
    const presence = this.#presenceOf(request, versionWait);
    if (presence === "gone") return refusalOfMissingVersion();
    if (spareMs <= 0) return notRun("no-capacity", { retryAfterMs });
    if (presence === "failing" || presence === "awaited") return null;
    const { version } = request;
    const nowMs = performance.now();
    const usable = this.#context.endpoints.usable(this.#service, "decode")
      .filter((endpoint) =>
        version === null ||
        endpoint.entry.softwareVersion === version && endpoint.isHealthy(nowMs)
      );
    const permitMs = soonestPermitMs(usable, nowMs);
    return permitMs > spareMs ? refusalOfLimit(permitMs + retryAfterMs) : null;
  }

  // Streams that may begin at any version wait for none.
  #presenceOf({ version, ...request }: DecodeRequest, wait: VersionWait) {
    if (version === null) return "present";
    return wait.check(this.#context.endpoints, {
      service: this.#service,
      stage: "decode",
      version,
      spareMs: timeToSpareMs({ version, ...request }),
    });
  }

  #logRefusal(request: DecodeRequest, { reason, retryAfterMs }: NotRun): void {
    // The request is sent on, which has a line of its own.
    if (reason === "no-links") return;
    const nowMs = performance.now();
    const usable = this.#context.endpoints.usable(this.#service, "decode");
    this.#context.observer.log({
      event: reason === "cancelled"
        ? "stream-wait-cancelled"
        : "stream-refused",
      attempt: request.attempt,
      service: this.#service,
      reason,
      version: request.version ?? undefined,
      waitedMs: Math.round(request.clock.elapsedMs()),
      targetLeftMs: Math.round(request.clock.targetLeftMs()),
      prefillMs: Math.round(request.prefillMs),
      tokens: heldTokens(request.load),
      waiting: this.#waiting.length,
      endpoints: usable.length,
      full: usable.filter((endpoint) => endpoint.isFull(nowMs)).length,
      resting: usable.filter((endpoint) => !endpoint.isHealthy(nowMs)).length,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  // Jitter keeps streams that were refused together from retrying together.
  #retryAfterMs(): number {
    const { random } = this.#context;
    return RETRY_AFTER_MIN_MS + RETRY_AFTER_JITTER_MS * random();
  }

  async #reserve(waiting: WaitingStream): Promise<DecodeReservation | null> {
    const pool = this.#pool();
    if (!pool) return null;
    const { request } = waiting;
    const count = waiting.tried ? LATER_ROUND_ENDPOINTS : FIRST_ROUND_ENDPOINTS;
    waiting.tried = true;
    const ranked = this.#context.placement.rankDecode(
      this.#service,
      this.#rankOptions(request),
    );
    const { load } = request;
    const outputTokens = Math.min(
      load.maxTokens,
      UNFORECAST_OUTPUT_FACTOR * load.expectedTokens,
    );
    return await this.#reserveAny(request, {
      endpoints: ranked.slice(0, count),
      tokens: heldTokens(load) + Math.ceil(outputTokens),
      isForecast: false,
    });
  }

  #rankOptions({ avoid, version }: DecodeRequest): RankDecodeOptions {
    const { dataCentre, random } = this.#context;
    return { dataCentre, random, nowMs: performance.now(), avoid, version };
  }

  async #reserveAny(
    request: DecodeRequest,
    options: Omit<ReserveOptions, "pool">,
  ): Promise<DecodeReservation | null> {
    const pool = this.#pool();
    return pool && await reserveAny(this.#context, request, {
      ...options,
      pool,
    });
  }
}

function isRestricted({ avoid, version }: DecodeRequest): boolean {
  return avoid.size > 0 || version !== null;
}
