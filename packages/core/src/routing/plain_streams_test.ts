// Guards against streams of plain endpoints that are joined, repeated or sent in vain.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { LimitedEndpointPort } from "./limits/limited_port.ts";
import { PlainPlaces } from "./plain_places.ts";
import type { SendFailure, StreamListener } from "./port.ts";
import { StreamRun } from "./stream_run.ts";
import {
  context,
  entry,
  event,
  EVENT_HEAD,
  FakeEndpoints,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import { eventsOf } from "./testing/streams.ts";
import type { RoutedEndpointPort } from "./port.ts";
import type { Route, SoftwareVersion } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const LOST: SendFailure = { kind: "lost", detail: "reset" };
const BUSY: SendFailure = { kind: "notExecuted", status: 503 };

function start(
  port: RoutedEndpointPort,
  { entries = [entry("a"), entry("b")], version = null, ...options }: {
    route?: Partial<Route>;
    entries?: ReturnType<typeof entry>[];
    version?: SoftwareVersion | null;
  } = {},
) {
  const shared = context(port, entries);
  const out: string[] = [];
  const ended = new StreamRun(shared, {
    request: request(),
    route: route({ kind: "stream", resumable: true, ...options.route }),
    service: SERVICE,
    pool: null,
    places: new PlainPlaces(shared, { service: SERVICE }),
    version,
    sink: {
      head: () => {},
      write: (bytes) => out.push(new TextDecoder().decode(bytes)) > 0,
      onDrain() {},
    },
    signal: new AbortController().signal,
  }).run();
  return { ended, out, shared };
}

/** Endpoints whose sends behave as listed, in order. */
function behaving(
  ...sends: ((listener: StreamListener) => SendFailure | null)[]
): FakeEndpoints {
  let count = 0;
  return new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      const failure = sends[count]!(listener);
      count += 1;
      return Promise.resolve(failure ? err(failure) : ok(undefined));
    },
  });
}

function deliver(...events: Uint8Array[]) {
  return (listener: StreamListener) => {
    listener.onHead(EVENT_HEAD);
    for (const bytes of events) listener.onData(bytes);
    return null;
  };
}

function breakAfter(...events: Uint8Array[]) {
  return (listener: StreamListener) => {
    deliver(...events)(listener);
    return LOST;
  };
}

test("A stream goes to one endpoint, without reservation or prefill", async () => {
  const port = behaving(deliver(event(1), event(2)));
  const { ended, out } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
  expect(port.log).toHaveLength(1);
  expect(port.released).toEqual([]);
});

test("A broken stream continues at another endpoint after its last event", async () => {
  const port = behaving(breakAfter(event(1)), deliver(event(2)));
  const { ended, out } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
  expect(port.log[1]).toMatch(/after 1$/);
  expect(port.log[1]!.slice(0, 8)).not.toBe(port.log[0]!.slice(0, 8));
});

test("A stream that broke off after an event without an id is not sent again", async () => {
  const unnamed = new TextEncoder().encode("data: a\n\n");
  for (const events of [[unnamed], [event(1), unnamed]]) {
    const port = behaving(breakAfter(...events), deliver(event(2)));
    const { ended } = start(port);
    expect(await ended).toMatchObject({ kind: "broken" });
    expect(port.log).toHaveLength(1);
  }
});

test("An endpoint that refuses is passed over for another", async () => {
  const port = behaving(() => BUSY, deliver(event(1)));
  const { ended } = start(port, { route: { resumable: false } });
  expect(await ended).toEqual({ kind: "complete" });
  expect(port.log[1]).not.toBe(port.log[0]);
});

test("A stream that may have run is not sent again on a route that isn't resumable", async () => {
  const port = behaving(() => LOST, deliver(event(1)));
  const { ended } = start(port, { route: { resumable: false } });
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "mayHaveRun" },
  });
  expect(port.log).toHaveLength(1);
});

test("A resumed stream goes to its software version only", async () => {
  const entries = [entry("a"), entry("b", { softwareVersion: asId("v2") })];
  const port = behaving(deliver(event(1)));
  await start(port, { entries, version: asId("v2") }).ended;
  expect(port.log).toEqual(["stream b"]);
  const missing = start(port, { entries, version: asId("v3") });
  expect(await missing.ended).toMatchObject({
    refusal: { reason: "version-unavailable" },
  });
});

test("A stream without a reservation takes a permit of its own", async () => {
  const port = behaving(deliver(event(1)), deliver(event(1)));
  const acquired: string[] = [];
  const limited = new LimitedEndpointPort(
    port,
    {
      acquire: ({ id }) => {
        acquired.push(id);
        return Promise.resolve(
          acquired.length === 1 ? err({ retryAfterMs: 500 }) : ok(undefined),
        );
      },
      pausedForMs: () => 0,
    } as ConstructorParameters<typeof LimitedEndpointPort>[1],
  );
  expect(await start(limited).ended).toEqual({ kind: "complete" });
  expect(new Set(acquired).size).toBe(2);
  expect(port.log).toHaveLength(1);
});

test("A stream is refused until the first permit if all endpoints have limits", async () => {
  const { shared } = start(new FakeEndpoints());
  for (const record of shared.endpoints.all()) {
    record.noteLimited(performance.now() + 700);
  }
  const places = new PlainPlaces(shared, { service: SERVICE });
  const refused = await places.enqueue(
    {
      avoid: new Set(),
      version: null,
      findRefusal: () => null,
      signal: new AbortController().signal,
    } as unknown as Parameters<PlainPlaces["enqueue"]>[0],
  );
  expect(refused._unsafeUnwrapErr()).toMatchObject({
    reason: "endpoint-limited",
  });
  expect(refused._unsafeUnwrapErr().retryAfterMs).toBeGreaterThanOrEqual(700);
});
