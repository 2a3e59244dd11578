/**
 * Keeps what endpoints ask for in their answers: rate limits, for all VMs together,
 * and pauses, for this VM.
 */
import { err, ok, type Result } from "neverthrow";
import type { Observer } from "../../common/observe.ts";
import type { MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointNotice } from "../port.ts";
import {
  type EndpointEntry,
  type EndpointIncarnation,
  incarnationOf,
} from "../types.ts";
import { EndpointPauses } from "./endpoint_pauses.ts";
import {
  type KnownLimit,
  type Permit,
  PermitHome,
  permitKeyOf,
  type PermitRequest,
} from "./permit_home.ts";

/** A home answers within a few milliseconds; a request waits for it. */
const HOME_TIMEOUT_MS = 80;
/** How long no permit is asked for after the home did not answer. */
const HOME_COOLDOWN_MS = 250;
/** A permit that took longer, for instance because of a freeze, is not used. */
const MAX_PERMIT_AGE_MS = 250;

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  membership: Pick<MembershipView, "self" | "members" | "homeOf">;
  peers: PeerPort;
  /** Called when an endpoint wants no requests from this VM until `untilMs`. */
  onPause?: (entry: EndpointEntry, untilMs: number) => void;
  observer: Observer;
  random?: () => number;
}

/** Maximum limits that a VM keeps; the oldest are dropped first. */
const MAX_LIMITS = 10_000;

/** Peer methods for limits. */
export interface LimitHandlers {
  /** Grants or denies a permit for an endpoint whose home is this VM. */
  "routing/permit": (params: PermitRequest) => Permit;
  /** Notifies the home of an endpoint that it no longer names a limit. */
  "routing/limit-ended": (params: { endpoint: EndpointIncarnation }) => null;
}

interface NamedLimit {
  readonly limitPerSecond: number;
  /** Kinds of answers that have named it. */
  readonly namedIn: Set<string>;
  readonly namedAtMs: number;
  /** Until then no permit is asked for. */
  deniedUntilMs: number;
}

/** The limits that endpoints have named to this VM, and the permits to send to them. */
export class EndpointLimits {
  readonly home: PermitHome;
  /** Peer methods backed by the permits that this VM grants. */
  readonly handlers: LimitHandlers;
  #options: EndpointLimitsOptions;
  #limits = new Map<EndpointIncarnation, NamedLimit>();
  #pauses: EndpointPauses;

  constructor(options: EndpointLimitsOptions) {
    this.#options = options;
    this.home = new PermitHome(options);
    const { observer, onPause = () => {}, random = Math.random } = options;
    this.#pauses = new EndpointPauses({ onPause, observer, random });
    this.handlers = {
      "routing/permit": (request) => this.home.grant(request),
      "routing/limit-ended": ({ endpoint }) => {
        this.home.note(endpoint, { limitPerSecond: null, ageMs: 0 });
        return null;
      },
    };
  }

  /** Records what an answer says about its endpoint. */
  note(entry: EndpointEntry, notice: EndpointNotice): void {
    const { limitPerSecond, pauseMs, answerKind, sentAtMs } = notice;
    if (pauseMs !== null) this.#pauses.note(entry, pauseMs);
    const endpoint = incarnationOf(entry);
    const before = this.#limits.get(endpoint);
    if (limitPerSecond === undefined) return;
    if (limitPerSecond === null) {
      // Answers to calls that were sent before a limit was named say nothing about it.
      const isEnd = before?.namedIn.has(answerKind) &&
        before.namedAtMs < sentAtMs;
      if (!isEnd) return;
      this.#end(endpoint);
      this.#notifyHome(endpoint);
      return;
    }
    this.#deleteOldest();
    this.#limits.set(endpoint, {
      limitPerSecond,
      namedIn: (before?.namedIn ?? new Set()).add(answerKind),
      namedAtMs: performance.now(),
      deniedUntilMs: before?.deniedUntilMs ?? -Infinity,
    });
    if (before?.limitPerSecond === limitPerSecond) return;
    this.#logLimit(endpoint, limitPerSecond);
  }

  /** Whether requests to an endpoint need permits now, or have to wait for its pause. */
  isLimited(entry: EndpointEntry): boolean {
    return this.#limits.has(incarnationOf(entry)) ||
      this.pausedForMs(entry) > 0;
  }

  /** Time until an endpoint that asked for a pause accepts requests again; 0 for others. */
  pausedForMs(entry: EndpointEntry): number {
    return this.#pauses.leftMs(entry);
  }

  /**
   * Asks to send a number of requests to an endpoint. Without a limit or pause they
   * may be sent at once; a denial gives the time until they are likely to be allowed.
   */
  async acquire(
    entry: EndpointEntry,
    requests: number,
  ): Promise<Result<void, { retryAfterMs: number }>> {
    if (this.pausedForMs(entry) === 0) {
      const permit = await this.#acquirePermit(entry, requests);
      if (permit.isErr()) return permit;
    }
    // The pause may have begun while the permit was waited for.
    const retryAfterMs = this.pausedForMs(entry);
    return retryAfterMs > 0 ? err({ retryAfterMs }) : ok(undefined);
  }

  async #acquirePermit(
    entry: EndpointEntry,
    requests: number,
  ): Promise<Result<void, { retryAfterMs: number }>> {
    const endpoint = incarnationOf(entry);
    const limit = this.#limits.get(endpoint);
    if (!limit) return ok(undefined);
    const askedAtMs = performance.now();
    if (askedAtMs < limit.deniedUntilMs) {
      return err({ retryAfterMs: limit.deniedUntilMs - askedAtMs });
    }
    const { limitPerSecond, namedAtMs } = limit;
    const permit = await this.#ask({
      endpoint,
      requests,
      known: { limitPerSecond, ageMs: askedAtMs - namedAtMs },
    });
    const isOld = performance.now() - askedAtMs > MAX_PERMIT_AGE_MS;
    if (permit) this.#learn(endpoint, permit.known);
    if (permit?.granted && !isOld) return ok(undefined);
    const retryAfterMs = permit?.retryAfterMs ?? HOME_COOLDOWN_MS;
    const current = this.#limits.get(endpoint);
    if (current) current.deniedUntilMs = performance.now() + retryAfterMs;
    return err({ retryAfterMs });
  }

  // Endpoints that are gone from the directory may come back with their limits.
  #deleteOldest(): void {
    if (this.#limits.size < MAX_LIMITS) return;
    const [oldest] = this.#limits.keys();
    this.#limits.delete(oldest!);
  }

  async #ask(request: PermitRequest): Promise<Permit | null> {
    const { membership, peers, observer } = this.#options;
    const home = membership.homeOf(permitKeyOf(request.endpoint));
    if (home.id === membership.self.id) return this.home.grant(request);
    const answer = await peers.call(home, "routing/permit", {
      params: request,
      timeoutMs: HOME_TIMEOUT_MS,
    });
    if (answer.isOk()) return answer.value;
    observer.log({
      event: "permit-home-silent",
      peer: home.id,
      endpoint: request.endpoint,
      reason: answer.error.kind,
    });
    return null;
  }

  // The home may have heard of the limit more recently than this VM.
  #learn(
    endpoint: EndpointIncarnation,
    { limitPerSecond, ageMs }: KnownLimit,
  ): void {
    const limit = this.#limits.get(endpoint);
    const namedAtMs = performance.now() - ageMs;
    if (!limit || namedAtMs <= limit.namedAtMs) return;
    if (limitPerSecond === null) return this.#end(endpoint);
    this.#limits.set(endpoint, { ...limit, limitPerSecond, namedAtMs });
  }

  #end(endpoint: EndpointIncarnation): void {
    this.#limits.delete(endpoint);
    this.#logLimit(endpoint, null);
  }

  #notifyHome(endpoint: EndpointIncarnation): void {
    const { membership, peers } = this.#options;
    const home = membership.homeOf(permitKeyOf(endpoint));
    if (home.id === membership.self.id) {
      return this.home.note(endpoint, { limitPerSecond: null, ageMs: 0 });
    }
    void peers.call(home, "routing/limit-ended", {
      params: { endpoint },
      timeoutMs: HOME_TIMEOUT_MS,
    });
  }

  #logLimit(
    endpoint: EndpointIncarnation,
    limitPerSecond: number | null,
  ): void {
    this.#options.observer.log({
      event: "endpoint-limit",
      endpoint,
      limitPerSecond: limitPerSecond ?? "none",
    });
  }
}
