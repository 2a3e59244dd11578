/** Bytes of a connection that were received and not parsed. */
import { Buffer } from "node:buffer";
import { BLANK_LINE, endOfBlankLine } from "./blank_line.ts";

const EMPTY = Buffer.alloc(0);
const MAX_SLICE_BYTES = 16 * 1_024;

const LINE_END_BYTES = BLANK_LINE.length - 1;

function lastBytes(before: Buffer, bytes: Buffer): Buffer {
  return Buffer.concat([before, bytes.subarray(-LINE_END_BYTES)])
    .subarray(-LINE_END_BYTES);
}

/** Cuts what was received, so that the head of a request ends a slice. */
export class UnparsedBytes {
  #bytes: Buffer = EMPTY;
  /** The last bytes that were taken, if a blank line may go on from them. */
  #lineEnd: Buffer = EMPTY;
  /** When each piece arrived, and how many bytes came up to its end. */
  #pieces: { readonly endBytes: number; readonly arrivedAtMs: number }[] = [];
  #takenBytes = 0;
  /** Bytes of the body that is being received, if its length is known. */
  bodyBytesLeft = 0;

  get length(): number {
    return this.#bytes.length;
  }

  /** The bytes, without taking any. */
  get bytes(): Buffer {
    return this.#bytes;
  }

  /** When the first of the bytes arrived, by `performance.now()`. */
  get arrivedAtMs(): number {
    return this.#pieces[0]?.arrivedAtMs ?? performance.now();
  }

  /** Adds what was read, and arrived at the given time. */
  add(bytes: Buffer, arrivedAtMs: number): void {
    const endBytes = this.#takenBytes + this.#bytes.length + bytes.length;
    this.#pieces.push({ endBytes, arrivedAtMs });
    this.#bytes = this.#bytes.length === 0
      ? bytes
      : Buffer.concat([this.#bytes, bytes]);
  }

  drop(): void {
    this.skip(this.#bytes.length);
  }

  /** Leaves out bytes that the parser needn't see. */
  skip(sizeBytes: number): void {
    // An empty part would keep all that was read.
    this.#bytes = sizeBytes === this.#bytes.length
      ? EMPTY
      : this.#bytes.subarray(sizeBytes);
    this.#takenBytes += sizeBytes;
    while (
      this.#pieces.length > 0 && this.#pieces[0]!.endBytes <= this.#takenBytes
    ) this.#pieces.shift();
  }

  /** Takes a slice, which ends at the end of the body, or at a blank line. */
  takeSlice(): Buffer {
    const bytes = this.#bytes;
    let sizeBytes = Math.min(bytes.length, MAX_SLICE_BYTES);
    if (this.bodyBytesLeft > 0) {
      sizeBytes = Math.min(bytes.length, this.bodyBytesLeft);
      this.bodyBytesLeft -= sizeBytes;
      this.#lineEnd = EMPTY;
    } else {
      const end = endOfBlankLine(this.#lineEnd, bytes);
      sizeBytes = Math.min(sizeBytes, end);
      this.#lineEnd = sizeBytes === end
        ? EMPTY
        : lastBytes(this.#lineEnd, bytes.subarray(0, sizeBytes));
    }
    this.skip(sizeBytes);
    return bytes.subarray(0, sizeBytes);
  }
}
