/**
 * Requests that crash what runs them.
 *
 * A request whose connection was lost is suspected once its endpoint turns out to
 * have crashed, together with its neighbours there. Neighbours finish elsewhere
 * and are cleared; what was lost in three crashes is not sent any more.
 */
import { digest } from "../common/hash.ts";
import type { Digest, EndpointId } from "../common/ids.ts";
import type { RoutedRequest } from "./types.ts";

/** Crashes after which a request is refused. */
const CRASH_LIMIT = 3;
/** How long after a loss a crash of the endpoint is put down to it. */
const LOSS_MEMORY_MS = 3_000;
/** How long a request is suspected after its last crash. */
const SUSPICION_MS = 120_000;
/** Suspects that are remembered; the oldest is forgotten first. */
const MAX_SUSPECTS = 5_000;

/** One crash in which a request was lost. */
export interface Crash {
  readonly request: Digest;
  readonly endpoint: EndpointId;
}

interface Suspect {
  readonly endpoints: Set<EndpointId>;
  untilMs: number;
}

/** What a request is known by when it comes again under another id. */
export function fingerprintOf(request: RoutedRequest): Digest {
  const { method, host, target, body } = request;
  const text = new TextDecoder("latin1").decode(body);
  return digest([method, host, target, text].join("\n"));
}

/** Owns what this VM suspects. */
export class CrashTracker {
  #losses = new Map<EndpointId, { request: Digest; atMs: number }[]>();
  #suspects = new Map<Digest, Suspect>();
  #onCrashes: (crashes: readonly Crash[]) => void;

  /** `onCrashes` is told of what this VM saw itself, for the other VMs. */
  constructor(onCrashes: (crashes: readonly Crash[]) => void) {
    this.#onCrashes = onCrashes;
  }

  /** True once a request was lost in as many crashes as are allowed. */
  isQuarantined(request: Digest): boolean {
    const suspect = this.#suspects.get(request);
    return suspect !== undefined && suspect.endpoints.size >= CRASH_LIMIT &&
      performance.now() < suspect.untilMs;
  }

  /** A request's connection was lost; why is not known yet. */
  noteLostConnection(request: Digest, endpoint: EndpointId): void {
    const losses = this.#recentLosses(endpoint);
    losses.push({ request, atMs: performance.now() });
    this.#losses.set(endpoint, losses);
  }

  /** An endpoint can't be reached any more, or has started anew. */
  noteCrash(endpoint: EndpointId): void {
    const losses = this.#recentLosses(endpoint);
    this.#losses.delete(endpoint);
    if (losses.length === 0) return;
    const crashes = losses.map(({ request }) => ({ request, endpoint }));
    this.addCrashes(crashes);
    this.#onCrashes(crashes);
  }

  /** Takes crashes that this VM or another saw. */
  addCrashes(crashes: readonly Crash[]): void {
    for (const { request, endpoint } of crashes) {
      const known = this.#suspects.get(request);
      const endpoints = known?.endpoints ?? new Set();
      endpoints.add(endpoint);
      this.#suspects.delete(request);
      const untilMs = performance.now() + SUSPICION_MS;
      this.#suspects.set(request, { endpoints, untilMs });
    }
    while (this.#suspects.size > MAX_SUSPECTS) {
      const [oldest] = this.#suspects.keys();
      this.#suspects.delete(oldest!);
    }
  }

  /** A request finished, so that it is not what crashes endpoints. */
  clear(request: Digest): void {
    this.#suspects.delete(request);
  }

  /** True while anything is suspected; requests need no fingerprint otherwise. */
  get hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  #recentLosses(endpoint: EndpointId) {
    const sinceMs = performance.now() - LOSS_MEMORY_MS;
    const losses = this.#losses.get(endpoint) ?? [];
    return losses.filter(({ atMs }) => atMs >= sinceMs);
  }
}
