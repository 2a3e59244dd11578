/** Reads log lines of key=value pairs back into records. */

/** One line of a log. */
export interface LogRecord {
  /** When it was written, by the clock of its VM. */
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  /** The other pairs, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>;
}

/** A name, and a value that is quoted as a JSON string where it isn't plain. */
const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;
const HIDDEN_FIELDS = new Set(["time", "level", "vm", "event"]);

/** Reads one line; null where it is no record. Whatever stands before its time is left out. */
export function parseRecord(line: string): LogRecord | null {
  const startsAt = line.indexOf("time=");
  if (startsAt < 0) return null;
  const pairs = new Map<string, string>();
  for (const [, key, value] of line.slice(startsAt).matchAll(PAIR)) {
    pairs.set(key!, unquote(value!));
  }
  const [time, vm, event] = ["time", "vm", "event"].map((key) =>
    pairs.get(key)
  );
  if (!time || !vm || !event) return null;
  for (const key of HIDDEN_FIELDS) pairs.delete(key);
  return { time, vm, event, fields: pairs };
}

/** Writes the fields of a record as they stand in the log. */
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
    // A line that was cut off in the middle of a value.
    return value;
  }
}

function quote(value: string): string {
  return /^\S*$/.test(value) ? value : JSON.stringify(value);
}
