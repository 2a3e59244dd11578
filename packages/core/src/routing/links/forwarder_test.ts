import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type VmId } from "../../common/ids.ts";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import { mayHaveRun, notRun } from "../../common/verdict.ts";
import { wait } from "../../common/wait.ts";
import type { Member, VmIdentity, VmState } from "../../membership/types.ts";
import type { RoutedRequest } from "../types.ts";
import { request } from "../testing/fake_endpoints.ts";
import { Forwarder, type ForwarderOptions } from "./forwarder.ts";
import type { ForwardedSend, ForwardResult } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const NO_LINKS: ForwardResult = err({
  kind: "refused",
  refusal: notRun("no-links"),
});

/** A forwarder of vm-0 among several VMs, and the VMs that received requests. */
function setUp(
  answer: (vm: string, send: ForwardedSend) => Promise<ForwardResult>,
  vmCount = 4,
  stateOf: (index: number) => VmState = () => "live",
  tables: Partial<ForwarderOptions["tables"]> = {},
) {
  const received: string[] = [];
  const members = Array.from(
    { length: vmCount },
    (_, index) =>
      ({ id: `vm-${index}`, state: stateOf(index) }) as unknown as Member,
  );
  const forwarder = new Forwarder({
    membership: {
      self: { id: asId<VmId>("vm-0") } as VmIdentity,
      members: () => members,
    },
    links: { isLost: () => true, settled: () => Promise.resolve() },
    port: {
      forward: ({ id }, send) => {
        received.push(id);
        return { ended: answer(id, send), resume() {}, abort() {} };
      },
    },
    tables: Object.assign(tables, {
      servedVersion: tables.servedVersion ?? 0,
      mayServe: tables.mayServe ?? (() => Promise.resolve(true)),
      noteServed: tables.noteServed ?? (() => {}),
    }),
    observer: SILENT_OBSERVER,
    random: Math.random,
  });
  const send = (options: Partial<RoutedRequest> = {}) =>
    forwarder.send({
      request: request(options),
      runs: 1,
      origin: null,
      leftMs: () => ({ caller: 1_000, whole: 900 }),
      lastEventId: null,
      resumes: null,
      signal: new AbortController().signal,
      listener: { onHead() {}, onData: () => true },
    });
  return { received, send };
}

test("Requests are spread over the other VMs, fewer to one that is slow", async () => {
  const { received, send } = setUp(async (vm) => {
    await wait(vm === "vm-3" ? 1_000 : 20);
    return ok(undefined);
  });
  for (let sent = 0; sent < 200; sent += 1) {
    void send();
    await vi.advanceTimersByTimeAsync(10);
  }
  await vi.advanceTimersByTimeAsync(1_000);
  const counts = ["vm-0", "vm-1", "vm-2", "vm-3"].map((vm) =>
    received.filter((id) => id === vm).length
  );
  expect(counts[0]).toBe(0);
  expect(counts[1]).toBeGreaterThan(60);
  expect(counts[2]).toBeGreaterThan(60);
  expect(counts[3]).toBeLessThan(20);
});

test("A request passes VMs over that have no links, and is served by the only one that has", async () => {
  const { received, send } = setUp(
    (vm) => Promise.resolve(vm === "vm-5" ? ok(undefined) : NO_LINKS),
    6,
  );
  expect((await send()).isOk()).toBe(true);
  for (let sent = 0; sent < 30; sent += 1) await send();
  const learned = received.length;
  for (let sent = 0; sent < 5; sent += 1) await send();
  expect(received.slice(learned)).toEqual(Array(5).fill("vm-5"));
});

test("A request that no VM takes is refused as not run", async () => {
  const { received, send } = setUp(() => Promise.resolve(NO_LINKS));
  expect(await send()).toEqual(NO_LINKS);
  expect(new Set(received).size).toBe(3);
  const alone = setUp(() => Promise.resolve(ok(undefined)), 1);
  expect((await alone.send())._unsafeUnwrapErr()).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "no-links" },
  });
});

test("A request that another VM may have sent is not sent to a third one", async () => {
  const failures: ForwardResult[] = [
    err({ kind: "lost", detail: "reset" }),
    err({ kind: "timeout" }),
    err({ kind: "refused", refusal: mayHaveRun("connection-lost") }),
    err({ kind: "refused", refusal: notRun("no-capacity") }),
  ];
  for (const failure of failures) {
    const { received, send } = setUp(() => Promise.resolve(failure));
    expect(await send()).toEqual(failure);
    expect(received).toHaveLength(1);
  }
});

test("The other VM is told who sent the request on, how often it may have run and how long its caller waits", async () => {
  const sends: ForwardedSend[] = [];
  const { send } = setUp((_vm, forwarded) => {
    sends.push(forwarded);
    return Promise.resolve(ok(undefined));
  });
  await send();
  expect(sends[0]).toMatchObject({
    hop: { from: "vm-0", runs: 1 },
    timeLeftMs: 1_000,
    wholeMs: 900,
  });
});

test("A VM that leaves takes requests only if no other one can", async () => {
  let linked = "vm-2";
  const { received, send } = setUp(
    (vm) =>
      Promise.resolve(
        vm === linked || vm === "vm-1" ? ok(undefined) : NO_LINKS,
      ),
    4,
    (index) => index === 1 ? "leaving" : "live",
  );
  for (let sent = 0; sent < 20; sent += 1) await send();
  expect(received).not.toContain("vm-1");
  linked = "vm-1";
  expect((await send()).isOk()).toBe(true);
  expect(received.at(-1)).toBe("vm-1");
});

test("A request that a busy VM refused is sent to another", async () => {
  const overloaded: ForwardResult = err({
    kind: "refused",
    refusal: notRun("overloaded"),
  });
  const { received, send } = setUp(() => Promise.resolve(overloaded));
  await send();
  expect(new Set(received).size).toBeGreaterThan(1);
});

// Guards against an older configuration at the VM that serves a forwarded request.
test("A forwarded request carries the highest version that its VM has accepted or had served", async () => {
  const versions: (number | undefined)[] = [];
  const served: [string, number][] = [];
  const tables = {
    servedVersion: 3,
    noteServed: (vm: VmId, version: number) => {
      served.push([vm, version]);
      tables.servedVersion = version;
    },
  };
  const { send } = setUp(
    (_vm, { hop, onTableVersion }) => {
      versions.push(hop.tableVersion);
      onTableVersion?.(8);
      return Promise.resolve(ok(undefined));
    },
    2,
    undefined,
    tables,
  );
  await send({ tableVersion: 5 });
  await send({ tableVersion: 5 });
  expect(versions).toEqual([5, 8]);
  expect(served[0]).toEqual(["vm-1", 8]);
});

test("A request isn't forwarded to a VM that may serve it by an older table", async () => {
  const { received, send } = setUp(
    () => Promise.resolve(ok(undefined)),
    4,
    undefined,
    {
      mayServe: ({ id }, version) =>
        Promise.resolve(id === "vm-2" && version === 7),
    },
  );
  for (let sent = 0; sent < 10; sent += 1) await send({ tableVersion: 7 });
  expect(new Set(received)).toEqual(new Set(["vm-2"]));
  expect((await send({ tableVersion: 8 }))._unsafeUnwrapErr()).toMatchObject({
    refusal: { kind: "notRun", reason: "no-links" },
  });
});

// Guards against requests of a VM without links that get fewer permits than others.
test("A request that a VM refused for its endpoints' limits is sent to one more", async () => {
  const limited: ForwardResult = err({
    kind: "refused",
    refusal: notRun("endpoint-limited"),
  });
  const refused = setUp(() => Promise.resolve(limited), 8);
  expect(await refused.send()).toEqual(limited);
  expect(refused.received).toHaveLength(2);
  let sent = 0;
  const served = setUp(() => {
    sent += 1;
    return Promise.resolve(sent > 1 ? ok(undefined) : limited);
  });
  expect((await served.send()).isOk()).toBe(true);
  const results = [limited, NO_LINKS, NO_LINKS];
  const mixed = setUp(() => Promise.resolve(results.shift()!));
  expect(await mixed.send()).toEqual(limited);
  expect(mixed.received).toHaveLength(3);
});
