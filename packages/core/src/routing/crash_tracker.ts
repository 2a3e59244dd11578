/**
 * Finds requests that crash the endpoints that run them.
 *
 * When an endpoint crashes, every request whose connection to it was just lost
 * becomes a suspect. Requests that only happened to run there finish on another
 * endpoint and are cleared; a request lost in three crashes is quarantined.
 */
import { digest } from "../common/hash.ts";
import type { Digest, EndpointId } from "../common/ids.ts";
import type { RoutedRequest } from "./types.ts";

/** Crashes of different endpoints after which a request is quarantined. */
const QUARANTINE_CRASHES = 3;
/** A crash is attributed to the connections lost within this time before it. */
const LOSS_WINDOW_MS = 3_000;
/** How long a request stays suspected, or quarantined, after its last crash. */
const SUSPICION_MS = 120_000;
/** Maximum suspects kept; the oldest is dropped first. */
const MAX_SUSPECTS = 5_000;

/** A request and an endpoint that crashed while running it; sent to peers. */
export interface Crash {
  readonly request: Digest;
  readonly endpoint: EndpointId;
}

interface Suspect {
  readonly endpoints: Set<EndpointId>;
  untilMs: number;
}

/** Hashes method, host, target and body, so that a retry under another id matches. */
export function fingerprintOf(request: RoutedRequest): Digest {
  const { method, host, target, body } = request;
  const text = new TextDecoder("latin1").decode(body);
  return digest([method, host, target, text].join("\n"));
}

/** Tracks lost connections, crashes and suspected requests at this VM. */
export class CrashTracker {
  #losses = new Map<EndpointId, { request: Digest; atMs: number }[]>();
  #suspects = new Map<Digest, Suspect>();
  #onCrashes: (crashes: readonly Crash[]) => void;

  /** `onCrashes` receives crashes that this VM detected itself, to pass to other VMs. */
  constructor(onCrashes: (crashes: readonly Crash[]) => void) {
    this.#onCrashes = onCrashes;
  }

  /** Whether the request reached the crash limit and its suspicion has not expired. */
  isQuarantined(request: Digest): boolean {
    const suspect = this.#suspects.get(request);
    return suspect !== undefined &&
      suspect.endpoints.size >= QUARANTINE_CRASHES &&
      performance.now() < suspect.untilMs;
  }

  /** Records a lost connection, before it is known whether the endpoint crashed. */
  noteLostConnection(request: Digest, endpoint: EndpointId): void {
    const losses = this.#recentLosses(endpoint);
    losses.push({ request, atMs: performance.now() });
    this.#losses.set(endpoint, losses);
  }

  /** Records that an endpoint became unreachable or restarted. */
  noteCrash(endpoint: EndpointId): void {
    const losses = this.#recentLosses(endpoint);
    this.#losses.delete(endpoint);
    if (losses.length === 0) return;
    const crashes = losses.map(({ request }) => ({ request, endpoint }));
    this.addCrashes(crashes);
    this.#onCrashes(crashes);
  }

  /** Adds crashes detected by this VM or by another. */
  addCrashes(crashes: readonly Crash[]): void {
    for (const { request, endpoint } of crashes) {
      const existing = this.#suspects.get(request);
      const endpoints = existing?.endpoints ?? new Set();
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

  /** Clears a request that finished, since it did not crash its endpoint. */
  clear(request: Digest): void {
    this.#suspects.delete(request);
  }

  /** Whether there are suspects; if not, no fingerprint needs to be computed. */
  get hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  #recentLosses(endpoint: EndpointId) {
    const sinceMs = performance.now() - LOSS_WINDOW_MS;
    const losses = this.#losses.get(endpoint) ?? [];
    return losses.filter(({ atMs }) => atMs >= sinceMs);
  }
}
