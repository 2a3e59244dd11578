/** Faults that an experiment switches in the middle of its measured time. */
import type { ExperimentHarness } from "./rig.ts";

/** Names of the faults. */
export const FAULT_NAMES = [
  "none",
  "decode-crash",
  "vm-kill",
  "stalled-transfers",
  "late-reports",
  "burst",
] as const;

/** Name of a fault. */
export type FaultName = (typeof FAULT_NAMES)[number];

const CRASH_MS = 10_000;
const STALL_MS = 3_000;
const LATE_MS = 10_000;

/** How many times the usual rate a burst brings, and for how long. */
export const SURGE = { factor: 2.5, lengthMs: 4_000 };

/** Switches a fault on, and off again later. A burst is part of the workload. */
export function injectFault(fault: FaultName, rig: ExperimentHarness): void {
  if (fault === "decode-crash") {
    const [engine] = rig.decodes;
    if (!engine) return;
    engine.crash();
    rig.timers.runDetached(() =>
      setTimeout(() => rig.restartEngine(engine.id), CRASH_MS)
    );
  }
  if (fault === "vm-kill") rig.killHomeVm();
  if (fault === "stalled-transfers") {
    const [engine] = rig.prefills;
    engine?.link.stall(true);
    rig.timers.runDetached(() =>
      setTimeout(() => engine?.link.stall(false), STALL_MS)
    );
  }
  if (fault === "late-reports") freezeReports(rig);
}

function freezeReports(rig: ExperimentHarness): void {
  const engines = [...rig.prefills, ...rig.decodes];
  for (const engine of engines) engine.freezeReports(true);
  rig.timers.runDetached(() =>
    setTimeout(() => {
      for (const engine of engines) engine.freezeReports(false);
    }, LATE_MS)
  );
}
