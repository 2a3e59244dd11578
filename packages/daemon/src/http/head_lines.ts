/** Finds line feeds in the head of a request that end a line without a carriage return. */
import type { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A longer method isn't served. */
const MAX_START_BYTES = 32;
const REQUEST_START = /^[A-Z]+ [!-~]/;

/**
 * Checks how the lines of a head end. Parsers differ in whether a bare line feed ends a
 * line, and so in where a request ends and which fields it has.
 */
export class HeadLines {
  #start = "";
  #lastByte: number | undefined;

  /** Whether what came begins as a request does. */
  get isRequest(): boolean {
    return REQUEST_START.test(this.#start);
  }

  /** Adds a piece of the head; returns false if it ends a line with a bare line feed. */
  add(bytes: Buffer): boolean {
    const beginAt = this.#start === "" ? endOfEmptyLines(bytes) : 0;
    if (beginAt === bytes.length) return true;
    const startBytes = MAX_START_BYTES - this.#start.length;
    this.#start += bytes.toString("latin1", beginAt, beginAt + startBytes);
    for (
      let at = bytes.indexOf(LINE_FEED, beginAt);
      at >= 0;
      at = bytes.indexOf(LINE_FEED, at + 1)
    ) {
      const before = at > 0 ? bytes[at - 1] : this.#lastByte;
      if (before !== CARRIAGE_RETURN) return false;
    }
    this.#lastByte = bytes.at(-1);
    return true;
  }

  /** Begins with the next head. */
  reset(): void {
    this.#start = "";
    this.#lastByte = undefined;
  }
}

// Callers may send empty lines behind a body, which belong to no request.
function endOfEmptyLines(bytes: Buffer): number {
  let at = 0;
  while (bytes[at] === CARRIAGE_RETURN || bytes[at] === LINE_FEED) at += 1;
  return at;
}
