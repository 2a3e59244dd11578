/** A paused clock whose timers belong to hosts: a frozen host's timers wait, a dead one's are dropped. */
import { AsyncLocalStorage } from "node:async_hooks";
import FakeTimers, { type Clock } from "@sinonjs/fake-timers";
import type { FakeNetwork, Host } from "@teaselvalve/fakes";

const realSetImmediate = setImmediate;
// One store serves all worlds, since each further one slows every promise down.
const hosts = new AsyncLocalStorage<Host>();

/** Owns the paused clock. Only one may be installed at a time. */
export class HostTimers {
  #clock: Clock & { uninstall(): void };
  #network: FakeNetwork | undefined;

  /** Pauses the runtime's clock at a wall time. */
  constructor(nowMs = 1_800_000_000_000) {
    this.#clock = FakeTimers.install({
      now: nowMs,
      toFake: [
        "setTimeout",
        "clearTimeout",
        "setInterval",
        "clearInterval",
        "Date",
        "performance",
      ],
    });
    this.#wrapTimers();
  }

  /** Tells which network decides whether a host is up or frozen. */
  setNetwork(network: FakeNetwork): void {
    this.#network = network;
  }

  /** Runs an action, and all that follows from it, on behalf of a host. */
  runOn<T>(host: Host, action: () => T): T {
    return hosts.run(host, action);
  }

  /** Runs an action on behalf of no host. */
  runDetached<T>(action: () => T): T {
    return hosts.exit(action);
  }

  /** Lets time pass, timer by timer. */
  async advance(ms: number): Promise<void> {
    let reached = false;
    this.runDetached(() => setTimeout(() => (reached = true), ms));
    await settle();
    while (!reached) {
      this.#clock.next();
      await settle();
    }
  }

  /** Gives the runtime its own clock back. */
  uninstall(): void {
    this.#clock.uninstall();
  }

  #wrapTimers(): void {
    const { setTimeout: plainTimeout, setInterval: plainInterval } = globalThis;
    globalThis.setTimeout =
      ((action: () => void, waitMs?: number) =>
        plainTimeout(this.#belonging(action), waitMs)) as typeof setTimeout;
    globalThis.setInterval =
      ((action: () => void, waitMs?: number) =>
        plainInterval(
          this.#belonging(action, { coalesce: true }),
          waitMs,
        )) as typeof setInterval;
  }

  #belonging(
    action: () => void,
    options: { coalesce: boolean } = { coalesce: false },
  ): () => void {
    const host = hosts.getStore();
    if (host === undefined) return action;
    let held = false;
    return () => {
      if (held && options.coalesce) return;
      held = true;
      this.#network!.runOrHold(host, () => {
        held = false;
        hosts.run(host, action);
      });
    };
  }
}

// A real immediate runs after all microtasks are done.
function settle(): Promise<void> {
  return new Promise((resolve) => realSetImmediate(resolve));
}
