/** Splits bytes of server-sent events at the blank lines between them, without decoding the events. */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** One complete event. */
export interface RawEvent {
  /** The event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the `id` field; null if the event has none. */
  readonly id: string | null;
}

/** Splits chunks of bytes into events, buffering an incomplete one. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Uint8Array): RawEvent[] {
    const data = this.#pending.length === 0
      ? Buffer.from(bytes)
      : Buffer.concat([this.#pending, bytes]);
    const events: RawEvent[] = [];
    let begin = 0;
    for (
      let end = endOfEvent(data, begin);
      end > 0;
      end = endOfEvent(data, begin)
    ) {
      const event = data.subarray(begin, end);
      events.push({ bytes: event, id: idOf(event) });
      begin = end;
    }
    this.#pending = data.subarray(begin);
    return events;
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
