/** Formats records as a text table with one line for all seeds of a policy, load and fault. */
import { mean, sampleStandardDeviation } from "simple-statistics";
import type { ExperimentRecord } from "./measure.ts";

const HEADER = [
  "policy".padEnd(20),
  "load",
  "faults".padEnd(17),
  "goodput      ",
  "ceiling",
  "wasted       ",
  "cancelled",
  "first p50/p95/p99 ms",
  "gap p95",
  "refused",
].join("  ");

/** Groups records by policy, load and fault. */
export function groupBySetting(
  records: readonly ExperimentRecord[],
): ExperimentRecord[][] {
  const groups = new Map<string, ExperimentRecord[]>();
  for (const record of records) {
    const key = `${record.policy}\n${record.load}\n${record.faults}`;
    const group = groups.get(key);
    if (group) group.push(record);
    else groups.set(key, [record]);
  }
  return [...groups.values()];
}

/** Formats records as a table; shares are shown as mean and standard deviation over the seeds. */
export function formatTable(records: readonly ExperimentRecord[]): string {
  return [HEADER, ...groupBySetting(records).map(formatLine)].join("\n");
}

function formatLine(group: readonly ExperimentRecord[]): string {
  const [first] = group;
  const pick = (field: (record: ExperimentRecord) => number) =>
    group.map(field);
  const firstTokens = [
    mean(pick((record) => record.firstTokenP50Ms)),
    mean(pick((record) => record.firstTokenP95Ms)),
    mean(pick((record) => record.firstTokenP99Ms)),
  ].map((ms) => ms.toFixed(0)).join("/");
  return [
    first!.policy.padEnd(20),
    first!.load.toFixed(1).padEnd(4),
    first!.faults.padEnd(17),
    formatSpread(pick((record) => record.goodput)),
    mean(pick((record) => record.ceiling)).toFixed(3).padEnd(7),
    formatSpread(pick((record) => record.wastedPrefillShare)),
    mean(pick((record) => record.cancelledPrefillShare)).toFixed(4).padEnd(9),
    firstTokens.padEnd(20),
    mean(pick((record) => record.betweenTokensP95Ms)).toFixed(1).padEnd(7),
    meanShare(group, (record) => record.refused).toFixed(3),
  ].join("  ");
}

function formatSpread(values: readonly number[]): string {
  const deviation = values.length > 1
    ? sampleStandardDeviation([...values])
    : 0;
  return `${mean([...values]).toFixed(3)} ±${deviation.toFixed(3)}`.padEnd(13);
}

function meanShare(
  group: readonly ExperimentRecord[],
  field: (record: ExperimentRecord) => number,
): number {
  return mean(group.map((record) => field(record) / record.offered));
}
