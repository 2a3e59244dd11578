import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId, type VmId } from "../../common/ids.ts";
import { EndpointRecord } from "../endpoint_record.ts";
import { entry } from "../testing/fake_endpoints.ts";
import { PlacementHome, type PlaceRequest, type VmLoads } from "./home.ts";
import { shardCountOf, shardOfEngine } from "./shards.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINES = ["a", "b", "c"].map((id) => asId<EndpointId>(id));
const [A, B] = ENGINES as [EndpointId, EndpointId, EndpointId];
const VMS = ["vm-1", "vm-2"].map((id) => asId<VmId>(id)) as [VmId, VmId];

const STREAM = {
  promptTokens: 100,
  generatedTokens: 0,
  expectedTokens: 50,
  maxTokens: 100,
};
/** Room for two streams on an engine, by their longest outputs. */
const CAPACITY = { slots: 2, kvTokens: 1_000 };
const TOKENS_PER_MS = 0.1;
const SHARD = "readers/0";

let attempts = 0;

function placeRequest(options: Partial<PlaceRequest> = {}): PlaceRequest {
  attempts += 1;
  return {
    attempt: asId(`attempt-${attempts}`),
    vm: VMS[0],
    shard: SHARD,
    stream: STREAM,
    engines: ENGINES,
    capacity: CAPACITY,
    tokensPerMs: TOKENS_PER_MS,
    spareMs: 800,
    joins: true,
    ...options,
  };
}

function noteLoads(home: PlacementHome, vm: VmId, loads: VmLoads): void {
  home.noteLoads({ vm, shard: SHARD, loads, tokensPerMs: TOKENS_PER_MS });
}

/** Takes all slots of all engines, with streams that end after about `tokens` more. */
function fill(home: PlacementHome, tokens: number): void {
  const stream = { ...STREAM, generatedTokens: STREAM.maxTokens - tokens };
  noteLoads(home, VMS[1], ENGINES.map((id) => [id, [stream, stream]]));
}

test("Streams placed by several VMs are spread evenly over the engines", () => {
  const home = new PlacementHome();
  const chosen: EndpointId[] = [];
  for (let n = 0; n < 6; n += 1) {
    const vm = VMS[n % 2]!;
    // Each VM reports only the streams that it placed itself.
    const own = chosen.filter((_, index) => index % 2 === n % 2);
    noteLoads(
      home,
      vm,
      ENGINES.map((id) =>
        [id, own.filter((engine) => engine === id).map(() => STREAM)] as const
      ),
    );
    vi.advanceTimersByTime(150);
    const answer = home.place(placeRequest({ vm }));
    if (answer.kind === "place") chosen.push(answer.engines[0]!);
  }
  for (const id of ENGINES) {
    expect(chosen.filter((engine) => engine === id)).toHaveLength(2);
  }
});

test("Streams that arrive together share the room that is left, before their VMs report them", () => {
  const home = new PlacementHome();
  const answers = Array.from({ length: 8 }, () => home.place(placeRequest()));
  const placed = answers.flatMap((answer) =>
    answer.kind === "place" ? [answer.engines[0]!] : []
  );
  expect(placed).toHaveLength(CAPACITY.slots * ENGINES.length);
  expect(new Set(placed)).toEqual(new Set(ENGINES));
});

test("A stream waits for room that is expected in time, and is told at once if there is none", () => {
  const home = new PlacementHome();
  fill(home, 20);
  expect(home.place(placeRequest()).kind).toBe("wait");
  fill(home, 100);
  expect(home.place(placeRequest({ spareMs: 100 })).kind).toBe("full");
  expect(home.waiting).toBe(1);
});

test("Waiting streams that must start sooner come first, and those that no longer ask are forgotten", async () => {
  const home = new PlacementHome();
  fill(home, 20);
  const urgent = placeRequest({ engines: [A], spareMs: 600 });
  const other = placeRequest({ engines: [A], spareMs: 800 });
  expect(home.place(other).kind).toBe("wait");
  expect(home.place(urgent).kind).toBe("wait");
  noteLoads(home, VMS[1], [[A, [STREAM]]]);
  expect(home.place(other).kind).not.toBe("place");
  expect(home.place(urgent).kind).toBe("place");
  noteLoads(home, VMS[1], [[A, []]]);
  await vi.advanceTimersByTimeAsync(200);
  expect(home.place(other).kind).toBe("place");
  expect(home.waiting).toBe(0);
});

test("A large stream that waits isn't overtaken by small ones that come later", () => {
  const home = new PlacementHome();
  const capacity = { slots: 8, kvTokens: 1_000 };
  const ending = { ...STREAM, promptTokens: 400, generatedTokens: 95 };
  noteLoads(home, VMS[1], [[A, [ending, ending]]]);
  const large = placeRequest({
    engines: [A],
    capacity,
    stream: { ...STREAM, promptTokens: 700 },
    spareMs: 700,
  });
  const small = placeRequest({ engines: [A], capacity, spareMs: 800 });
  expect(home.place(large).kind).toBe("wait");
  expect(home.place(small).kind).not.toBe("place");
  noteLoads(home, VMS[1], []);
  expect(home.place(large).kind).toBe("place");
});

test("The waiting stream of a VM that has ended gives way after less than half a second", async () => {
  const home = new PlacementHome();
  fill(home, 20);
  expect(home.place(placeRequest({ spareMs: 100_000 })).kind).toBe("wait");
  expect(home.waiting).toBe(1);
  await vi.advanceTimersByTimeAsync(450);
  fill(home, 20);
  home.place(placeRequest({ joins: false }));
  expect(home.waiting).toBe(0);
});

test("A VM that is home for two shards keeps the loads of both", () => {
  const home = new PlacementHome();
  fill(home, 100);
  home.noteLoads({
    vm: VMS[1],
    shard: "readers/1",
    loads: [],
    tokensPerMs: TOKENS_PER_MS,
  });
  expect(home.place(placeRequest({ spareMs: 100 })).kind).toBe("full");
});

test("A VM's load report expires if it isn't renewed", async () => {
  const home = new PlacementHome();
  const endless = { ...STREAM, expectedTokens: 1e6, maxTokens: 1e6 };
  const capacity = { slots: 2, kvTokens: 1e7 };
  noteLoads(home, VMS[0], [[A, [endless, endless]]]);
  const place = () =>
    home.place(placeRequest({ engines: [A], capacity, joins: false })).kind;
  expect(place()).toBe("full");
  await vi.advanceTimersByTimeAsync(6_000);
  expect(place()).toBe("place");
});

test("Streams grow between two reports, and those past their longest output have ended", async () => {
  const home = new PlacementHome();
  fill(home, 100);
  await vi.advanceTimersByTimeAsync(1_100);
  expect(home.place(placeRequest()).kind).toBe("place");
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

test("A slow prefill engine gets nearly no prompts, and its share again once it is well", async () => {
  const home = new PlacementHome();
  /** Sends a prompt every 30 ms; `isSlow` engines take four times as long. */
  const prefillFor = async (
    durationMs: number,
    { slow }: { slow: EndpointId | null },
  ) => {
    const counts = new Map(ENGINES.map((id) => [id, 0]));
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 30) {
      const { engine } = home.choosePrefill(ENGINES, {
        readMs: 60,
        extraMs: () => 0,
      })!;
      counts.set(engine, counts.get(engine)! + 1);
      if (engine === slow) {
        setTimeout(() => home.noteSlowPrefill(engine, 4), 240);
      }
      await vi.advanceTimersByTimeAsync(30);
    }
    return counts;
  };
  await prefillFor(1_000, { slow: A });
  // Prompts leave it within a second, and a few show whether it is still slow.
  const slow = await prefillFor(6_000, { slow: A });
  expect(slow.get(A)!).toBeLessThan(0.06 * 6_000 / 30);
  await prefillFor(10_000, { slow: null });
  const well = await prefillFor(3_000, { slow: null });
  expect(well.get(A)!).toBeGreaterThan(0.2 * 3_000 / 30);
});

test("A waiting stream of higher priority goes before one of lower priority that must start sooner", () => {
  const home = new PlacementHome();
  fill(home, 20);
  const higher = placeRequest({ engines: [A], priority: 0, spareMs: 800 });
  const lower = placeRequest({ engines: [A], priority: 2, spareMs: 600 });
  expect(home.place(lower).kind).toBe("wait");
  expect(home.place(higher).kind).toBe("wait");
  noteLoads(home, VMS[1], [[A, [STREAM]]]);
  expect(home.place(lower).kind).not.toBe("place");
  expect(home.place(higher).kind).toBe("place");
});

test("Streams that no VM tells a priority or workspace of are placed as those of one priority", () => {
  const answersOf = (options: Partial<PlaceRequest>) => {
    const home = new PlacementHome();
    fill(home, 20);
    const requests = [800, 600, 900, 700].map((spareMs) =>
      placeRequest({ engines: [A], spareMs, ...options })
    );
    const answers = requests.map((request) => home.place(request));
    noteLoads(home, VMS[1], [[A, [STREAM]]]);
    return [...answers, ...requests.map((request) => home.place(request))];
  };
  const untold = answersOf({});
  expect(answersOf({ priority: 3 })).toEqual(untold);
  expect(answersOf({ workspace: asId("w") })).toEqual(untold);
  expect(answersOf({ priority: 0, workspace: asId("w") })).toEqual(untold);
});

/** Engine A with one free slot, after streams of the highest priority have arrived for a while. */
function busyWithUrgent() {
  const home = new PlacementHome();
  const place = (priority: number) =>
    home.place(placeRequest({ engines: [A], priority, joins: false })).kind;
  const setRunning = (running: number) => {
    // What was placed before has ended.
    vi.advanceTimersByTime(150);
    noteLoads(home, VMS[0], []);
    const streams = Array.from(
      { length: running },
      () => ({ ...STREAM, generatedTokens: 20 }),
    );
    noteLoads(home, VMS[1], [[A, streams]]);
  };
  for (let n = 0; n < 12; n += 1) {
    setRunning(1);
    expect(place(0)).toBe("place");
  }
  setRunning(1);
  return { place, setRunning };
}

test("Capacity that streams of higher priority need before more becomes free isn't given to lower ones", async () => {
  const { place, setRunning } = busyWithUrgent();
  expect(place(2)).not.toBe("place");
  expect(place(0)).toBe("place");
  // Nothing is kept once no more of them arrive.
  await vi.advanceTimersByTimeAsync(30_000);
  setRunning(1);
  expect(place(2)).toBe("place");
});

test("A lower priority that would be starved gets places before higher ones", () => {
  const { place, setRunning } = busyWithUrgent();
  setRunning(2);
  for (let n = 0; n < 6; n += 1) expect(place(2)).not.toBe("place");
  setRunning(1);
  expect(place(2)).toBe("place");
});

test("A late stream is placed where there is room, but waits for none and takes no other's place", async () => {
  const home = new PlacementHome();
  const late = (options: Partial<PlaceRequest> = {}) =>
    home.place(
      placeRequest({ engines: [A], isLate: true, joins: false, ...options }),
    ).kind;
  expect(late()).toBe("place");
  expect(late()).toBe("place");
  expect(late()).toBe("full");
  await vi.advanceTimersByTimeAsync(200);
  fill(home, 20);
  noteLoads(home, VMS[0], []);
  const onTime = placeRequest({ engines: [A] });
  expect(home.place(onTime).kind).toBe("wait");
  noteLoads(home, VMS[1], [[A, [STREAM]]]);
  expect(late()).toBe("full");
  expect(home.place(onTime).kind).toBe("place");
});

test("A late stream doesn't queue for a prefill engine, nor do two take the same idle one", () => {
  const home = new PlacementHome();
  const late = () =>
    home.place(placeRequest({
      isLate: true,
      joins: false,
      prefillEngines: [A, B],
    })).kind;
  home.choosePrefill([A], { readMs: 300, extraMs: () => 0 });
  expect(late()).toBe("place");
  expect(late()).toBe("full");
});

test("An engine's shard depends on its id only, and shards are of similar size", () => {
  expect([0, 16, 17, 40].map(shardCountOf)).toEqual([1, 1, 2, 3]);
  const sizes = [0, 0, 0];
  for (let n = 0; n < 400; n += 1) {
    const engine = new EndpointRecord(entry(`e${n}`));
    const restarted = new EndpointRecord(entry(`e${n}`, { bornAtMs: 2 }));
    const shard = shardOfEngine(engine, 3);
    sizes[shard]! += 1;
    expect(shardOfEngine(restarted, 3)).toBe(shard);
  }
  for (const size of sizes) expect(size).toBeGreaterThan(100);
});
