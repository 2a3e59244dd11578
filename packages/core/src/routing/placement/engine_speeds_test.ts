import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId, type VmId } from "../../common/ids.ts";
import { EngineSpeeds, type SpeedKind } from "./engine_speeds.ts";

const ENGINES = ["a", "b", "c", "d"].map((id) => asId<EndpointId>(id));
const [A, B] = ENGINES as [EndpointId, EndpointId];
const VMS = ["vm-1", "vm-2", "vm-3"].map((id) => asId<VmId>(id));

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function note(
  speeds: EngineSpeeds,
  values: readonly number[],
  { kind = "decode", vms = VMS }: { kind?: SpeedKind; vms?: VmId[] } = {},
): void {
  for (const vm of vms) {
    speeds.note(
      vm,
      values.map((speed, index) => ({
        engine: ENGINES[index]!,
        decode: null,
        prefill: null,
        [kind]: speed,
      })),
    );
  }
}

test("Engines whose speeds differ by measurement noise count as equally fast", () => {
  const speeds = new EngineSpeeds();
  note(speeds, [0.18, 0.16, 0.2, 0.19]);
  note(speeds, [30, 25, 33, 38], { kind: "prefill" });
  for (const kind of ["decode", "prefill"] as const) {
    const speedOf = speeds.relative(kind, ENGINES);
    expect(ENGINES.map(speedOf)).toEqual([1, 1, 1, 1]);
  }
});

test("A slow engine counts as slow for seconds only, so that it gets streams again", () => {
  const speeds = new EngineSpeeds();
  note(speeds, [0.08, 0.18, 0.18, 0.18]);
  expect(speeds.relative("decode", ENGINES)(A)).toBeCloseTo(0.44, 1);
  expect(speeds.relative("decode", ENGINES)(B)).toBe(1);
  vi.advanceTimersByTime(3_001);
  expect(speeds.relative("decode", ENGINES)(A)).toBe(1);
  expect(speeds.measured("decode", A)).toBeNull();
});

test("One VM whose measurements are wrong doesn't make an engine count as slow", () => {
  const speeds = new EngineSpeeds();
  note(speeds, [0.18, 0.18, 0.18, 0.18]);
  note(speeds, [0.01], { vms: [VMS[0]!] });
  expect(speeds.relative("decode", ENGINES)(A)).toBe(1);
});

test("Reports of VMs of an earlier build, and values that no engine can have, are left out", () => {
  const speeds = new EngineSpeeds();
  speeds.note(VMS[0]!, undefined);
  note(speeds, [NaN, -1, 0, Infinity]);
  expect(ENGINES.map((id) => speeds.measured("decode", id)))
    .toEqual([null, null, null, null]);
});

test("A single measured engine has none to be slower than", () => {
  const speeds = new EngineSpeeds();
  note(speeds, [0.01]);
  expect(speeds.relative("decode", ENGINES)(A)).toBe(1);
});
