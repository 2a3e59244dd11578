/** Finds what the logs of several VMs say of one request, and why it ended as it did. */
import { formatFields, type LogRecord } from "./records.ts";
import { describeReason } from "./reasons.ts";

/** How far around the request events of its endpoints and VMs are shown. */
const CONTEXT_WINDOW_MS = 10_000;
const MAX_CONTEXT_RECORDS = 20;
/** Fields that name what a line is about. */
const ENDPOINT_FIELDS = ["endpoint", "prefill"];
/** The last line of a request at a VM. */
const END_EVENT = "request";
/** Fields that may bear the id of a request or of one attempt. */
const ID_FIELDS = ["attempt", "request", "key"];
/** Events that bear on all requests of a VM. */
const VM_EVENTS = new Set([
  "endpoints-from-peer",
  "feed-restarted",
  "gateway-started",
  "log-lines-dropped",
  "planned-stop",
  "routing-table-in-force",
  "settings-reloaded",
  "store-lost",
  "store-regained",
]);

/** What is known of one request. */
export interface Explanation {
  readonly id: string;
  /** Lines that bear its id, by time. */
  readonly lines: readonly LogRecord[];
  /** Events near it that concern its endpoints and its VMs, by time. */
  readonly around: readonly LogRecord[];
  /** How it ended, in a sentence. */
  readonly outcome: string;
  /** What decided that: the last line before the end, or null. */
  readonly deciding: LogRecord | null;
}

/** Explains a request from the records of any VMs, in any order; null where none bears its id. */
export function explainRequest(
  records: readonly LogRecord[],
  id: string,
): Explanation | null {
  const lines = sortByTime(records.filter((record) => hasId(record, id)));
  if (lines.length === 0) return null;
  const end = lines.findLast(({ event }) => event === END_EVENT) ?? null;
  const deciding = lines.findLast((record) => record !== end) ?? null;
  return {
    id,
    lines,
    around: findContext(records, lines),
    outcome: describeOutcome(end),
    deciding,
  };
}

/** Gives the lines that tell people of a request. */
export function formatExplanation(explanation: Explanation): string[] {
  const { id, outcome, deciding, lines, around } = explanation;
  const decided = deciding
    ? `Decided by ${deciding.event} at ${deciding.vm}: ${
      formatFields(deciding)
    }`
    : "No line before its end says more.";
  return [
    `Request ${id} ${outcome}.`,
    decided,
    "",
    ...lines.map(formatRecord),
    ...(around.length > 0
      ? [
        "",
        "Around it, at its VMs and endpoints:",
        ...around.map(formatRecord),
      ]
      : []),
  ];
}

function formatRecord(record: LogRecord): string {
  const { time, vm, event } = record;
  return `${time} ${vm} ${event} ${formatFields(record)}`;
}

function hasId({ fields }: LogRecord, id: string): boolean {
  return ID_FIELDS.some((field) => fields.get(field) === id);
}

function describeOutcome(end: LogRecord | null): string {
  if (!end) {
    return "has no last line: it goes on, or its VM or the line was lost";
  }
  const { fields } = end;
  const took = `after ${fields.get("durationMs") ?? "?"} ms`;
  const reason = fields.get("reason");
  if (!reason) {
    return `was answered with status ${fields.get("status")} ${took}`;
  }
  const how = fields.get("end") === "broken"
    ? `was cut off ${took}`
    : `was refused with status ${fields.get("status")} ${took}`;
  return `${how}: ${describeReason(reason)} (${reason}), ${
    describeVerdict(fields.get("verdict"))
  }`;
}

function describeVerdict(verdict: string | undefined): string {
  if (verdict === "notRun") return "and did not run";
  return "and may have run, in part or whole";
}

function findContext(
  records: readonly LogRecord[],
  lines: readonly LogRecord[],
): LogRecord[] {
  const vms = new Set(lines.map(({ vm }) => vm));
  const endpoints = new Set(lines.flatMap(endpointsOf));
  const fromMs = Date.parse(lines[0]!.time) - CONTEXT_WINDOW_MS;
  const toMs = Date.parse(lines.at(-1)!.time) + CONTEXT_WINDOW_MS;
  const near = records.filter((record) => {
    const atMs = Date.parse(record.time);
    if (atMs < fromMs || atMs > toMs || !vms.has(record.vm)) return false;
    if (VM_EVENTS.has(record.event)) return true;
    if (ID_FIELDS.some((field) => record.fields.has(field))) return false;
    return endpointsOf(record).some((endpoint) => endpoints.has(endpoint));
  });
  return sortByTime(near).slice(-MAX_CONTEXT_RECORDS);
}

function endpointsOf({ fields }: LogRecord): string[] {
  return ENDPOINT_FIELDS.flatMap((field) => fields.get(field) ?? []);
}

function sortByTime(records: readonly LogRecord[]): LogRecord[] {
  return records.toSorted((a, b) => a.time < b.time ? -1 : 1);
}
