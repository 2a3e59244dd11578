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

test("Streams placed by several VMs are spread evenly over the engines", () => {
  const home = new PlacementHome();
  const chosen: EndpointId[] = [];
  for (let n = 0; n < 6; n += 1) {
    const vm = VMS[n % 2]!;
    // Each VM reports only the streams that it placed itself.
    const own = chosen.filter((_, index) => index % 2 === n % 2);
    home.noteLoads(
      vm,
      ENGINES.map((id) =>
        [id, 100 * own.filter((engine) => engine === id).length] as const
      ),
    );
    chosen.push(home.rankDecode(ENGINES, { vm, tokens: 100 })[0]!);
  }
  for (const id of ENGINES) {
    expect(chosen.filter((engine) => engine === id)).toHaveLength(2);
  }
});

test("A VM's load report expires if it isn't renewed", async () => {
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

test("Concurrent prompts go to different prefill engines, and queue while all are busy", () => {
  const home = new PlacementHome();
  const choose = () =>
    home.choosePrefill([A, B], { readMs: 100, extraMs: () => 0 })!;
  expect([choose(), choose()].map(({ engine }) => engine).sort())
    .toEqual([A, B]);
  expect(choose().waitMs).toBe(100);
  expect(choose().waitMs).toBe(100);
  expect(choose().waitMs).toBe(200);
});

test("An engine with an extra delay is chosen only once the other's queue is longer than that delay", () => {
  const home = new PlacementHome();
  const choose = () =>
    home.choosePrefill([A, B], {
      readMs: 30,
      extraMs: (id) => id === A ? 40 : 0,
    })!.engine;
  expect([choose(), choose(), choose()]).toEqual([B, B, A]);
});

test("Each engine belongs to exactly one shard, and shards are of similar size", () => {
  const engines = Array.from(
    { length: 40 },
    (_, n) => new EndpointRecord(entry(`e${n}`)),
  );
  const shardCount = shardCountOf(engines.length);
  expect(shardCount).toBe(3);
  const shards = [0, 1, 2].map((shard) =>
    selectShardEngines(engines, { shard, shardCount })
  );
  expect(shards.flat()).toHaveLength(40);
  expect(new Set(shards.flat()).size).toBe(40);
  for (const shard of shards) expect(shard.length).toBeGreaterThanOrEqual(13);
});
