// Plays loads of one event loop on a paused clock, so that the machine's load doesn't matter.
import { EventEmitter } from "node:events";
import { SILENT_OBSERVER } from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Admission, maxWaitOf } from "./admission.ts";
import type { PacedConnection } from "./paced_connection.ts";

/** What each kind of work takes of the event loop. */
const COSTS_MS = {
  accept: 0.5,
  receive: 0.3,
  begin: 0.2,
  serve: 1.5,
  refuse: 0.4,
};
/** Time at the replicas. */
const AWAY_MS = 30;
const FLOOD_ADDRESS = "127.0.0.1";
const FLOOD = { connections: 400, requestsEach: 5, timeoutMs: 3_000 };
const STEADY = { everyMs: 1_000 / 60, addresses: 50, timeoutMs: 1_500 };
const FOR_MS = 3_000;
const ROUND_MS = 1_000;

/** A connection with the requests that its caller sent at once. */
interface Arrival {
  readonly atMs: number;
  readonly address: string;
  readonly timeoutMs: number;
  requests: number;
  connection: PacedConnection;
}

interface Outcome {
  readonly address: string;
  readonly served: boolean;
  readonly tookMs: number;
}

let nowMs: number;
let immediates: (() => void)[];

beforeEach(() => {
  nowMs = 0;
  immediates = [];
  vi.spyOn(performance, "now").mockImplementation(() => nowMs);
  vi.stubGlobal("setImmediate", (task: () => void) => immediates.push(task));
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.unstubAllGlobals();
});

function arrival(
  atMs: number,
  { address, timeoutMs, requests }: {
    address: string;
    timeoutMs: number;
    requests: number;
  },
): Arrival {
  const connection = Object.assign(new EventEmitter(), {
    remoteAddress: address,
    halfClosedAtMs: null,
  }) as unknown as PacedConnection;
  return { atMs, address, timeoutMs, requests, connection };
}

/** Plays the turns of an event loop that accepts one connection in each. */
class EventLoop {
  readonly outcomes: Outcome[] = [];
  #admission = new Admission({ observer: SILENT_OBSERVER, random: () => 0.5 });
  #costsMs: typeof COSTS_MS;
  #work: { dueMs: number; run: () => void }[] = [];

  constructor(costsMs = COSTS_MS) {
    this.#costsMs = costsMs;
  }

  /** Runs until each request has its outcome. */
  play(arrivals: readonly Arrival[]): void {
    const kernel = arrivals.toSorted((one, other) => one.atMs - other.atMs);
    const total = arrivals.reduce((sum, { requests }) => sum + requests, 0);
    while (this.outcomes.length < total) {
      const beganMs = nowMs;
      const isDue = (kernel[0]?.atMs ?? Infinity) <= nowMs;
      if (isDue) this.#accept(kernel.shift()!);
      const due = this.#work.filter(({ dueMs }) => dueMs <= nowMs);
      this.#work = this.#work.filter((work) => !due.includes(work));
      for (const { run } of due) run();
      for (const task of immediates.splice(0)) task();
      // An idle loop waits for what comes next.
      if (nowMs === beganMs) nowMs += 0.1;
    }
  }

  #accept(arrived: Arrival): void {
    nowMs += this.#costsMs.accept;
    this.#admission.noteConnection();
    if (!this.#admission.refusesNew(arrived.address)) {
      return this.#receive(arrived, arrived.atMs);
    }
    this.#admission.refuseConnection();
    for (; arrived.requests > 0; arrived.requests -= 1) {
      this.#end(arrived, { served: false, sinceMs: arrived.atMs });
    }
  }

  #receive(arrived: Arrival, sinceMs: number): void {
    nowMs += this.#costsMs.receive;
    const { connection, timeoutMs } = arrived;
    arrived.requests -= 1;
    const end = (served: boolean) => {
      this.#end(arrived, { served, sinceMs });
      if (arrived.requests > 0) {
        setImmediate(() => this.#receive(arrived, sinceMs));
      }
    };
    this.#admission.receive({
      connection,
      timeoutMs: () => timeoutMs,
      describe: () => ({}),
      begin: () => {
        nowMs += this.#costsMs.begin;
        this.#later(0, () => {
          nowMs += this.#costsMs.serve;
          this.#later(AWAY_MS, () => end(true));
        });
      },
      refuse: () => {
        nowMs += this.#costsMs.refuse;
        end(false);
      },
    });
  }

  #later(delayMs: number, run: () => void): void {
    this.#work.push({ dueMs: nowMs + delayMs, run });
  }

  #end(
    { address }: Arrival,
    { served, sinceMs }: { served: boolean; sinceMs: number },
  ): void {
    this.outcomes.push({ address, served, tookMs: nowMs - sinceMs });
  }
}

test.each([1, 1.2])(
  "Callers are served beside bursts of connections that each send several requests, at %d times the usual costs",
  (factor) => {
    const flood = Array.from(
      { length: FOR_MS / ROUND_MS },
      (_, round) =>
        Array.from(
          { length: FLOOD.connections },
          () =>
            arrival(round * ROUND_MS, {
              address: FLOOD_ADDRESS,
              timeoutMs: FLOOD.timeoutMs,
              requests: FLOOD.requestsEach,
            }),
        ),
    ).flat();
    const steady = Array.from(
      { length: Math.floor(FOR_MS / STEADY.everyMs) },
      (_, index) =>
        arrival(index * STEADY.everyMs, {
          address: `127.0.1.${index % STEADY.addresses}`,
          timeoutMs: STEADY.timeoutMs,
          requests: 1,
        }),
    );
    const loop = new EventLoop({
      accept: factor * COSTS_MS.accept,
      receive: factor * COSTS_MS.receive,
      begin: factor * COSTS_MS.begin,
      serve: factor * COSTS_MS.serve,
      refuse: factor * COSTS_MS.refuse,
    });
    loop.play([...flood, ...steady]);
    const calls = loop.outcomes.filter(({ address }) =>
      address !== FLOOD_ADDRESS
    );
    expect(calls).toHaveLength(steady.length);
    const inTime = calls.filter(({ served, tookMs }) =>
      served && tookMs <= STEADY.timeoutMs
    );
    expect(inTime.length / calls.length).toBeGreaterThan(0.95);
  },
);

test("Callers without time to try another VM are served by one whose turns take long", () => {
  const loop = new EventLoop({ ...COSTS_MS, serve: 25 });
  const hurried = { timeoutMs: 100, requests: 1 };
  loop.play([
    arrival(0, { address: "127.0.1.1", ...hurried }),
    arrival(0, { address: "127.0.1.2", ...hurried }),
    arrival(0, { address: "127.0.1.2", ...hurried }),
  ]);
  const inTime = loop.outcomes.filter(({ served, tookMs }) =>
    served && tookMs <= hurried.timeoutMs
  );
  expect(inTime.length).toBeGreaterThanOrEqual(2);
  expect(loop.outcomes.filter(({ served }) => !served)).toEqual([]);
});

test.each([[30, 22.5], [100, 75], [300, 100], [1_500, 500], [3_000, 600], [
  Infinity,
  600,
]])(
  "A request whose caller has %d ms waits for %d ms at most",
  (timeoutMs, maxWaitMs) => {
    expect(maxWaitOf(timeoutMs)).toBe(maxWaitMs);
  },
);
