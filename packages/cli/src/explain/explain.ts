/** Collects the log lines of one request from several VMs and explains its outcome. */
import { formatFields, type LogRecord } from "./records.ts";
import { describeReason } from "./reasons.ts";

/** Related events are shown this long before the first and after the last line. */
const CONTEXT_WINDOW_MS = 10_000;
const MAX_CONTEXT_RECORDS = 20;
/** Log fields that name an endpoint. */
const ENDPOINT_FIELDS = ["endpoint", "prefill"];
/** The event that a VM logs when a request ends. */
const END_EVENT = "request";
/** Log fields that may contain the id of a request or of an attempt. */
const ID_FIELDS = ["attempt", "request", "key"];
/** Events that affect all requests of a VM. */
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

/** The log lines of one request and what they say about its outcome. */
export interface Explanation {
  readonly id: string;
  /** Lines whose attempt, request or key is the id, by time. */
  readonly lines: readonly LogRecord[];
  /** Events of its endpoints and VMs at about the same time, by time. */
  readonly around: readonly LogRecord[];
  /** How it ended, as the predicate of a sentence. */
  readonly outcome: string;
  /** The last line before the one that reports the end, or null. */
  readonly deciding: LogRecord | null;
}

/**
 * Explains a request from the records of any VMs, in any order. Returns null if
 * no record has the id as its attempt, request or key.
 */
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

/** Formats an explanation as lines for the terminal. */
export function formatExplanation(explanation: Explanation): string[] {
  const { id, outcome, deciding, lines, around } = explanation;
  const decided = deciding
    ? `Decided by ${deciding.event} at ${deciding.vm}: ${
      formatFields(deciding)
    }`
    : "No earlier line explains its end.";
  return [
    `Request ${id} ${outcome}.`,
    decided,
    "",
    ...lines.map(formatRecord),
    ...(around.length > 0
      ? [
        "",
        "Related events at its VMs and endpoints:",
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
    return "has no last line: it is still running, or its VM or the line was lost";
  }
  const { fields } = end;
  const duration = `after ${fields.get("durationMs") ?? "?"} ms`;
  const reason = fields.get("reason");
  if (!reason) {
    return `was answered with status ${fields.get("status")} ${duration}`;
  }
  const ending = fields.get("end") === "broken"
    ? `was cut off ${duration}`
    : `was refused with status ${fields.get("status")} ${duration}`;
  return `${ending}: ${describeReason(reason)} (${reason}), ${
    describeVerdict(fields.get("verdict"))
  }`;
}

function describeVerdict(verdict: string | undefined): string {
  if (verdict === "notRun") return "and did not run";
  return "and may have run, partly or fully";
}

function findContext(
  records: readonly LogRecord[],
  lines: readonly LogRecord[],
): LogRecord[] {
  const vms = new Set(lines.map(({ vm }) => vm));
  const endpoints = new Set(lines.flatMap(endpointsOf));
  const fromMs = Date.parse(lines[0]!.time) - CONTEXT_WINDOW_MS;
  const toMs = Date.parse(lines.at(-1)!.time) + CONTEXT_WINDOW_MS;
  const related = records.filter((record) => {
    const atMs = Date.parse(record.time);
    if (atMs < fromMs || atMs > toMs || !vms.has(record.vm)) return false;
    if (VM_EVENTS.has(record.event)) return true;
    if (ID_FIELDS.some((field) => record.fields.has(field))) return false;
    return endpointsOf(record).some((endpoint) => endpoints.has(endpoint));
  });
  return sortByTime(related).slice(-MAX_CONTEXT_RECORDS);
}

function endpointsOf({ fields }: LogRecord): string[] {
  return ENDPOINT_FIELDS.flatMap((field) => fields.get(field) ?? []);
}

function sortByTime(records: readonly LogRecord[]): LogRecord[] {
  return records.toSorted((a, b) => a.time < b.time ? -1 : 1);
}
