/** Finds blank lines, which end the heads of requests. */
import { Buffer } from "node:buffer";

/** The end of a line before it belongs to it. */
export const BLANK_LINE = "\n\r\n";
/** The parsers of some Node versions accept it behind chunks. */
const BARE_BLANK_LINE = "\n\n";
const EMPTY = Buffer.alloc(0);

/**
 * Returns the index after the first blank line, which may begin in the bytes before;
 * infinite if there is none.
 */
export function endOfBlankLine(before: Buffer, bytes: Buffer): number {
  if (before.length > 0) {
    const joined = Buffer.concat([
      before,
      bytes.subarray(0, BLANK_LINE.length - 1),
    ]);
    const end = endOfBlankLine(EMPTY, joined);
    if (end < Infinity) return end - before.length;
  }
  const lineAt = bytes.indexOf(BLANK_LINE);
  const end = lineAt < 0 ? Infinity : lineAt + BLANK_LINE.length;
  const bareAt = bytes.subarray(0, end).indexOf(BARE_BLANK_LINE);
  return bareAt < 0 ? end : bareAt + BARE_BLANK_LINE.length;
}
