/** A read whose result several callers share. */
import { wait } from "../common/wait.ts";

/** Runs a read at most once in an interval. */
export class SharedRead {
  #read: () => Promise<boolean>;
  #intervalMs: number;
  #last: { readonly atMs: number; readonly done: Promise<boolean> } | null =
    null;

  /** `read` resolves with whether it succeeded; a result is shared for `intervalMs`. */
  constructor(read: () => Promise<boolean>, intervalMs: number) {
    this.#read = read;
    this.#intervalMs = intervalMs;
  }

  /** Resolves with the result of the last read, or of a new one if that is too old. */
  run(): Promise<boolean> {
    const nowMs = performance.now();
    if (!this.#last || nowMs >= this.#last.atMs + this.#intervalMs) {
      this.#last = { atMs: nowMs, done: this.#read() };
    }
    return this.#last.done;
  }

  /** Resolves with the result of a read that began at `sinceMs` or later. */
  async runSince(sinceMs: number): Promise<boolean> {
    const lastMs = this.#last?.atMs ?? -Infinity;
    const leftMs = lastMs + this.#intervalMs - performance.now();
    if (lastMs < sinceMs && leftMs > 0) await wait(leftMs);
    return await this.run();
  }

  /** Makes the next call read again. */
  forget(): void {
    this.#last = null;
  }
}
