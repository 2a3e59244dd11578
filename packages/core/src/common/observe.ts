/** Log events and counters of a VM. */

/** The value of one log field. */
export type LogValue = string | number | boolean | undefined;

/** One event, logged as one line of key=value pairs. */
export interface LogEvent {
  readonly event: string;
  readonly level?: "debug" | "info" | "warn" | "error";
  readonly [field: string]: LogValue;
}

/** Names of the counters that the daemon exports. */
export type CounterName =
  | "refusals"
  | "retries"
  | "stale_answers"
  | "cancels"
  | "claims"
  | "store_failures"
  | "prefills_wasted"
  | "late_streams"
  | "call_waits"
  | "configuration_changes"
  | "suspicions"
  | "convictions"
  | "vm_states"
  | "orders"
  | "broken_streams"
  | "stream_overruns"
  | "ejections"
  | "link_changes"
  | "listener_errors"
  | "memory_warnings"
  | "connection_faults"
  | "forwards"
  | "table_waits"
  | "store_calls"
  | "store_returns"
  | "quota_credit"
  | "shard_choices";

/** Receives log events and counts. Both methods are cheap and never throw. */
export interface Observer {
  log(event: LogEvent): void;
  /** Adds one to a counter, under the given reason. */
  count(counter: CounterName, reason: string): void;
}

/** An observer that discards everything. */
export const SILENT_OBSERVER: Observer = {
  log() {},
  count() {},
};
