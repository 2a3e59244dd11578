/** Faults that an experiment injects during its measured interval. */
import type { ExperimentHarness } from "./harness.ts";

/** Names of the faults, as the `--faults` flag takes them. */
export const FAULT_NAMES = [
  "none",
  "decode-crash",
  "vm-kill",
  "stalled-transfers",
  "late-reports",
  "burst",
] as const;

/** One of {@link FAULT_NAMES}. */
export type FaultName = (typeof FAULT_NAMES)[number];

const CRASH_DURATION_MS = 10_000;
const STALL_DURATION_MS = 3_000;
const FROZEN_REPORTS_MS = 10_000;

/** The `burst` fault: `factor` times the usual arrival rate for `lengthMs`. */
export const SURGE = { factor: 2.5, lengthMs: 4_000 };

/** Injects a fault and schedules its end, if any. The `burst` fault is part of the workload. */
export function injectFault(
  fault: FaultName,
  harness: ExperimentHarness,
): void {
  if (fault === "decode-crash") {
    const [engine] = harness.decodes;
    if (!engine) return;
    engine.crash();
    harness.timers.runDetached(() =>
      setTimeout(() => harness.restartEngine(engine.id), CRASH_DURATION_MS)
    );
  }
  if (fault === "vm-kill") harness.killHomeVm();
  if (fault === "stalled-transfers") {
    const [engine] = harness.prefills;
    engine?.link.stall(true);
    harness.timers.runDetached(() =>
      setTimeout(() => engine?.link.stall(false), STALL_DURATION_MS)
    );
  }
  if (fault === "late-reports") freezeReports(harness);
}

function freezeReports(harness: ExperimentHarness): void {
  const engines = [...harness.prefills, ...harness.decodes];
  for (const engine of engines) engine.freezeReports(true);
  harness.timers.runDetached(() =>
    setTimeout(() => {
      for (const engine of engines) engine.freezeReports(false);
    }, FROZEN_REPORTS_MS)
  );
}
