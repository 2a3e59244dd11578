/** Remembers which software versions may have begun streams. */
import type { SeenVersion } from "./origin_record.ts";
import { ORIGIN_RETENTION_MS, type StreamOrigin } from "./stream_origins.ts";
import type { EndpointEntry } from "./types.ts";

/**
 * How long a version counts after it was seen last. A row says what was seen when it
 * was written, up to the retention of streams ago.
 */
const VERSION_RETENTION_MS = 2 * ORIGIN_RETENTION_MS;

/** The versions of endpoints that this VM has seen, and those that others recorded. */
export class VersionHistory {
  #endpoints: () => Iterable<EndpointEntry>;
  #seen = new Map<string, { origin: StreamOrigin; atMs: number }>();
  #startedAtMs = performance.now();

  /** `endpoints` returns those that serve now, draining ones included. */
  constructor(endpoints: () => Iterable<EndpointEntry>) {
    this.#endpoints = endpoints;
  }

  /** Records the endpoints that serve now; returns true if a version is new. */
  noteEndpoints(): boolean {
    let hasNew = false;
    for (const { service, softwareVersion } of this.#endpoints()) {
      hasNew = this.note({ service, version: softwareVersion }) || hasNew;
    }
    return hasNew;
  }

  /** Records that a version was seen some time ago; returns true if it is new. */
  note({ service, version }: StreamOrigin, agoMs = 0): boolean {
    const key = `${service} ${version}`;
    const before = this.#seen.get(key);
    const atMs = Math.max(before?.atMs ?? -Infinity, performance.now() - agoMs);
    this.#seen.set(key, { origin: { service, version }, atMs });
    return !before;
  }

  /** All versions that may have begun a stream which is resumed now. */
  all(): SeenVersion[] {
    this.noteEndpoints();
    const nowMs = performance.now();
    for (const [key, { atMs }] of this.#seen) {
      if (atMs < nowMs - VERSION_RETENTION_MS) this.#seen.delete(key);
    }
    return [...this.#seen.values()].map(({ origin, atMs }) => ({
      ...origin,
      agoMs: Math.round(nowMs - atMs),
    }));
  }

  /** Whether this VM has been running for as long as a stream can be resumed. */
  get isComplete(): boolean {
    return performance.now() - this.#startedAtMs >= ORIGIN_RETENTION_MS;
  }
}
