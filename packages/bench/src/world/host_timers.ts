/** A fake clock whose timers belong to hosts: a frozen host's timers are delayed until it thaws, those of a host that is down are dropped. */
import { AsyncLocalStorage } from "node:async_hooks";
import FakeTimers, { type Clock } from "@sinonjs/fake-timers";
import type { FakeNetwork, Host } from "@teaselvalve/fakes";

const realSetImmediate = setImmediate;
// All worlds share one store, since each additional AsyncLocalStorage slows down every promise.
const hosts = new AsyncLocalStorage<Host>();

/** Owns the fake clock. Only one may be installed at a time. */
export class HostTimers {
  #clock: Clock & { uninstall(): void };
  #network: FakeNetwork | undefined;

  /** Replaces the runtime's clock with one that stands at `nowMs` (Unix time) until it is advanced. */
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

  /** Sets the network that decides whether a host is up or frozen; must be called before any host's timer fires. */
  setNetwork(network: FakeNetwork): void {
    this.#network = network;
  }

  /** Runs an action on behalf of a host; timers that it sets, directly or later, belong to that host. */
  runOn<T>(host: Host, action: () => T): T {
    return hosts.run(host, action);
  }

  /** Runs an action whose timers belong to no host. */
  runDetached<T>(action: () => T): T {
    return hosts.exit(action);
  }

  /** Advances the clock, timer by timer, and lets promises settle after each. */
  async advance(ms: number): Promise<void> {
    let elapsed = false;
    this.runDetached(() => setTimeout(() => (elapsed = true), ms));
    await settle();
    while (!elapsed) {
      this.#clock.next();
      await settle();
    }
  }

  /** Restores the runtime's own clock. */
  uninstall(): void {
    this.#clock.uninstall();
  }

  #wrapTimers(): void {
    const { setTimeout: plainTimeout, setInterval: plainInterval } = globalThis;
    globalThis.setTimeout =
      ((action: () => void, waitMs?: number) =>
        plainTimeout(this.#bindToHost(action), waitMs)) as typeof setTimeout;
    globalThis.setInterval =
      ((action: () => void, waitMs?: number) =>
        plainInterval(
          this.#bindToHost(action, { coalesce: true }),
          waitMs,
        )) as typeof setInterval;
  }

  // `coalesce` queues at most one tick of an interval while its host is frozen.
  #bindToHost(
    action: () => void,
    options: { coalesce: boolean } = { coalesce: false },
  ): () => void {
    const host = hosts.getStore();
    if (host === undefined) return action;
    let isPending = false;
    return () => {
      if (isPending && options.coalesce) return;
      isPending = true;
      this.#network!.runOrQueue(host, () => {
        isPending = false;
        hosts.run(host, action);
      });
    };
  }
}

// A real immediate runs after all pending microtasks.
function settle(): Promise<void> {
  return new Promise((resolve) => realSetImmediate(resolve));
}
