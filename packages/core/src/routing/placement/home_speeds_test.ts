import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId, type VmId } from "../../common/ids.ts";
import type { EngineSpeed } from "./engine_speeds.ts";
import { PlacementHome, type PlaceRequest, type VmLoads } from "./home.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINES = ["a", "b", "c"].map((id) => asId<EndpointId>(id));
const [A, B, C] = ENGINES as [EndpointId, EndpointId, EndpointId];
const VM = asId<VmId>("vm-1");
const SHARD = "readers/0";
const STREAM = {
  promptTokens: 100,
  generatedTokens: 0,
  expectedTokens: 50,
  maxTokens: 100,
};

let attempts = 0;

function placeRequest(options: Partial<PlaceRequest> = {}): PlaceRequest {
  attempts += 1;
  return {
    attempt: asId(`attempt-${attempts}`),
    vm: VM,
    shard: SHARD,
    stream: STREAM,
    engines: ENGINES,
    capacity: { slots: 2, kvTokens: 1_000 },
    tokensPerMs: 0.18,
    spareMs: 800,
    joins: true,
    events: { tokensPerEvent: 7, maxGapMs: 300 },
    ...options,
  };
}

function speedsOf(
  kind: "decode" | "prefill",
  values: readonly number[],
): EngineSpeed[] {
  return values.map((speed, index) => ({
    engine: ENGINES[index]!,
    decode: null,
    prefill: null,
    [kind]: speed,
  }));
}

function report(
  home: PlacementHome,
  { loads = [], speeds }: {
    loads?: VmLoads;
    speeds?: readonly EngineSpeed[];
  },
): void {
  home.noteLoads({ vm: VM, shard: SHARD, loads, tokensPerMs: 0, speeds });
}

function firstPlace(home: PlacementHome, options?: Partial<PlaceRequest>) {
  const answer = home.place(placeRequest(options));
  return answer.kind === "place" ? answer.engines[0] : answer.kind;
}

test("An engine whose events would exceed the permitted gap gets a stream only if no other has room", () => {
  const home = new PlacementHome();
  // One event in 350 ms, where 300 are permitted.
  const speeds = speedsOf("decode", [0.02, 0.18, 0.18]);
  const loads: VmLoads = [B, C].map((id) => [id, [STREAM]]);
  report(home, { speeds, loads });
  expect(firstPlace(home)).not.toBe(A);
  const full: VmLoads = [B, C].map((id) => [id, [STREAM, STREAM]]);
  report(home, { speeds, loads: full });
  vi.advanceTimersByTime(101);
  report(home, { speeds, loads: full });
  expect(firstPlace(home)).toBe(A);
});

test("An engine whose first event would come after the target gets a stream only if no other has room", () => {
  const home = new PlacementHome();
  report(home, {
    speeds: speedsOf("decode", [0.04, 0.18, 0.18]),
    loads: [B, C].map((id) => [id, [STREAM]]),
  });
  expect(firstPlace(home, { spareMs: 100 })).not.toBe(A);
  expect(firstPlace(home, { spareMs: 800 })).toBe(A);
});

test("Requests of VMs of an earlier build, without events, are placed by load", () => {
  const home = new PlacementHome();
  report(home, {
    speeds: speedsOf("decode", [0.02, 0.18, 0.18]),
    loads: [B, C].map((id) => [id, [STREAM]]),
  });
  expect(firstPlace(home, { events: undefined })).toBe(A);
});

test("With equal speeds, within measurement noise, all answers are as without measurements", () => {
  const homes = [new PlacementHome(), new PlacementHome()];
  const answers = homes.map((home, index) => {
    const speeds = index === 0 ? undefined : [
      ...speedsOf("decode", [0.18, 0.17, 0.2]),
      ...speedsOf("prefill", [30, 33, 27]),
    ];
    return Array.from({ length: 8 }, (_, n) => {
      report(home, { speeds, loads: [[A, [STREAM]]] });
      return [
        home.place(placeRequest({ attempt: asId(`stream-${n}`) })),
        home.choosePrefill(ENGINES, { readMs: 90, extraMs: () => 0 }),
      ];
    });
  });
  expect(answers[1]).toEqual(answers[0]);
});

test("A slow prefill engine gets as many prompts as it can read in the same time", () => {
  const home = new PlacementHome();
  report(home, { speeds: speedsOf("prefill", [10, 30, 30]) });
  const chosen = Array.from(
    { length: 70 },
    () => home.choosePrefill(ENGINES, { readMs: 100, extraMs: () => 0 })!,
  );
  const ofA = chosen.filter(({ engine }) => engine === A).length;
  expect(ofA).toBe(10);
});

test("A prefill engine that was slow gets prompts like the others after some seconds", () => {
  const home = new PlacementHome();
  report(home, { speeds: speedsOf("prefill", [10, 30, 30]) });
  vi.advanceTimersByTime(3_001);
  const chosen = Array.from(
    { length: 30 },
    () => home.choosePrefill(ENGINES, { readMs: 100, extraMs: () => 0 })!,
  );
  expect(chosen.filter(({ engine }) => engine === A)).toHaveLength(10);
});
