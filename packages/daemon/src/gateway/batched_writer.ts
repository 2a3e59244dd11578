/** Writes small pieces to a response in batches. */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { nextTick } from "node:process";

const MAX_BATCH_BYTES = 16 * 1_024;
const MAX_BATCH_PIECES = 256;

/**
 * Joins the pieces that are written in one turn of the event loop. Each write takes
 * hundreds of bytes of memory until it is sent, however few it carries.
 */
export class BatchedWriter {
  #response: ServerResponse;
  #pieces: Uint8Array[] = [];
  #sizeBytes = 0;
  #isScheduled = false;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Adds a piece; returns false if the caller reads too slowly, until the response drains. */
  write(piece: Uint8Array): boolean {
    if (this.#response.destroyed) return true;
    this.#pieces.push(piece);
    this.#sizeBytes += piece.length;
    const isFull = this.#sizeBytes >= MAX_BATCH_BYTES ||
      this.#pieces.length >= MAX_BATCH_PIECES;
    if (isFull) this.flush();
    else this.#schedule();
    return !this.#response.writableNeedDrain;
  }

  /** Writes what has been added; called before the response ends. */
  flush(): void {
    const pieces = this.#pieces;
    if (pieces.length === 0) return;
    this.#pieces = [];
    this.#sizeBytes = 0;
    if (this.#response.destroyed) return;
    this.#response.write(
      pieces.length === 1 ? pieces[0] : Buffer.concat(pieces),
    );
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    nextTick(() => {
      this.#isScheduled = false;
      this.flush();
    });
  }
}
