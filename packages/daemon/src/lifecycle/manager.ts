/** Starts parts in order and stops them in reverse, each within a time limit. */
import type { Observer } from "@teaselvalve/core";

/** A part of the daemon. */
export interface Part {
  readonly name: string;
  start(): Promise<void> | void;
  stop(): Promise<void> | void;
  /** Limit for stopping. */
  readonly stopTimeoutMs?: number;
}

const DEFAULT_STOP_TIMEOUT_MS = 5_000;

/** Owns the start and the clean-up of the daemon's parts. */
export class LifecycleManager {
  #observer: Observer;
  #started: Part[] = [];

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Starts parts in order. If one fails, those that were started are stopped. */
  async start(parts: readonly Part[]): Promise<void> {
    for (const part of parts) {
      try {
        await part.start();
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.#started.push(part);
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
      const stopped = await endsWithin(part.stop(), limitMs);
      this.#observer.log({
        event: stopped ? "part-stopped" : "part-stop-timeout",
        level: stopped ? "info" : "warn",
        part: part.name,
      });
    }
  }
}

async function endsWithin(
  work: Promise<void> | void,
  limitMs: number,
): Promise<boolean> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const limit = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), limitMs);
  });
  const done = Promise.resolve(work).then(() => true, () => false);
  const stopped = await Promise.race([done, limit]);
  clearTimeout(timer);
  return stopped;
}
