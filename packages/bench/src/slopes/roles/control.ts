/** Figures of what every VM does whatever is asked of it. */
import { BUDGET, TARGET_SIZE } from "../target_size.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const DAY_SECONDS = 86_400;
const VMS = TARGET_SIZE.vms;
const CORE_MICROS = BUDGET.controlCoreShare * 1_000_000;
const ADOPTION_MS = TARGET_SIZE.activationMs;
const PER_SECOND = "bytes/s";
const MICROS = "µs/s";

/** Seconds between two reads of the platform's list. */
export const LIST_INTERVAL_SECONDS = VMS * RATES.listBytesPerVm /
  RATES.listBytesPerSecond;

/** Control on every VM, all parts together. */
export function controlFigures(read: SlopeReader): RoleFigure[] {
  const parts = [
    proberBytes(read),
    headBytes(read),
    changeBytes(read),
    quarantineBytes(read),
  ];
  const bytes = parts.reduce((sum, part) => sum + part, 0);
  const time = proberMicros(read) + headMicros(read) + changeMicros(read) +
    reportHomesMicros(read);
  const resident = read.valueAt("process-memory", TARGET_SIZE.workspaces) +
    VMS * read.slopeOf("state-vm") +
    TARGET_SIZE.models * read.slopeOf("state-model");
  const bare = read.valueAt("process-bare-memory", 3);
  return [
    {
      label: "bytes, both directions",
      formula: "prober + head polls + changes + scans of convictions",
      value: bytes,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "processor time by hot slopes",
      formula: "prober + head polls + changes + `time-report-homes`",
      value: time,
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      label: "of it: finding the shards whose reports to poll",
      formula: `\`time-report-homes\` at ${VMS} VMs, each second`,
      value: reportHomesMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      label: "processor time of an idle daemon, 3 VMs, as measured",
      formula: "`process-idle-time`",
      value: read.slopeOf("process-idle-time"),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      label: "resident memory of the whole process",
      formula:
        `\`process-memory\` at ${TARGET_SIZE.workspaces} workspaces + ${VMS} × \`state-vm\` + ${TARGET_SIZE.models} × \`state-model\``,
      value: resident / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      label: "resident memory that control adds to a bare node process",
      formula: "the same less `process-bare-memory`",
      value: (resident - bare) / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** The prober: one probe sent and one answered each second. */
export function proberFigures(read: SlopeReader): RoleFigure[] {
  const newsItems = RATES.gossipLimitBytes / read.slopeOf("wire-probe-news");
  return [
    {
      label: "bytes, views that agree",
      formula:
        `2 × \`wire-probe\` + ${VMS} × \`wire-vm-list\` every ${LIST_INTERVAL_SECONDS} s`,
      value: proberBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "bytes while news spreads, at most",
      formula: `the same + 2 × 2 × ${RATES.gossipLimitBytes} bytes of news`,
      value: proberBytes(read) + 4 * RATES.gossipLimitBytes,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "news items on a message, at most",
      formula: `${RATES.gossipLimitBytes} / \`wire-probe-news\``,
      value: newsItems,
      unit: "items",
    },
    {
      label: "processor time",
      formula:
        "`process-call-sent` + `process-call-answered` + 2 × `time-probe-answer`",
      value: proberMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      label: "state",
      formula: `${VMS} × \`state-vm\``,
      value: VMS * read.slopeOf("state-vm") / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** The configuration in force at a VM. */
export function configurationFigures(read: SlopeReader): RoleFigure[] {
  const { workspaces, models, changesPerDay } = TARGET_SIZE;
  const state = workspaces * read.slopeOf("state-workspace") +
    models * read.slopeOf("state-model") +
    RATES.changesKept * read.slopeOf("state-change");
  const adopt = read.valueAt("time-adopt-change", workspaces);
  const snapshot = read.valueAt("wire-snapshot", workspaces);
  return [
    {
      label: "state",
      formula:
        `${workspaces} × \`state-workspace\` + ${models} × \`state-model\` + ${RATES.changesKept} × \`state-change\``,
      value: state / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      label: "bytes of head polls",
      formula: "`wire-head-poll`",
      value: headBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "bytes of changes by difference, mean of a day",
      formula:
        `${changesPerDay} × (\`wire-change\` at 1 + 8 × \`wire-notice\`) / day`,
      value: changeBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "the same by snapshots, which differences replaced",
      formula: `${changesPerDay} × \`wire-snapshot\` at ${workspaces} / day`,
      value: changesPerDay * snapshot / DAY_SECONDS,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "processor time of changes, mean of a day",
      formula:
        `${changesPerDay} × \`time-adopt-change\` at ${workspaces} / day`,
      value: changeMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      label: "pause of the event loop at each change",
      formula: `\`time-adopt-change\` at ${workspaces}`,
      value: adopt / 1_000,
      unit: "ms",
      budget: TARGET_SIZE.betweenTokensMs,
    },
    {
      label: "time until a change is in force on a VM that reads the head",
      formula:
        `1 s between polls + 2 × ${ASSUMED.platformMs} ms + \`time-adopt-change\``,
      value: 1_000 + 2 * ASSUMED.platformMs + adopt / 1_000,
      unit: "ms",
      budget: ADOPTION_MS,
    },
  ];
}

function proberBytes(read: SlopeReader): number {
  const probes = 2 * RATES.probesPerSecond * read.valueAt("wire-probe", VMS);
  return probes + read.valueAt("wire-vm-list", VMS) / LIST_INTERVAL_SECONDS;
}

function headBytes(read: SlopeReader): number {
  return RATES.headPollsPerSecond * read.slopeOf("wire-head-poll");
}

function changeBytes(read: SlopeReader): number {
  const notices = 2 * RATES.notifiedPeers * read.slopeOf("wire-notice");
  const one = read.valueAt("wire-change", 1) + notices;
  return TARGET_SIZE.changesPerDay * one / DAY_SECONDS;
}

function quarantineBytes(read: SlopeReader): number {
  return read.valueAt("wire-convictions", ASSUMED.quarantines) /
    RATES.quarantineScanSeconds;
}

function proberMicros(read: SlopeReader): number {
  return RATES.probesPerSecond *
    (read.slopeOf("process-call-sent") + read.slopeOf("process-call-answered") +
      2 * read.valueAt("time-probe-answer", VMS));
}

function headMicros(read: SlopeReader): number {
  return RATES.headPollsPerSecond * read.slopeOf("process-call-sent");
}

function changeMicros(read: SlopeReader): number {
  const adopt = read.valueAt("time-adopt-change", TARGET_SIZE.workspaces);
  return TARGET_SIZE.changesPerDay * adopt / DAY_SECONDS;
}

function reportHomesMicros(read: SlopeReader): number {
  return RATES.reportHomeLookupsPerSecond *
    read.valueAt("time-report-homes", VMS);
}
