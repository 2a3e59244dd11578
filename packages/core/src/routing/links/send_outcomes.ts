/**
 * Which sends to the endpoints of one group failed, and which were answered: evidence of
 * links where endpoints' rate limits leave no permits for checks.
 */
import type { EndpointId } from "../../common/ids.ts";

/** Failed sends older than this show nothing about the links any more. */
const RETENTION_MS = 5_000;
/** Endpoints kept in either list; the oldest are dropped first. */
const MAX_ENDPOINTS = 1_000;

/** The newest sends of one VM to each endpoint of a group, by their outcome. */
export class SendOutcomes {
  /** When the newest failed send to an endpoint began, if none was answered since. */
  #failed = new Map<EndpointId, number>();
  /** When the newest answered send to an endpoint began. */
  #answered = new Map<EndpointId, number>();

  /** Records an answer, which refutes the failures of earlier sends to all endpoints. */
  noteAnswered(endpoint: EndpointId, sentAtMs: number): void {
    raise(this.#answered, endpoint, sentAtMs);
    for (const [id, failedAtMs] of this.#failed) {
      if (failedAtMs <= sentAtMs) this.#failed.delete(id);
    }
  }

  noteFailed(endpoint: EndpointId, sentAtMs: number): void {
    raise(this.#failed, endpoint, sentAtMs);
  }

  /** Returns how long ago the failed sends to each endpoint began. */
  failedAgoMs(): Record<EndpointId, number> {
    const nowMs = performance.now();
    const recent = [...this.#failed].map(([id, atMs]) => [id, nowMs - atMs])
      .filter(([, agoMs]) => Number(agoMs) <= RETENTION_MS);
    return Object.fromEntries(recent);
  }

  /** Returns the endpoints that answered a send which began after the given ones. */
  answeredSince(
    sentAgoMs: Readonly<Record<EndpointId, number>>,
  ): EndpointId[] {
    const nowMs = performance.now();
    return [...this.#answered].filter(([id, atMs]) =>
      atMs > nowMs - (sentAgoMs[id] ?? 0)
    ).map(([id]) => id);
  }
}

function raise(
  sends: Map<EndpointId, number>,
  endpoint: EndpointId,
  atMs: number,
): void {
  const newestMs = Math.max(atMs, sends.get(endpoint) ?? -Infinity);
  sends.delete(endpoint);
  sends.set(endpoint, newestMs);
  if (sends.size <= MAX_ENDPOINTS) return;
  const [oldest] = sends.keys();
  sends.delete(oldest!);
}
