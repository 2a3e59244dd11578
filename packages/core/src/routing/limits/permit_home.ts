/**
 * Grants permits to send requests to endpoints that name a limit. Each endpoint has
 * one home among the VMs of a region, so that the limit holds for all VMs together
 * and goes to those that have requests.
 *
 * Several VMs may act as home: those of other regions, and those that can't reach
 * each other. Each therefore grants only the share of the VMs that it can reach, and
 * a VM that becomes home first waits until the one before it has stopped.
 */
import type { MembershipView } from "../../membership/types.ts";
import { RateBucket } from "../../quotas/bucket.ts";
import type { EndpointIncarnation } from "../types.ts";

/** Time in which all VMs notice that the home of an endpoint has changed. */
const SETTLE_MS = 2_000;
/** Time without contact to any other VM after which this one may be cut off. */
const ISOLATED_AFTER_MS = 2_500;
/** Rate at which an endpoint without capacity is asked whether it has some again. */
const MIN_PER_SECOND = 0.1;
/** Minimum time until a VM asks again, in which its requests go elsewhere. */
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 1_000;
/** Time after which a VM that asked the wrong home asks again. */
const OTHER_HOME_RETRY_MS = 200;
/** Maximum endpoints with a bucket; the oldest is dropped first. */
const MAX_BUCKETS = 5_000;
const MS_PER_SECOND = 1_000;

/** What a VM knows of an endpoint's limit. */
export interface KnownLimit {
  /** Null if the endpoint no longer names one. */
  readonly limitPerSecond: number | null;
  /** Time since the answer that said so. */
  readonly ageMs: number;
}

/** A request for a permit. */
export interface PermitRequest {
  readonly endpoint: EndpointIncarnation;
  /** Number of requests that are to be sent. */
  readonly requests: number;
  readonly known: KnownLimit;
}

/** The answer to a {@link PermitRequest}. */
export interface Permit {
  readonly granted: boolean;
  /** Time until the next permit is likely to be granted. */
  readonly retryAfterMs: number;
  /** The newest that the home knows of the limit. */
  readonly known: KnownLimit;
}

/** Options of {@link PermitHome}. */
export interface PermitHomeOptions {
  membership: Pick<MembershipView, "self" | "members" | "homeOf">;
}

/** Returns the key whose home grants the permits of an endpoint. */
export function permitKeyOf(endpoint: EndpointIncarnation): string {
  return `permits/${endpoint}`;
}

interface Grants {
  readonly bucket: RateBucket;
  limitPerSecond: number | null;
  /** When the limit was last named or found to have ended. */
  namedAtMs: number;
}

/** The permits that this VM grants. */
export class PermitHome {
  #options: PermitHomeOptions;
  #grants = new Map<EndpointIncarnation, Grants>();
  #viewChangedAtMs = performance.now();
  #contactAtMs = performance.now();

  constructor(options: PermitHomeOptions) {
    this.#options = options;
  }

  /** Records that another VM was heard of. */
  noteContact(): void {
    this.#contactAtMs = performance.now();
  }

  /** Forgets the endpoints that have another home in the changed view. */
  noteViewChange(): void {
    this.#viewChangedAtMs = performance.now();
    for (const endpoint of this.#grants.keys()) {
      if (!this.#isHomeOf(endpoint)) this.#grants.delete(endpoint);
    }
  }

  /** Records what a VM found out about a limit. */
  note(endpoint: EndpointIncarnation, known: KnownLimit): void {
    const grants = this.#grants.get(endpoint);
    if (grants) update(grants, known);
  }

  /** Grants or denies a permit. */
  grant({ endpoint, requests, known }: PermitRequest): Permit {
    if (!this.#isHomeOf(endpoint)) {
      return { granted: false, retryAfterMs: OTHER_HOME_RETRY_MS, known };
    }
    const nowMs = performance.now();
    const grants = this.#grantsOf(endpoint, known);
    update(grants, known);
    const { bucket, limitPerSecond, namedAtMs } = grants;
    const newest = { limitPerSecond, ageMs: nowMs - namedAtMs };
    if (limitPerSecond === null) {
      return { granted: true, retryAfterMs: 0, known: newest };
    }
    const perSecond = this.#rateOf(limitPerSecond);
    bucket.fill(perSecond, nowMs);
    const granted = bucket.allows(requests);
    if (granted) bucket.take(requests);
    const waitMs = bucket.waitMs(perSecond);
    const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    return { granted, retryAfterMs, known: newest };
  }

  #grantsOf(endpoint: EndpointIncarnation, known: KnownLimit): Grants {
    const existing = this.#grants.get(endpoint);
    if (existing) return existing;
    const nowMs = performance.now();
    const grants = {
      bucket: new RateBucket(nowMs),
      limitPerSecond: known.limitPerSecond,
      namedAtMs: nowMs - known.ageMs,
    };
    const settleMs = this.#viewChangedAtMs + SETTLE_MS - nowMs;
    if (settleMs > 0 && known.limitPerSecond !== null) {
      const perSecond = this.#rateOf(known.limitPerSecond);
      grants.bucket.take(1 + settleMs * perSecond / MS_PER_SECOND);
    }
    this.#grants.set(endpoint, grants);
    if (this.#grants.size > MAX_BUCKETS) {
      const [oldest] = this.#grants.keys();
      this.#grants.delete(oldest!);
    }
    return grants;
  }

  #rateOf(limitPerSecond: number): number {
    return Math.max(MIN_PER_SECOND, limitPerSecond) * this.#share();
  }

  // The share of the VMs for which this one is the home of some endpoints.
  #share(): number {
    const { membership } = this.#options;
    const { self } = membership;
    const running = membership.members().filter(({ state }) =>
      state !== "dead"
    );
    const isIsolated =
      performance.now() - this.#contactAtMs > ISOLATED_AFTER_MS;
    const reached = running.filter(({ id, region, state }) =>
      id === self.id ||
      !isIsolated && region === self.region && state !== "suspected"
    );
    return reached.length / Math.max(1, running.length);
  }

  #isHomeOf(endpoint: EndpointIncarnation): boolean {
    const { membership } = this.#options;
    return membership.homeOf(permitKeyOf(endpoint)).id === membership.self.id;
  }
}

function update(grants: Grants, known: KnownLimit): void {
  const namedAtMs = performance.now() - known.ageMs;
  if (namedAtMs < grants.namedAtMs) return;
  grants.limitPerSecond = known.limitPerSecond;
  grants.namedAtMs = namedAtMs;
}
