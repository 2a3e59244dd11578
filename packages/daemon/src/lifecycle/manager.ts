/** Starts parts in order and stops them in reverse, each within a time limit. */
import type { Observer } from "@teaselvalve/core";

/** A part of the daemon. */
export interface Component {
  readonly name: string;
  start(): Promise<void> | void;
  stop(): Promise<void> | void;
  /** Ends at once what a stop left running at its limit. */
  abort?(): void;
  readonly startTimeoutMs?: number | undefined;
  readonly stopTimeoutMs?: number | undefined;
}

const DEFAULT_START_TIMEOUT_MS = 10_000;
const DEFAULT_STOP_TIMEOUT_MS = 5_000;

/** Owns the start and the clean-up of the daemon's parts. */
export class LifecycleManager {
  #observer: Observer;
  #started: Component[] = [];

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Starts parts in order. If one fails, those that were started are stopped. */
  async start(parts: readonly Component[]): Promise<void> {
    for (const part of parts) {
      // A part that failed halfway may hold something, so it is stopped as well.
      this.#started.push(part);
      try {
        await this.#start(part);
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.#observer.log({ event: "part-started", part: part.name });
    }
  }

  /** Stops what was started, in reverse. */
  async stop(): Promise<void> {
    for (
      let part = this.#started.pop();
      part !== undefined;
      part = this.#started.pop()
    ) {
      const limitMs = part.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS;
      const stopped = await endsWithin(() => part.stop(), limitMs)
        .catch(() => false);
      if (!stopped) part.abort?.();
      this.#observer.log({
        event: stopped ? "part-stopped" : "part-stop-timeout",
        level: stopped ? "info" : "warn",
        part: part.name,
      });
    }
  }

  async #start(part: Component): Promise<void> {
    const limitMs = part.startTimeoutMs ?? DEFAULT_START_TIMEOUT_MS;
    if (await endsWithin(() => part.start(), limitMs)) return;
    throw new Error(`${part.name} did not start within ${limitMs} ms`);
  }
}

/** Answers whether some work ended within a limit; its failure is thrown. */
async function endsWithin(
  work: () => Promise<void> | void,
  limitMs: number,
): Promise<boolean> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const limit = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), limitMs);
  });
  const done = (async () => {
    await work();
    return true;
  })();
  try {
    return await Promise.race([done, limit]);
  } finally {
    clearTimeout(timer);
  }
}
