/**
 * Remembers the home whose queue each waiting stream has joined.
 *
 * Handles overload of engines in several shards. If every waiting stream asks the homes
 * of all shards each time, the calls to each home grow with the number of shards.
 */
import type { AttemptId } from "../types.ts";

/** How long a waiting stream asks only the home whose queue it joined, before it asks all again. */
const ALONE_MS = 250;

/** The streams of one VM that wait in the queues of homes. */
export class JoinedQueues {
  #joined = new Map<AttemptId, { key: string; atMs: number }>();

  /** Records that a stream has joined the queue of a home, after all were asked. */
  note(attempt: AttemptId, key: string): void {
    const atMs = performance.now();
    this.#expire(atMs);
    this.#joined.delete(attempt);
    this.#joined.set(attempt, { key, atMs });
  }

  /** Returns the key of the home that a stream asks alone for now; undefined if it asks all. */
  current(attempt: AttemptId): string | undefined {
    this.#expire(performance.now());
    return this.#joined.get(attempt)?.key;
  }

  // Streams are in the order in which they asked all homes.
  #expire(nowMs: number): void {
    for (const [attempt, { atMs }] of this.#joined) {
      if (nowMs - atMs < ALONE_MS) return;
      this.#joined.delete(attempt);
    }
  }
}
