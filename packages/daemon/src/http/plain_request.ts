/** Recognizes requests that can be skipped without the HTTP parser. */
import type { Buffer } from "node:buffer";

/** A longer head or body is left to the parser. */
const MAX_PART_BYTES = 4 * 1_024;
const HEAD_END = "\r\n\r\n";
/** Whatever else the parser accepts is left to it. */
const HEAD =
  /^(?:GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) [!-~]+ HTTP\/1\.1\r\n(?:[!#$%&'*+.^`|~\w-]+:[\t -~\x80-\xff]*\r\n)+\r\n$/;
/**
 * Fields on which the end of the request or the use of its connection depends. To the
 * parser, `proxy-connection` is another name of `connection`.
 */
const FRAMING =
  /\r\n(?:content-length|transfer-encoding|expect|upgrade|(?:proxy-)?connection):[^\r]*/gi;
const CONTENT_LENGTH = /^\r\ncontent-length: *(\d{1,4})$/i;
const KEEP_ALIVE = /^\r\nconnection: *keep-alive$/i;

/** A request that can be skipped. */
export interface PlainRequest {
  readonly sizeBytes: number;
  /** Whether it asks for the head of an answer alone. */
  readonly isHead: boolean;
}

/**
 * Returns the request that some bytes begin with; null if it isn't whole, or only the
 * parser knows where it ends.
 */
export function plainRequestAt(bytes: Buffer): PlainRequest | null {
  const endAt = bytes.subarray(0, MAX_PART_BYTES).indexOf(HEAD_END);
  if (endAt < 0) return null;
  const headBytes = endAt + HEAD_END.length;
  const head = bytes.toString("latin1", 0, headBytes);
  if (!HEAD.test(head)) return null;
  let bodyBytes: number | null = null;
  for (const field of head.match(FRAMING) ?? []) {
    if (KEEP_ALIVE.test(field)) continue;
    const length = CONTENT_LENGTH.exec(field);
    if (!length || bodyBytes !== null) return null;
    bodyBytes = Number(length[1]);
  }
  const sizeBytes = headBytes + (bodyBytes ?? 0);
  if (sizeBytes > bytes.length) return null;
  return { sizeBytes, isHead: head.startsWith("HEAD ") };
}
