/** Splits bytes of server-sent events at the blank lines between them, without decoding the events. */
import { Buffer } from "node:buffer";

/** Maximum bytes of an event without its end that are buffered. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;

const LINE_FEED = 0x0a;
/** Maximum bytes of a line end and a blank line. */
const END_BYTES = 3;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** One complete event. */
export interface RawEvent {
  /** The event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the `id` field; null if the event has none. */
  readonly id: string | null;
}

/** Splits chunks of bytes into events, buffering an incomplete one up to {@link MAX_EVENT_BYTES}. */
export class EventSplitter {
  /** Begins with the bytes of an incomplete event; the rest is unused. */
  #buffer: Buffer = Buffer.alloc(0);
  #pendingBytes = 0;
  #overflowed = false;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** True once an event was too large; bytes are discarded from then on. */
  get overflowed(): boolean {
    return this.#overflowed;
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Uint8Array): RawEvent[] {
    if (this.#overflowed) return [];
    // An end that has not arrived completely is searched again.
    const searchFrom = Math.max(0, this.#pendingBytes - END_BYTES + 1);
    const data = this.#append(bytes);
    const events: RawEvent[] = [];
    let begin = 0;
    for (
      let end = endOfEvent(data, searchFrom);
      end > 0;
      end = endOfEvent(data, begin)
    ) {
      const event = Buffer.from(data.subarray(begin, end));
      events.push({ bytes: event, id: idOf(event) });
      begin = end;
    }
    if (begin > 0) this.#keep(data.subarray(begin));
    if (this.#pendingBytes > MAX_EVENT_BYTES) {
      this.#overflowed = true;
      this.#keep(Buffer.alloc(0));
    }
    return events;
  }

  #append(bytes: Uint8Array): Buffer {
    const sizeBytes = this.#pendingBytes + bytes.length;
    if (sizeBytes > this.#buffer.length) {
      const larger = Buffer.alloc(Math.max(sizeBytes, 2 * this.#buffer.length));
      this.#buffer.copy(larger, 0, 0, this.#pendingBytes);
      this.#buffer = larger;
    }
    this.#buffer.set(bytes, this.#pendingBytes);
    this.#pendingBytes = sizeBytes;
    return this.#buffer.subarray(0, sizeBytes);
  }

  #keep(bytes: Buffer): void {
    this.#buffer = Buffer.from(bytes);
    this.#pendingBytes = bytes.length;
  }
}

// Returns the index after the blank line that ends the event, or 0 if it has not arrived.
function endOfEvent(data: Buffer, begin: number): number {
  for (
    let index = data.indexOf(LINE_FEED, begin);
    index >= 0;
    index = data.indexOf(LINE_FEED, index + 1)
  ) {
    if (data[index + 1] === LINE_FEED) return index + 2;
    const crlf = data[index + 1] === CARRIAGE_RETURN &&
      data[index + 2] === LINE_FEED;
    if (crlf) return index + 3;
  }
  return 0;
}

function idOf(event: Buffer): string | null {
  return ID_LINE.exec(event.toString("latin1"))?.[1] ?? null;
}
