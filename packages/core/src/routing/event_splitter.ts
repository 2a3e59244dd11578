/** Splits a stream of server-sent events at the blank lines between them, without decoding them. */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** One whole event. */
export interface RawEvent {
  /** The event with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Null where the event has none. */
  readonly id: string | null;
}

/** Keeps the part of an event that has arrived. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Takes bytes and returns the events that they complete. */
  push(bytes: Uint8Array): RawEvent[] {
    const data = this.#rest.length === 0
      ? Buffer.from(bytes)
      : Buffer.concat([this.#rest, bytes]);
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
    this.#rest = data.subarray(begin);
    return events;
  }
}

// The index after the blank line that ends the event, or 0 where it has not arrived.
function endOfEvent(data: Buffer, begin: number): number {
  for (
    let at = data.indexOf(LINE_FEED, begin);
    at >= 0;
    at = data.indexOf(LINE_FEED, at + 1)
  ) {
    if (data[at + 1] === LINE_FEED) return at + 2;
    const crlf = data[at + 1] === CARRIAGE_RETURN &&
      data[at + 2] === LINE_FEED;
    if (crlf) return at + 3;
  }
  return 0;
}

function idOf(event: Buffer): string | null {
  return ID_LINE.exec(event.toString("latin1"))?.[1] ?? null;
}
