/** Logs exceptions within outgoing connections. */
import type { LogValue, Observer } from "@teaselvalve/core";

/** An exception, and the event or callback that threw it. */
export interface ThrownError {
  readonly error: unknown;
  readonly thrownIn: string;
}

/** Logs and counts an exception that has ended one exchange. `fields` say which. */
export function logConnectionFault(
  observer: Observer,
  { error, thrownIn }: ThrownError,
  fields: Record<string, LogValue>,
): void {
  observer.count("connection_faults", thrownIn);
  observer.log({
    event: "connection-fault",
    level: "error",
    ...fields,
    thrownIn,
    error: String(error),
    stack: error instanceof Error ? error.stack : undefined,
  });
}
