/** Splits bytes of server-sent events at the blank lines between them, without decoding the events. */
import { Buffer } from "node:buffer";
import { ByteCollector } from "../common/byte_collector.ts";

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
  /** The bytes of an incomplete event. */
  #pending = new ByteCollector({
    limitBytes: MAX_EVENT_BYTES,
    use: "answer",
  });

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.sizeBytes;
  }

  /** True once an event was too large, or found no memory; bytes are discarded from then on. */
  get overflowed(): boolean {
    return this.#pending.failure !== null;
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Uint8Array): RawEvent[] {
    if (this.overflowed) return [];
    const events: RawEvent[] = [];
    let rest = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    if (this.pendingBytes > 0) {
      const first = this.#complete(rest);
      if (!first) return events;
      events.push(first.event);
      rest = rest.subarray(first.usedBytes);
    }
    let begin = 0;
    for (
      let end = endOfEvent(rest, 0);
      end > 0;
      end = endOfEvent(rest, begin)
    ) {
      events.push(toEvent(Buffer.from(rest.subarray(begin, end))));
      begin = end;
    }
    if (begin < rest.length) this.#pending.add(rest.subarray(begin));
    return events;
  }

  /** Drops an incomplete event and frees its memory. */
  discard(): void {
    this.#pending.discard();
  }

  // Completes the buffered event; returns undefined if its end is not in the bytes.
  #complete(
    bytes: Buffer,
  ): { event: RawEvent; usedBytes: number } | undefined {
    // An end that has not arrived completely is searched again.
    const tail = this.#pending.bytes.subarray(1 - END_BYTES);
    const joined = Buffer.concat([tail, bytes.subarray(0, END_BYTES - 1)]);
    const endInJoined = endOfEvent(joined, 0);
    const end = endInJoined > 0
      ? endInJoined - tail.length
      : endOfEvent(bytes, 0);
    if (end <= 0) return void this.#pending.add(bytes);
    const event = Buffer.concat([this.#pending.bytes, bytes.subarray(0, end)]);
    this.#pending.discard();
    return { event: toEvent(event), usedBytes: end };
  }
}

function toEvent(bytes: Buffer): RawEvent {
  return { bytes, id: idOf(bytes) };
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
