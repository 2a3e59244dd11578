/** Writes lines to a file descriptor without blocking on a slow reader. */
import { Buffer } from "node:buffer";
import { write as writeAsync, writeSync } from "node:fs";
import process from "node:process";

/** Buffer for lines that are not written yet; holds about ten seconds of a busy VM. */
const BUFFER_BYTES = 1_048_576;
/** Buffered lines are written once they reach this size, or after the flush interval. */
const BATCH_BYTES = 4_096;
const MAX_WRITE_BYTES = 16_384;
const FLUSH_INTERVAL_MS = 250;
/** Minimum interval between reports of dropped lines. */
const DROP_REPORT_INTERVAL_MS = 1_000;
const BUSY_WAIT_MS = 10;
const FLUSH_LIMIT_MS = 150;
const BUSY_CODES: ReadonlySet<unknown> = new Set(["EAGAIN", "EBUSY"]);

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
  /**
   * Writes all buffered lines synchronously, waits for a slow reader at most
   * `limitMs` (150 by default), and returns whether all were written.
   */
  flush(limitMs?: number): boolean;
}

/** Creates an output that drops and counts lines instead of blocking. */
export function createBoundedOutput(options: BoundedOutputOptions): LineOutput {
  return new BoundedOutput(options);
}

class BoundedOutput implements LineOutput {
  #options: BoundedOutputOptions;
  #descriptor: number;
  #lines: string[] = [];
  /** What remains of the lines that are being written. */
  #batch: Buffer = Buffer.alloc(0);
  #heldBytes = 0;
  #writing = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #droppedLines = 0;
  #reportTimer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: BoundedOutputOptions) {
    this.#options = options;
    this.#descriptor = options.descriptor ?? process.stdout.fd;
  }

  write(line: string): void {
    const sizeBytes = Buffer.byteLength(line);
    const { bufferBytes = BUFFER_BYTES } = this.#options;
    if (this.#heldBytes + sizeBytes > bufferBytes) return this.#drop();
    this.#lines.push(line);
    this.#heldBytes += sizeBytes;
    // While a batch waits for its reader, the timer tries again.
    if (this.#batch.length === 0 && this.#heldBytes >= BATCH_BYTES) {
      this.#writeBatch();
    } else this.#writeLater();
  }

  flush(limitMs = FLUSH_LIMIT_MS): boolean {
    let waitsLeft = limitMs / BUSY_WAIT_MS;
    if (this.#writing) {
      if (limitMs === 0) return false;
      // Its result can't be awaited here; another thread carries it out.
      this.#batch = Buffer.alloc(0);
      sleep(BUSY_WAIT_MS);
    }
    for (;;) {
      this.#fillBatch(Infinity);
      if (this.#batch.length === 0) return true;
      try {
        this.#take(writeSync(this.#descriptor, this.#batch));
      } catch (error) {
        waitsLeft -= 1;
        if (!isBusy(error) || waitsLeft < 0) return false;
        sleep(BUSY_WAIT_MS);
      }
    }
  }

  #writeLater(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#writeBatch();
    }, FLUSH_INTERVAL_MS).unref();
  }

  #writeBatch(): void {
    if (this.#writing) return;
    this.#fillBatch(MAX_WRITE_BYTES);
    if (this.#batch.length === 0) return;
    this.#writing = true;
    writeAsync(this.#descriptor, this.#batch, (error, writtenBytes) => {
      this.#writing = false;
      if (!error) {
        this.#take(writtenBytes);
        return this.#writeBatch();
      }
      // A reader that is gone doesn't come back.
      if (!isBusy(error)) this.#take(this.#batch.length);
      if (this.#heldBytes > 0) this.#writeLater();
    });
  }

  #fillBatch(maxBytes: number): void {
    if (this.#batch.length > 0) return;
    let sizeBytes = 0;
    const count = this.#lines.findIndex((line) =>
      (sizeBytes += Buffer.byteLength(line)) > maxBytes
    );
    const lines = count < 0
      ? this.#lines.splice(0)
      : this.#lines.splice(0, Math.max(1, count));
    this.#batch = Buffer.from(lines.join(""));
  }

  #take(countBytes: number): void {
    this.#batch = this.#batch.subarray(countBytes);
    this.#heldBytes -= countBytes;
  }

  #drop(): void {
    this.#droppedLines += 1;
    this.#reportTimer ??= setTimeout(() => {
      const lines = this.#droppedLines;
      this.#droppedLines = 0;
      this.#reportTimer = undefined;
      this.#options.onDropped(lines);
    }, DROP_REPORT_INTERVAL_MS).unref();
  }
}

function isBusy(error: unknown): boolean {
  return BUSY_CODES.has((error as { code?: unknown }).code);
}

function sleep(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
