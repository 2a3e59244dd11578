/** Figures of the background work of every VM, independent of requests. */
import { BUDGET, TARGET_SIZE } from "../target_size.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const SECONDS_PER_DAY = 86_400;
const VMS = TARGET_SIZE.vms;
const CPU_BUDGET_MICROS = BUDGET.controlCoreShare * 1_000_000;
const ACTIVATION_MS = TARGET_SIZE.activationMs;
const BYTES_PER_SECOND = "bytes/s";
const MICROS_PER_SECOND = "µs/s";

/** Seconds between a VM's reads of the platform's list of VMs. */
export const LIST_INTERVAL_SECONDS = VMS * RATES.listBytesPerVm /
  RATES.listBytesPerSecond;

/** Control on every VM, all components together. */
export function controlFigures(reader: SlopeReader): RoleFigure[] {
  const componentBytes = [
    proberBytes(reader),
    headBytes(reader),
    changeBytes(reader),
    quarantineBytes(reader),
  ];
  const totalBytes = componentBytes.reduce((sum, bytes) => sum + bytes, 0);
  const cpuMicros = proberMicros(reader) + headMicros(reader) +
    changeMicros(reader) +
    reportHomesMicros(reader);
  const residentBytes =
    reader.valueAt("process-memory", TARGET_SIZE.workspaces) +
    VMS * reader.slopeOf("state-vm") +
    TARGET_SIZE.models * reader.slopeOf("state-model");
  // A daemon has three HTTP servers: for callers, operators and peers.
  const bareBytes = reader.valueAt("process-bare-memory", 3);
  return [
    {
      label: "bytes, both directions",
      formula: "prober + head polls + changes + scans of quarantines",
      value: totalBytes,
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "processor time, from slopes of warmed-up code",
      formula: "prober + head polls + changes + `time-report-homes`",
      value: cpuMicros,
      unit: MICROS_PER_SECOND,
      budget: CPU_BUDGET_MICROS,
    },
    {
      label: "of this: finding the shards whose reports to poll",
      formula: `\`time-report-homes\` at ${VMS} VMs, each second`,
      value: reportHomesMicros(reader),
      unit: MICROS_PER_SECOND,
      budget: CPU_BUDGET_MICROS,
    },
    {
      label: "processor time of an idle daemon, 3 VMs, as measured",
      formula: "`process-idle-time`",
      value: reader.slopeOf("process-idle-time"),
      unit: MICROS_PER_SECOND,
      budget: CPU_BUDGET_MICROS,
    },
    {
      label: "resident memory of the whole process",
      formula:
        `\`process-memory\` at ${TARGET_SIZE.workspaces} workspaces + ${VMS} × \`state-vm\` + ${TARGET_SIZE.models} × \`state-model\``,
      value: residentBytes / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      label: "resident memory that control adds to a bare Node.js process",
      formula: "the same less `process-bare-memory`",
      value: (residentBytes - bareBytes) / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** The prober: one probe sent and one answered each second. */
export function proberFigures(reader: SlopeReader): RoleFigure[] {
  const gossipItems = RATES.gossipLimitBytes /
    reader.slopeOf("wire-probe-news");
  return [
    {
      label: "bytes, identical views",
      formula:
        `2 × \`wire-probe\` + ${VMS} × \`wire-vm-list\` every ${LIST_INTERVAL_SECONDS} s`,
      value: proberBytes(reader),
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "maximum bytes while membership updates spread",
      formula: `the same + 2 × 2 × ${RATES.gossipLimitBytes} bytes of updates`,
      value: proberBytes(reader) + 4 * RATES.gossipLimitBytes,
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "maximum membership updates per message",
      formula: `${RATES.gossipLimitBytes} / \`wire-probe-news\``,
      value: gossipItems,
      unit: "items",
    },
    {
      label: "processor time",
      formula:
        "`process-call-sent` + `process-call-answered` + 2 × `time-probe-answer`",
      value: proberMicros(reader),
      unit: MICROS_PER_SECOND,
      budget: CPU_BUDGET_MICROS,
    },
    {
      label: "state",
      formula: `${VMS} × \`state-vm\``,
      value: VMS * reader.slopeOf("state-vm") / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** Storing, polling and activating configurations on a VM. */
export function configurationFigures(reader: SlopeReader): RoleFigure[] {
  const { workspaces, models, changesPerDay } = TARGET_SIZE;
  const stateBytes = workspaces * reader.slopeOf("state-workspace") +
    models * reader.slopeOf("state-model") +
    RATES.changesKept * reader.slopeOf("state-change");
  const activateMicros = reader.valueAt("time-adopt-change", workspaces);
  const snapshotBytes = reader.valueAt("wire-snapshot", workspaces);
  return [
    {
      label: "state",
      formula:
        `${workspaces} × \`state-workspace\` + ${models} × \`state-model\` + ${RATES.changesKept} × \`state-change\``,
      value: stateBytes / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      label: "bytes of head polls",
      formula: "`wire-head-poll`",
      value: headBytes(reader),
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "bytes of changes by difference, daily mean",
      formula:
        `${changesPerDay} × (\`wire-change\` at 1 + 8 × \`wire-notice\`) / day`,
      value: changeBytes(reader),
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "the same by snapshots, which differences replaced",
      formula: `${changesPerDay} × \`wire-snapshot\` at ${workspaces} / day`,
      value: changesPerDay * snapshotBytes / SECONDS_PER_DAY,
      unit: BYTES_PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "processor time of changes, daily mean",
      formula:
        `${changesPerDay} × \`time-adopt-change\` at ${workspaces} / day`,
      value: changeMicros(reader),
      unit: MICROS_PER_SECOND,
      budget: CPU_BUDGET_MICROS,
    },
    {
      label: "pause of the event loop at each change",
      formula: `\`time-adopt-change\` at ${workspaces}`,
      value: activateMicros / 1_000,
      unit: "ms",
      budget: TARGET_SIZE.betweenTokensMs,
    },
    {
      label: "time until a change is active on a VM that polls the head",
      formula:
        `1 s between polls + 2 × ${ASSUMED.platformMs} ms + \`time-adopt-change\``,
      value: 1_000 + 2 * ASSUMED.platformMs + activateMicros / 1_000,
      unit: "ms",
      budget: ACTIVATION_MS,
    },
  ];
}

function proberBytes(reader: SlopeReader): number {
  const probes = 2 * RATES.probesPerSecond * reader.valueAt("wire-probe", VMS);
  return probes + reader.valueAt("wire-vm-list", VMS) / LIST_INTERVAL_SECONDS;
}

function headBytes(reader: SlopeReader): number {
  return RATES.headPollsPerSecond * reader.slopeOf("wire-head-poll");
}

function changeBytes(reader: SlopeReader): number {
  const notices = 2 * RATES.notifiedPeers * reader.slopeOf("wire-notice");
  const bytesPerChange = reader.valueAt("wire-change", 1) + notices;
  return TARGET_SIZE.changesPerDay * bytesPerChange / SECONDS_PER_DAY;
}

function quarantineBytes(reader: SlopeReader): number {
  return reader.valueAt("wire-convictions", ASSUMED.quarantines) /
    RATES.quarantineScanSeconds;
}

function proberMicros(reader: SlopeReader): number {
  return RATES.probesPerSecond *
    (reader.slopeOf("process-call-sent") +
      reader.slopeOf("process-call-answered") +
      2 * reader.valueAt("time-probe-answer", VMS));
}

function headMicros(reader: SlopeReader): number {
  return RATES.headPollsPerSecond * reader.slopeOf("process-call-sent");
}

function changeMicros(reader: SlopeReader): number {
  const activateMicros = reader.valueAt(
    "time-adopt-change",
    TARGET_SIZE.workspaces,
  );
  return TARGET_SIZE.changesPerDay * activateMicros / SECONDS_PER_DAY;
}

function reportHomesMicros(reader: SlopeReader): number {
  return RATES.reportHomeLookupsPerSecond *
    reader.valueAt("time-report-homes", VMS);
}
