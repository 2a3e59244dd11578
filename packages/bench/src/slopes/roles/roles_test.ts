import { expect, test } from "vitest";
import { DERIVED, TARGET_SIZE } from "../target_size.ts";
import { figuresTable, formatNumber, verdictOf } from "../print.ts";
import type { Slope } from "../types.ts";
import { capacityFigures } from "./mod.ts";

function slope(
  name: string,
  line: { slope: number; intercept: number },
): Slope {
  const fit = { ...line, rSquared: 1, residual: 0, points: [] };
  return { name, unit: "bytes", per: "thing", method: "a test", ...fit };
}

test("The load of each VM is derived from the target size", () => {
  expect(DERIVED.requestsPerVm).toBe(5.5);
  expect(DERIVED.tokensPerVm).toBe(2_750);
  expect(DERIVED.secondsInFlight).toBeCloseTo(14.61);
  expect(Math.round(DERIVED.promptTokens)).toBe(3_030);
});

test("The prober's bytes are two probes plus its share of the VM list", () => {
  const figures = capacityFigures([
    slope("wire-probe", { slope: 0, intercept: 500 }),
    slope("wire-vm-list", { slope: 100, intercept: 0 }),
    slope("wire-probe-news", { slope: 100, intercept: 500 }),
  ]);
  const prober = figures.filter(({ role }) => role === "Prober");
  expect(prober.map(({ value }) => value)).toEqual([1_100, 2_700, 4]);
  expect(prober.map(verdictOf)).toEqual(["yes", "**no, 1.32 times**", ""]);
});

test("Figures that use unmeasured slopes are left out; the others are kept", () => {
  const figures = capacityFigures([]);
  expect(figures.every(({ value }) => Number.isFinite(value))).toBe(true);
  expect(figures.map(({ label }) => label)).toContain("head polls");
  expect(figures.find(({ label }) => label === "head polls")?.value)
    .toBe(TARGET_SIZE.vms);
});

test("Figure tables contain formula, value, budget and verdict", () => {
  const table = figuresTable([{
    role: "Prober",
    label: "bytes",
    formula: "a × b",
    value: 3_000,
    unit: "bytes/s",
    budget: 2_000,
  }]);
  expect(table).toContain(
    "| bytes | a × b | 3,000 bytes/s | 2,000 bytes/s | **no, 1.5 times** |",
  );
});

test("Numbers are formatted with three significant digits", () => {
  expect([0, 0.01234, 1.2345, 123.45, 12_345].map(formatNumber)).toEqual([
    "0",
    "0.0123",
    "1.23",
    "123",
    "12,300",
  ]);
});
