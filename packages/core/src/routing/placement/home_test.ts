import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId, type VmId } from "../../common/ids.ts";
import { entry } from "../testing/fake_endpoints.ts";
import { EndpointRecord } from "../endpoint_record.ts";
import { PlacementHome } from "./home.ts";
import { selectShardEngines, shardCountOf } from "./shards.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINES = ["a", "b", "c"].map((id) => asId<EndpointId>(id));
const [A, B, C] = ENGINES as [EndpointId, EndpointId, EndpointId];
const VMS = ["vm-1", "vm-2"].map((id) => asId<VmId>(id)) as [VmId, VmId];

test("Streams of several VMs are spread over the engines", () => {
  const home = new PlacementHome();
  const chosen: EndpointId[] = [];
  for (let n = 0; n < 6; n += 1) {
    const vm = VMS[n % 2]!;
    // Each VM reports what it placed itself so far.
    const own = chosen.filter((_, at) => at % 2 === n % 2);
    home.noteLoads(
      vm,
      ENGINES.map((id) =>
        [id, 100 * own.filter((one) => one === id).length] as const
      ),
    );
    chosen.push(home.rankDecode(ENGINES, { vm, tokens: 100 })[0]!);
  }
  for (const id of ENGINES) {
    expect(chosen.filter((one) => one === id)).toHaveLength(2);
  }
});

test("What a VM reported is forgotten when it falls silent", async () => {
  const home = new PlacementHome();
  home.noteLoads(VMS[0], [[A, 1_000]]);
  home.noteLoads(VMS[1], [[B, 100], [C, 200]]);
  expect(home.rankDecode(ENGINES, { vm: VMS[1], tokens: 1 })).toEqual([
    B,
    C,
    A,
  ]);
  await vi.advanceTimersByTimeAsync(4_000);
  home.noteLoads(VMS[1], [[B, 100], [C, 200]]);
  expect(home.rankDecode(ENGINES, { vm: VMS[1], tokens: 1 })[0]).toBe(A);
});

test("Prompts that come together are read side by side, and wait in turn", () => {
  const home = new PlacementHome();
  const choose = () =>
    home.choosePrefill([A, B], { readMs: 100, extraMs: () => 0 })!;
  expect([choose(), choose()].map(({ engine }) => engine).sort())
    .toEqual([A, B]);
  expect(choose().waitMs).toBe(100);
  expect(choose().waitMs).toBe(100);
  expect(choose().waitMs).toBe(200);
});

test("An engine nearby is preferred as long as it is soon free", () => {
  const home = new PlacementHome();
  const choose = () =>
    home.choosePrefill([A, B], {
      readMs: 30,
      extraMs: (id) => id === A ? 40 : 0,
    })!.engine;
  expect([choose(), choose(), choose()]).toEqual([B, B, A]);
});

test("Shards share out the engines, each engine to one", () => {
  const engines = Array.from(
    { length: 40 },
    (_, n) => new EndpointRecord(entry(`e${n}`)),
  );
  const shardCount = shardCountOf(engines.length);
  expect(shardCount).toBe(3);
  const parts = [0, 1, 2].map((shard) =>
    selectShardEngines(engines, { shard, shardCount })
  );
  expect(parts.flat()).toHaveLength(40);
  expect(new Set(parts.flat()).size).toBe(40);
  for (const part of parts) expect(part.length).toBeGreaterThanOrEqual(13);
});
