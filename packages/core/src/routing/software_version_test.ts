import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import { expect, test } from "vitest";
import { asId } from "../common/ids.ts";
import { Router } from "./router.ts";
import {
  context,
  entry,
  event,
  EVENT_HEAD,
  type FakeBehaviour,
  FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
  table,
} from "./testing/fake_endpoints.ts";
import type { RoutedRequest } from "./types.ts";

const ROUTE = route({
  kind: "stream",
  resumable: true,
  maxAttempts: 3,
  timeoutMs: 14_000,
  targetLatencyMs: 900,
});

function engine(id: string, version: string) {
  return entry(id, {
    stage: "decode",
    address: `${id}:1`,
    softwareVersion: asId(version),
  });
}

/** A router over engines that lose each stream after its first event, or after its second send complete it. */
function setUp(
  engines: ReturnType<typeof engine>[],
  behaviour: Partial<FakeBehaviour> = {},
) {
  let sends = 0;
  const port = new FakeEndpoints({
    ...behaviour,
    stream: (_endpoint, { listener, lastEventId }) => {
      sends += 1;
      listener.onHead(EVENT_HEAD);
      listener.onData(event(Number(lastEventId ?? 0) + 1));
      return Promise.resolve(
        sends % 2 === 1
          ? err({ kind: "lost", detail: "reset" })
          : ok(undefined),
      );
    },
  });
  const shared = { ...context(port, engines), random: Math.random };
  const router = new Router(shared);
  router.setTable(table(1, { routes: [ROUTE], engines: POOL }));
  const handle = async (fields: Partial<RoutedRequest>) => {
    const out: Buffer[] = [];
    const from = port.log.length;
    const outcome = await router.handle(
      request({ callerTimeoutMs: 14_000, ...fields }),
      {
        route: ROUTE,
        sink: {
          head() {},
          write: (bytes) => out.push(Buffer.from(bytes)) > 0,
          onDrain() {},
        },
        signal: new AbortController().signal,
      },
    );
    const engineIds = port.log.slice(from)
      .filter((line) => line.startsWith("stream"))
      .map((line) => line.split(" ")[1]);
    const versions = engineIds.map((id) =>
      engines.find((known) => known.id === id)!.softwareVersion
    );
    return { outcome, versions };
  };
  return { handle, shared };
}

const TWO_VERSIONS = [
  engine("a1", "v1"),
  engine("a2", "v1"),
  engine("b1", "v2"),
  engine("b2", "v2"),
];

test("A stream whose endpoint is lost continues only at the software version that began it", async () => {
  const { handle } = setUp(TWO_VERSIONS);
  for (let n = 0; n < 20; n += 1) {
    const { outcome, versions } = await handle({ id: asId(`attempt-${n}`) });
    expect(outcome).toEqual({ kind: "complete" });
    expect(versions).toHaveLength(2);
    expect(new Set(versions).size).toBe(1);
  }
});

test("A stream is broken off if no other endpoint has the software version that began it", async () => {
  const { handle } = setUp([engine("a1", "v1"), engine("b1", "v2")]);
  const { outcome, versions } = await handle({});
  expect(outcome).toMatchObject({ kind: "broken" });
  expect(versions).toHaveLength(1);
});

test("A stream that a caller resumes continues only at the software version that began it", async () => {
  const { handle } = setUp(TWO_VERSIONS);
  for (let n = 0; n < 20; n += 1) {
    const first = await handle({ id: asId(`first-${n}`) });
    const second = await handle({
      id: asId(`second-${n}`),
      lastEventId: "2",
      resumes: asId(`first-${n}`),
    });
    expect(second.outcome).toEqual({ kind: "complete" });
    expect(new Set([...first.versions, ...second.versions]).size).toBe(1);
  }
});

test("A resumed stream is refused as not run if its software version accepts no work", async () => {
  const { handle, shared } = setUp(TWO_VERSIONS);
  const first = await handle({ id: asId("first") });
  for (const known of TWO_VERSIONS) {
    if (known.softwareVersion !== first.versions[0]) continue;
    const draining = { ...known, state: "draining" as const };
    shared.endpoints.apply({ id: known.id, entry: draining });
  }
  const { outcome, versions } = await handle({
    id: asId("second"),
    lastEventId: "2",
    resumes: asId("first"),
  });
  expect(outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "version-unavailable" },
  });
  expect(versions).toEqual([]);
});

test("A resumed stream of unknown origin is refused while several software versions serve", async () => {
  const { handle } = setUp(TWO_VERSIONS);
  const { outcome, versions } = await handle({
    lastEventId: "2",
    resumes: asId("elsewhere"),
  });
  expect(outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "origin-unknown" },
  });
  expect(versions).toEqual([]);
});

test("A resumed stream of unknown origin is refused by a VM that doesn't know which versions served before", async () => {
  const { handle, shared } = setUp([engine("a1", "v1"), engine("a2", "v1")]);
  shared.origins.possibleOrigins = () => null;
  const { outcome, versions } = await handle({
    lastEventId: "2",
    resumes: asId("elsewhere"),
  });
  expect(outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "origin-unknown" },
  });
  expect(versions).toEqual([]);
});

test("A resumed stream of unknown origin continues if only one software version has served", async () => {
  const { handle } = setUp([engine("a1", "v1"), engine("a2", "v1")]);
  const { outcome } = await handle({
    lastEventId: "2",
    resumes: asId("elsewhere"),
  });
  expect(outcome).toEqual({ kind: "complete" });
});

test("A resumed stream of unknown origin is refused if it may have begun at a service that its route led to before", async () => {
  const { handle, shared } = setUp([engine("a1", "v1"), engine("a2", "v1")]);
  const [now] = shared.origins.possibleOrigins()!;
  const before = { ...now!, service: asId<never>("former") };
  shared.origins.possibleOrigins = () => [now!, before];
  const { outcome, versions } = await handle({
    lastEventId: "2",
    resumes: asId("elsewhere"),
  });
  expect(outcome).toMatchObject({ kind: "refused" });
  expect(versions).toEqual([]);
});

// Guards against events of two versions in one answer: the directory shows a restart late.
test("A stream doesn't continue at an engine that has started again since its entry was written", async () => {
  const restarted = new Set<string>();
  const { handle, shared } = setUp(TWO_VERSIONS, {
    bornAtMs: ({ id, bornAtMs }) => restarted.has(id) ? 2 : bornAtMs,
  });
  const first = await handle({ id: asId("first") });
  const before = TWO_VERSIONS.filter(({ softwareVersion }) =>
    softwareVersion === first.versions[0]
  );
  for (const { id } of before) restarted.add(id);
  const resume = () =>
    handle({
      id: asId("second"),
      callerTimeoutMs: 400,
      lastEventId: "2",
      resumes: asId("first"),
    });
  const second = await resume();
  expect(second.outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "version-unavailable" },
  });
  expect(second.versions).toEqual([]);
  for (const known of before) {
    shared.endpoints.apply({ id: known.id, entry: { ...known, bornAtMs: 2 } });
  }
  const third = await resume();
  expect(third.outcome).toEqual({ kind: "complete" });
  expect(new Set(third.versions)).toEqual(new Set(first.versions));
});

test("A stream isn't sent to an engine whose next start becomes known during the prefill", async () => {
  const [known] = TWO_VERSIONS as [ReturnType<typeof engine>];
  const prefill = entry("p", { stage: "prefill", address: "p:1" });
  const { handle, shared } = setUp([known, prefill], {
    prefill: () => {
      const restarted = { ...known, softwareVersion: asId<never>("v9") };
      shared.endpoints.apply({
        id: known.id,
        entry: { ...restarted, bornAtMs: 2 },
      });
      return Promise.resolve(ok({ handle: asId("kv"), tokens: 1 }));
    },
  });
  const { versions } = await handle({
    lastEventId: "2",
    callerTimeoutMs: 400,
    hop: {
      from: asId("vm-2"),
      runs: 0,
      origin: { service: SERVICE, version: known.softwareVersion },
    },
  });
  expect(versions).toEqual([]);
});
