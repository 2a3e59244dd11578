/** Calls to the sockets below connections of our own. */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/**
 * How long a closed connection is still read. A connection that is closed with unread
 * bytes is reset, and its peer may lose the answer that was sent before.
 */
const LINGER_MS = 1_000;

/** A piece to write. */
export interface WritePiece {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/** Writes pieces at once; calls back when the last was written. */
export function writePieces(
  socket: Socket,
  pieces: readonly WritePiece[],
  callback: (error?: Error | null) => void,
): void {
  // Node ends each response with an empty piece.
  const filled = pieces.filter(({ chunk }) => chunk.length > 0);
  const last = filled.pop();
  if (!last) return callback();
  if (filled.length > 0) socket.cork();
  for (const { chunk, encoding } of filled) socket.write(chunk, encoding);
  socket.write(last.chunk, last.encoding, callback);
  if (filled.length > 0) socket.uncork();
}

/** Reads on, and drops what it reads, until the peer closes. */
export function linger(socket: Socket): void {
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("end", () => socket.destroy());
  socket.once("close", () => clearTimeout(timer));
  socket.resume();
}
