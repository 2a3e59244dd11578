/** Refuses connections of which no request is read, at a small part of a served one's cost. */
import type { Socket } from "node:net";

/** How long a refused connection may stay open. */
const MAX_OPEN_MS = 1_000;

/**
 * Answers the first bytes of each connection with a refusal, and closes it once its caller
 * has. A connection that is closed with unread bytes is reset, and its caller may lose the
 * refusal.
 */
export class UnreadRefusals {
  /** With the time when each was refused, the oldest first. */
  #open = new Map<Socket, number>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  /** Number of connections that are still open. */
  get size(): number {
    return this.#open.size;
  }

  /** Refuses a connection with the text that `format` returns once its bytes come. */
  add(socket: Socket, format: () => string): void {
    this.#open.set(socket, performance.now());
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.end(format());
      socket.resume();
    });
    socket.once("end", () => socket.end());
    socket.once("close", () => this.#open.delete(socket));
    this.#closeLater();
  }

  /** Closes all connections at once. */
  abort(): void {
    clearTimeout(this.#timer);
    for (const socket of this.#open.keys()) socket.destroy();
  }

  #closeLater(): void {
    this.#timer ??= setTimeout(() => this.#closeOld(), MAX_OPEN_MS).unref();
  }

  #closeOld(): void {
    this.#timer = undefined;
    const untilMs = performance.now() - MAX_OPEN_MS;
    for (const [socket, refusedAtMs] of this.#open) {
      if (refusedAtMs > untilMs) break;
      socket.destroy();
    }
    if (this.#open.size > 0) this.#closeLater();
  }
}
