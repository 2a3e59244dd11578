/** Starts components in order and stops them in reverse order, each within a time limit. */
import type { Observer } from "@teaselvalve/core";

/** A component of the daemon. */
export interface Component {
  readonly name: string;
  start(): Promise<void> | void;
  stop(): Promise<void> | void;
  /** Immediately ends whatever is still running when `stop` fails or times out. */
  abort?(): void;
  readonly startTimeoutMs?: number | undefined;
  readonly stopTimeoutMs?: number | undefined;
}

const DEFAULT_START_TIMEOUT_MS = 10_000;
const DEFAULT_STOP_TIMEOUT_MS = 5_000;

/** Starts the daemon's components and stops those that were started. */
export class LifecycleManager {
  #observer: Observer;
  #started: Component[] = [];

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Starts components in order. If one fails, it and those before it are stopped. */
  async start(components: readonly Component[]): Promise<void> {
    for (const component of components) {
      // A component that failed to start may hold resources, so it is stopped too.
      this.#started.push(component);
      try {
        await this.#start(component);
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.#observer.log({ event: "part-started", part: component.name });
    }
  }

  /** Stops the started components in reverse order, even if some fail to stop. */
  async stop(): Promise<void> {
    for (
      let component = this.#started.pop();
      component !== undefined;
      component = this.#started.pop()
    ) {
      const limitMs = component.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS;
      const stopped = await completesWithin(() => component.stop(), limitMs)
        .catch(() => false);
      if (!stopped) component.abort?.();
      this.#observer.log({
        event: stopped ? "part-stopped" : "part-stop-timeout",
        level: stopped ? "info" : "warn",
        part: component.name,
      });
    }
  }

  async #start(component: Component): Promise<void> {
    const limitMs = component.startTimeoutMs ?? DEFAULT_START_TIMEOUT_MS;
    if (await completesWithin(() => component.start(), limitMs)) return;
    throw new Error(
      `${component.name} did not start within ${limitMs} ms`,
    );
  }
}

/** Returns whether the work completed within the limit; rejects if the work fails. */
async function completesWithin(
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
