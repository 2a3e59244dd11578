/** Writes lines to a file descriptor without blocking on a slow reader. */
import process from "node:process";
import { SonicBoom } from "sonic-boom";

/** Buffer for lines that are not written yet; holds about ten seconds of a busy VM. */
const BUFFER_BYTES = 1_048_576;
/** Buffered lines are written once they reach this size, or after the flush interval. */
const BATCH_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;
/** Minimum interval between reports of dropped lines. */
const DROP_REPORT_INTERVAL_MS = 1_000;

/** Options of {@link createBoundedOutput}. */
export interface BoundedOutputOptions {
  /** A file descriptor; standard output by default. */
  descriptor?: number;
  bufferBytes?: number;
  /** Called with the number of lines dropped since the last call. */
  onDropped: (lines: number) => void;
}

/** A destination for log lines. */
export interface LineOutput {
  write(line: string): void;
  /** Writes all buffered lines synchronously; for the end of the process. */
  flush(): void;
}

/** Creates an output that drops and counts lines instead of blocking. */
export function createBoundedOutput(options: BoundedOutputOptions): LineOutput {
  const stream = new SonicBoom({
    fd: options.descriptor ?? process.stdout.fd,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: options.bufferBytes ?? BUFFER_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  let droppedLines = 0;
  let reportTimer: ReturnType<typeof setTimeout> | undefined;
  stream.on("drop", () => {
    droppedLines += 1;
    reportTimer ??= setTimeout(() => {
      const lines = droppedLines;
      droppedLines = 0;
      reportTimer = undefined;
      options.onDropped(lines);
    }, DROP_REPORT_INTERVAL_MS).unref();
  });
  // Without a listener, the error of a closed reader would end the process.
  stream.on("error", () => {});
  return {
    write: (line) => void stream.write(line),
    flush() {
      try {
        stream.flushSync();
      } catch {
        // The reader is closed, so the error cannot be reported either.
      }
    },
  };
}
