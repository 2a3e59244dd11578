/** Prints records as a table, the seeds of one setting in one line. */
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

/** Groups the records of one setting. */
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

/** Formats records; each share is the mean over seeds and its standard deviation. */
export function formatTable(records: readonly ExperimentRecord[]): string {
  return [HEADER, ...groupBySetting(records).map(formatLine)].join("\n");
}

function formatLine(group: readonly ExperimentRecord[]): string {
  const [first] = group;
  const of = (field: (one: ExperimentRecord) => number) => group.map(field);
  const firstTokens = [
    mean(of((one) => one.firstTokenP50Ms)),
    mean(of((one) => one.firstTokenP95Ms)),
    mean(of((one) => one.firstTokenP99Ms)),
  ].map((ms) => ms.toFixed(0)).join("/");
  return [
    first!.policy.padEnd(20),
    first!.load.toFixed(1).padEnd(4),
    first!.faults.padEnd(17),
    withSpread(of((one) => one.goodput)),
    mean(of((one) => one.ceiling)).toFixed(3).padEnd(7),
    withSpread(of((one) => one.wastedPrefillShare)),
    mean(of((one) => one.cancelledPrefillShare)).toFixed(4).padEnd(9),
    firstTokens.padEnd(20),
    mean(of((one) => one.betweenTokensP95Ms)).toFixed(1).padEnd(7),
    share(group, (one) => one.refused).toFixed(3),
  ].join("  ");
}

function withSpread(values: readonly number[]): string {
  const spread = values.length > 1 ? sampleStandardDeviation([...values]) : 0;
  return `${mean([...values]).toFixed(3)} ±${spread.toFixed(3)}`.padEnd(13);
}

function share(
  group: readonly ExperimentRecord[],
  field: (one: ExperimentRecord) => number,
): number {
  return mean(group.map((one) => field(one) / one.offered));
}
