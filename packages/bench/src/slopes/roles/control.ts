/** Figures of what every VM does whatever is asked of it. */
import { BUDGET, LETTER } from "../letter.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const DAY_SECONDS = 86_400;
const VMS = LETTER.nodes;
const CORE_MICROS = BUDGET.controlCoreShare * 1_000_000;
const ADOPTION_MS = LETTER.adoptionMs;
const PER_SECOND = "bytes/s";
const MICROS = "µs/s";

/** Seconds between two reads of the platform's list. */
export const LIST_SECONDS = VMS * RATES.listBytesPerVm /
  RATES.listBytesPerSecond;

/** Control on every VM, all parts together. */
export function controlFigures(read: SlopeReader): RoleFigure[] {
  const parts = [
    proberBytes(read),
    headBytes(read),
    changeBytes(read),
    convictionBytes(read),
  ];
  const bytes = parts.reduce((sum, part) => sum + part, 0);
  const time = proberMicros(read) + headMicros(read) + changeMicros(read) +
    homesMicros(read);
  const resident = read.at("process-memory", LETTER.workspaces) +
    VMS * read.each("state-vm") + LETTER.models * read.each("state-model");
  const bare = read.at("process-bare-memory", 3);
  return [
    {
      what: "bytes, both directions",
      formula: "prober + head polls + changes + scans of convictions",
      value: bytes,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "processor time by hot slopes",
      formula: "prober + head polls + changes + `time-report-homes`",
      value: time,
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      what: "of it: finding the shards whose reports to poll",
      formula: `\`time-report-homes\` at ${VMS} VMs, each second`,
      value: homesMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      what: "processor time of an idle daemon, 3 VMs, as measured",
      formula: "`process-idle-time`",
      value: read.each("process-idle-time"),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      what: "resident memory of the whole process",
      formula:
        `\`process-memory\` at ${LETTER.workspaces} workspaces + ${VMS} × \`state-vm\` + ${LETTER.models} × \`state-model\``,
      value: resident / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      what: "resident memory that control adds to a bare node process",
      formula: "the same less `process-bare-memory`",
      value: (resident - bare) / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** The prober: one probe sent and one answered each second. */
export function proberFigures(read: SlopeReader): RoleFigure[] {
  const newsItems = RATES.newsLimitBytes / read.each("wire-probe-news");
  return [
    {
      what: "bytes, views that agree",
      formula:
        `2 × \`wire-probe\` + ${VMS} × \`wire-vm-list\` every ${LIST_SECONDS} s`,
      value: proberBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "bytes while news spreads, at most",
      formula: `the same + 2 × 2 × ${RATES.newsLimitBytes} bytes of news`,
      value: proberBytes(read) + 4 * RATES.newsLimitBytes,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "news items on a message, at most",
      formula: `${RATES.newsLimitBytes} / \`wire-probe-news\``,
      value: newsItems,
      unit: "items",
    },
    {
      what: "processor time",
      formula:
        "`process-call-sent` + `process-call-answered` + 2 × `time-probe-answer`",
      value: proberMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      what: "state",
      formula: `${VMS} × \`state-vm\``,
      value: VMS * read.each("state-vm") / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
  ];
}

/** The configuration in force at a VM. */
export function configurationFigures(read: SlopeReader): RoleFigure[] {
  const { workspaces, models, changesPerDay } = LETTER;
  const state = workspaces * read.each("state-workspace") +
    models * read.each("state-model") +
    RATES.changesKept * read.each("state-change");
  const adopt = read.at("time-adopt-change", workspaces);
  const snapshot = read.at("wire-snapshot", workspaces);
  return [
    {
      what: "state",
      formula:
        `${workspaces} × \`state-workspace\` + ${models} × \`state-model\` + ${RATES.changesKept} × \`state-change\``,
      value: state / 1_048_576,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / 1_048_576,
    },
    {
      what: "bytes of head polls",
      formula: "`wire-head-poll`",
      value: headBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "bytes of changes by difference, mean of a day",
      formula:
        `${changesPerDay} × (\`wire-change\` at 1 + 8 × \`wire-notice\`) / day`,
      value: changeBytes(read),
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "the same by snapshots, which differences replaced",
      formula: `${changesPerDay} × \`wire-snapshot\` at ${workspaces} / day`,
      value: changesPerDay * snapshot / DAY_SECONDS,
      unit: PER_SECOND,
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "processor time of changes, mean of a day",
      formula:
        `${changesPerDay} × \`time-adopt-change\` at ${workspaces} / day`,
      value: changeMicros(read),
      unit: MICROS,
      budget: CORE_MICROS,
    },
    {
      what: "pause of the event loop at each change",
      formula: `\`time-adopt-change\` at ${workspaces}`,
      value: adopt / 1_000,
      unit: "ms",
      budget: LETTER.betweenTokensMs,
    },
    {
      what: "time until a change is in force on a VM that reads the head",
      formula:
        `1 s between polls + 2 × ${ASSUMED.platformMs} ms + \`time-adopt-change\``,
      value: 1_000 + 2 * ASSUMED.platformMs + adopt / 1_000,
      unit: "ms",
      budget: ADOPTION_MS,
    },
  ];
}

function proberBytes(read: SlopeReader): number {
  const probes = 2 * RATES.probesPerSecond * read.at("wire-probe", VMS);
  return probes + read.at("wire-vm-list", VMS) / LIST_SECONDS;
}

function headBytes(read: SlopeReader): number {
  return RATES.headPollsPerSecond * read.each("wire-head-poll");
}

function changeBytes(read: SlopeReader): number {
  const notices = 2 * RATES.noticedPeers * read.each("wire-notice");
  const one = read.at("wire-change", 1) + notices;
  return LETTER.changesPerDay * one / DAY_SECONDS;
}

function convictionBytes(read: SlopeReader): number {
  return read.at("wire-convictions", ASSUMED.convictions) /
    RATES.convictionScanSeconds;
}

function proberMicros(read: SlopeReader): number {
  return RATES.probesPerSecond *
    (read.each("process-call-sent") + read.each("process-call-answered") +
      2 * read.at("time-probe-answer", VMS));
}

function headMicros(read: SlopeReader): number {
  return RATES.headPollsPerSecond * read.each("process-call-sent");
}

function changeMicros(read: SlopeReader): number {
  const adopt = read.at("time-adopt-change", LETTER.workspaces);
  return LETTER.changesPerDay * adopt / DAY_SECONDS;
}

function homesMicros(read: SlopeReader): number {
  return RATES.reportHomesPerSecond * read.at("time-report-homes", VMS);
}
