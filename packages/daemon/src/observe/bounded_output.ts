/** Writes lines without ever waiting for who reads them. */
import process from "node:process";
import { SonicBoom } from "sonic-boom";

/** Lines that wait for their reader; about ten seconds of a busy VM. */
const BUFFER_BYTES = 1_048_576;
/** Lines are written together once so many bytes wait, or after the interval. */
const BATCH_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;
/** How often dropped lines are told at most. */
const REPORT_INTERVAL_MS = 1_000;

/** Options of {@link createBoundedOutput}. */
export interface BoundedOutputOptions {
  /** A file descriptor; standard output by default. */
  descriptor?: number;
  bufferBytes?: number;
  /** Told how many lines were dropped since it was last called. */
  onDropped: (lines: number) => void;
}

/** Where lines go. */
export interface LineOutput {
  write(line: string): void;
  /** Writes what is left; for the end of the process. */
  flush(): void;
}

/** Creates an output that drops lines rather than wait, and counts them. */
export function createBoundedOutput(options: BoundedOutputOptions): LineOutput {
  const boom = new SonicBoom({
    fd: options.descriptor ?? process.stdout.fd,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: options.bufferBytes ?? BUFFER_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  let dropped = 0;
  let reportTimer: ReturnType<typeof setTimeout> | undefined;
  boom.on("drop", () => {
    dropped += 1;
    reportTimer ??= setTimeout(() => {
      const lines = dropped;
      dropped = 0;
      reportTimer = undefined;
      options.onDropped(lines);
    }, REPORT_INTERVAL_MS).unref();
  });
  // A reader that went away is no reason to end.
  boom.on("error", () => {});
  return {
    write: (line) => void boom.write(line),
    flush() {
      try {
        boom.flushSync();
      } catch {
        // Nobody reads; there is nowhere to say so.
      }
    },
  };
}
