/** Parses log lines of key=value pairs. */

/** A parsed log line. */
export interface LogRecord {
  /** When it was written, by the clock of its VM, in ISO 8601. */
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  /** The other key-value pairs, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>;
}

/** A name and a value; a value that is not plain is a quoted JSON string. */
const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;
const HIDDEN_FIELDS = new Set(["time", "level", "vm", "event"]);

/** Parses a line and ignores any prefix before `time=`; null if it is no record. */
export function parseRecord(line: string): LogRecord | null {
  const timeIndex = line.indexOf("time=");
  if (timeIndex < 0) return null;
  const pairs = new Map<string, string>();
  for (const [, key, value] of line.slice(timeIndex).matchAll(PAIR)) {
    pairs.set(key!, unquote(value!));
  }
  const [time, vm, event] = ["time", "vm", "event"].map((key) =>
    pairs.get(key)
  );
  if (!time || !vm || !event) return null;
  for (const key of HIDDEN_FIELDS) pairs.delete(key);
  return { time, vm, event, fields: pairs };
}

/** Formats the fields of a record as in the log. */
export function formatFields(record: LogRecord): string {
  return [...record.fields]
    .map(([key, value]) => `${key}=${quote(value)}`)
    .join(" ");
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // The line was cut off in the middle of a value.
    return value;
  }
}

function quote(value: string): string {
  return /^\S*$/.test(value) ? value : JSON.stringify(value);
}
