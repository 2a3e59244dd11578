import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import type { Send, StreamListener } from "./port.ts";
import {
  entry,
  event,
  EVENT_HEAD,
  type FakeBehaviour,
  FakeEndpoints,
} from "./testing/fake_endpoints.ts";
import {
  DEADLINE_MS,
  ENGINES,
  eventsOf,
  type SharedStreams,
  shareEngines,
  startStream,
} from "./testing/streams.ts";
import type { EndpointEntry } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENTRIES = [
  ...ENGINES,
  entry("d3", { stage: "decode", address: "10.0.0.5:1" }),
];

function share(port: FakeEndpoints, entries = ENTRIES): SharedStreams {
  return shareEngines(port, { entries });
}

type StreamSendOptions = Send & { listener: StreamListener };

/** Fake endpoints of which nothing arrives once a send has been aborted. */
class AbortableEndpoints extends FakeEndpoints {
  override stream(target: EndpointEntry, send: StreamSendOptions) {
    let aborted = false;
    send.signal.addEventListener("abort", () => (aborted = true));
    const { onHead, onData } = send.listener;
    const listener: StreamListener = {
      onHead: (head) => aborted || onHead(head),
      onData: (bytes) => aborted || onData(bytes),
    };
    const stream = super.stream(target, { ...send, listener });
    const abort = () => {
      aborted = true;
      stream.abort();
    };
    return { ...stream, abort };
  }
}

type Script = (send: StreamSendOptions) => Promise<"lost" | "ok">;

/** Endpoints whose sends follow the given scripts, in order. */
function scripted(
  scripts: readonly Script[],
  behaviour: Partial<FakeBehaviour> = {},
): FakeEndpoints {
  let sends = 0;
  return new AbortableEndpoints({
    ...behaviour,
    stream: async (_endpoint, send) => {
      const script = scripts[sends]!;
      sends += 1;
      send.listener.onHead(EVENT_HEAD);
      const end = await script(send);
      return end === "ok" ? ok(undefined) : err({ kind: "lost", detail: "x" });
    },
  });
}

function deliver(send: StreamSendOptions, id: number): void {
  send.listener.onData(event(id));
}

test("An exception while an empty answer is passed on ends its stream alone", async () => {
  const port = scripted([() => Promise.resolve("ok")]);
  const { ended } = startStream(share(port), {
    sink: {
      head: () => {
        throw new Error("broken sink");
      },
    },
  });
  const rejected = expect(ended).rejects.toThrow("broken sink");
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 1_000);
  await rejected;
});

test("An exception while a backup is prepared ends its stream alone, and its sends", async () => {
  const signals: AbortSignal[] = [];
  const port = scripted([(send) => {
    signals.push(send.signal);
    deliver(send, 1);
    return never();
  }]);
  const streams = share(port);
  const { ended } = startStream(streams);
  const rejected = expect(ended).rejects.toThrow("broken queue");
  await vi.advanceTimersByTimeAsync(100);
  streams.queue.enqueue = () => Promise.reject(new Error("broken queue"));
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 1_000);
  await rejected;
  expect(signals.map(({ aborted }) => aborted)).toEqual([true]);
});

const never = () => new Promise<"ok">(() => {});

test("No event is sent twice when the backup of a silent backup delivers before the first endpoint goes on", async () => {
  const port = scripted([
    async (send) => {
      deliver(send, 1);
      await wait(4_000);
      deliver(send, 2);
      deliver(send, 3);
      return "ok";
    },
    never,
    async (send) => {
      await wait(500);
      deliver(send, 2);
      await wait(1_000);
      deliver(send, 3);
      return "ok";
    },
  ]);
  const { ended, out } = startStream(share(port), {
    route: { maxAttempts: 3 },
  });
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 1_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2", "3"]);
});

test("No event is sent twice when the first endpoint goes on while the backup of its silent backup is open", async () => {
  const port = scripted([
    async (send) => {
      deliver(send, 1);
      await wait(3_300);
      deliver(send, 2);
      await wait(1_000);
      deliver(send, 3);
      return "ok";
    },
    never,
    async (send) => {
      await wait(500);
      deliver(send, 2);
      deliver(send, 3);
      return "ok";
    },
  ]);
  const { ended, out } = startStream(share(port), {
    route: { maxAttempts: 3 },
  });
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 1_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2", "3"]);
});

test("The backup of a silent backup is not sent to the endpoint where the first send is still open", async () => {
  const port = scripted([
    (send) => (deliver(send, 1), never()),
    never,
    (send) => (deliver(send, 2), Promise.resolve("ok")),
  ]);
  startStream(share(port, ENTRIES.filter(({ id }) => id !== "d3")), {
    route: { maxAttempts: 3 },
  });
  await vi.advanceTimersByTimeAsync(6_000);
  const sent = port.log.filter((line) => line.startsWith("stream"))
    .map((line) => line.split(" ")[1]);
  expect(new Set(sent).size).toBe(sent.length);
});

test("A stream ends as soon as the backup of its silent backup is complete", async () => {
  const port = scripted([
    (send) => (deliver(send, 1), never()),
    never,
    (send) => (deliver(send, 2), Promise.resolve("ok")),
  ]);
  const { times } = startStream(share(port), { route: { maxAttempts: 3 } });
  await vi.advanceTimersByTimeAsync(6_000);
  expect(times.endedAfterMs).toBeLessThan(5_000);
});

test("A stream is not lost because backups were given up earlier, before they were sent", async () => {
  let prefills = 0;
  const port = scripted([
    async (send) => {
      for (const id of [1, 2, 3, 4]) {
        deliver(send, id);
        await wait(1_800);
      }
      return "lost";
    },
    (send) => (deliver(send, 5), Promise.resolve("ok")),
  ], {
    prefill: async () => {
      prefills += 1;
      if (prefills > 1) await wait(400);
      return ok({ handle: asId(`kv-${prefills}`), tokens: 1 });
    },
  });
  const { ended, out } = startStream(share(port));
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 1_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2", "3", "4", "5"]);
});

test("A stream does not hang when its backup completes without further events", async () => {
  const port = scripted([
    (send) => (deliver(send, 1), never()),
    () => Promise.resolve("ok"),
  ]);
  const { times } = startStream(share(port));
  await vi.advanceTimersByTimeAsync(5_000);
  expect(times.endedAfterMs).toBeLessThan(3_000);
});

test("A new stream is not refused because a backup waits for another endpoint", async () => {
  const port = scripted([
    async (send) => {
      deliver(send, 1);
      await wait(10_000);
      deliver(send, 2);
      return "ok";
    },
    (send) => (deliver(send, 1), Promise.resolve("ok")),
  ]);
  const shared = share(port, ENTRIES.filter(({ id }) => !/d[23]/.test(id)));
  startStream(shared);
  await vi.advanceTimersByTimeAsync(3_000);
  const second = startStream(shared);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await second.ended).toEqual({ kind: "complete" });
});

test("No event is sent twice because a cancelled backup ends late", async () => {
  const startedMs = performance.now();
  let sends = 0;
  const port = new AbortableEndpoints({
    reserve: (target) =>
      target.id === "d1" || performance.now() - startedMs > 1_745
        ? ok(asId("hold"))
        : err({ kind: "notExecuted", status: 503 }),
    prefill: async () => {
      if (sends > 0) await wait(400);
      return ok({ handle: asId("kv"), tokens: 1 });
    },
    stream: async (_endpoint, send) => {
      sends += 1;
      if (sends === 1) {
        // The head ends the first backup just before the silence is reported again.
        await wait(1_745);
        send.listener.onHead(EVENT_HEAD);
        return never().then(() => ok(undefined));
      }
      await wait(300);
      send.listener.onHead(EVENT_HEAD);
      for (const id of [1, 2, 3]) {
        deliver(send, id);
        await wait(300);
      }
      return ok(undefined);
    },
  });
  const { ended, out } = startStream(share(port));
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2", "3"]);
});
test("A stream does not outlast its deadline because of the prefill of a late backup", async () => {
  const startedMs = performance.now();
  let prefills = 0;
  const port = scripted([
    async (send) => {
      deliver(send, 1);
      await wait(send.wholeMs!);
      return "lost";
    },
    // The backup, whose decode endpoint prefills it after all.
    async (send) => {
      await wait(send.wholeMs!);
      return "lost";
    },
  ], {
    reserve: (target) =>
      target.id === "d1" || performance.now() - startedMs > 13_600
        ? ok(asId("hold"))
        : err({ kind: "notExecuted", status: 503 }),
    prefill: async (_endpoint, { firstByteMs }) => {
      prefills += 1;
      if (prefills === 1) return ok({ handle: asId("kv"), tokens: 1 });
      await wait(firstByteMs);
      return err({ kind: "timeout" });
    },
  });
  const { times } = startStream(share(port));
  await vi.advanceTimersByTimeAsync(DEADLINE_MS + 3_000);
  expect(times.endedAfterMs).toBeLessThan(DEADLINE_MS + 500);
});
