import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import type { Member, VmIdentity } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import { type OriginHandlers, SharedOrigins } from "./stream_origins.ts";
import type { AttemptId } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const DATA_CENTRES = ["a", "b", "c"];
const VMS = DATA_CENTRES.flatMap((dataCentre) =>
  [1, 2, 3].map((n) => ({ id: `${dataCentre}-${n}`, dataCentre }))
);
const ORIGIN = { service: asId<never>("s"), version: asId<never>("v1") };

/** Nine VMs in three data centres, of which calls to some get no answer. */
function setUp() {
  const dead = new Set<string>();
  const origins = new Map<string, SharedOrigins>();
  const leaving = new Set<string>();
  const asked: string[] = [];
  const members = () =>
    VMS.map(({ id, dataCentre }) => {
      const state = leaving.has(id) ? "leaving" : "live";
      return { id, dataCentre, state } as unknown as Member;
    });
  const call = async (
    { id }: { id: string },
    method: keyof OriginHandlers,
    { params, timeoutMs }: { params: never; timeoutMs: number },
  ) => {
    if (method === "routing/find-origin") asked.push(id);
    if (dead.has(id)) {
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return err({ kind: "timeout" });
    }
    return ok(origins.get(id)!.handlers[method](params));
  };
  for (const vm of VMS) {
    origins.set(
      vm.id,
      new SharedOrigins({
        membership: {
          self: vm as unknown as VmIdentity,
          members,
        },
        peers: { call } as unknown as PeerPort,
        record: {
          note() {},
          get: () => null,
          find: () => Promise.resolve(null),
          possibleOrigins: () => null,
          confirmPossible: () => Promise.resolve(true),
        },
      }),
    );
  }
  const find = async (vm: string, attempt: AttemptId) => {
    const found = origins.get(vm)!.find(attempt);
    await vi.advanceTimersByTimeAsync(1_000);
    return await found;
  };
  return { dead, leaving, asked, origins, find };
}

test("Every VM finds an origin, also when the VM that noted it and its data centre are gone", async () => {
  const { dead, origins, find } = setUp();
  for (const { id, dataCentre } of VMS) {
    const attempt = asId<AttemptId>(`stream of ${id}`);
    origins.get(id)!.note(attempt, ORIGIN);
    await vi.advanceTimersByTimeAsync(1);
    for (const other of VMS) {
      expect(await find(other.id, attempt)).toEqual(ORIGIN);
    }
    for (const vm of VMS) {
      if (vm.dataCentre === dataCentre) dead.add(vm.id);
    }
    for (const other of VMS.filter((vm) => vm.dataCentre !== dataCentre)) {
      expect(await find(other.id, attempt)).toEqual(ORIGIN);
    }
    dead.clear();
  }
});

test("A VM finds an origin while all VMs that know it are leaving", async () => {
  const { leaving, origins, find } = setUp();
  for (const { id } of VMS) {
    const attempt = asId<AttemptId>(`stream of ${id}`);
    origins.get(id)!.note(attempt, ORIGIN);
    await vi.advanceTimersByTimeAsync(1);
    for (const asking of VMS) {
      for (const vm of VMS) if (vm !== asking) leaving.add(vm.id);
      expect(await find(asking.id, attempt)).toEqual(ORIGIN);
      leaving.clear();
    }
  }
});

test("A VM finds an origin while only the VM that relayed the stream is left of those that know it", async () => {
  const { dead, asked, origins, find } = setUp();
  for (const { id } of VMS) {
    const attempt = asId<AttemptId>(`stream of ${id}`);
    origins.get(id)!.note(attempt, ORIGIN);
    await vi.advanceTimersByTimeAsync(1);
    for (const asking of VMS) {
      for (const vm of VMS) {
        if (vm !== asking && vm.id !== id) dead.add(vm.id);
      }
      expect(await find(asking.id, attempt)).toEqual(ORIGIN);
      dead.clear();
      asked.length = 0;
      expect(await find(asking.id, attempt)).toEqual(ORIGIN);
      expect(asked.length).toBeLessThanOrEqual(6);
    }
  }
});

test("An origin that no VM knows is null, within the time of one call to a peer", async () => {
  const { dead, origins } = setUp();
  for (const { id } of VMS) dead.add(id);
  let found: unknown = "pending";
  void origins.get("a-1")!.find(asId("unknown")).then((origin) => {
    found = origin;
  });
  await vi.advanceTimersByTimeAsync(300);
  expect(found).toBeNull();
});

test("Origins are dropped a minute after they were noted", async () => {
  const { origins, find } = setUp();
  origins.get("a-1")!.note(asId("old"), ORIGIN);
  await vi.advanceTimersByTimeAsync(61_000);
  origins.get("a-1")!.note(asId("new"), ORIGIN);
  expect(await find("a-1", asId("old"))).toBeNull();
  expect(await find("a-1", asId("new"))).toEqual(ORIGIN);
});
