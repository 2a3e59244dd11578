/** Refuses connections of which no request is read, at a small part of a served one's cost. */
import type { Socket } from "node:net";

/** How long a connection is kept that was refused, or sent nothing. */
const MAX_OPEN_MS = 1_000;

/** Options of {@link UnreadRefusals}. */
export interface UnreadRefusalsOptions {
  /** Whether the first request of a connection would be refused now. */
  isRefused: (socket: Socket) => boolean;
  /** Formats the refusal. */
  format: () => string;
  /** Takes over a connection that isn't refused any more. */
  admit: (socket: Socket) => void;
}

/**
 * Answers the first bytes of each connection with a refusal, and closes it once its caller
 * has. A connection that is closed with unread bytes is reset, and its caller may lose the
 * refusal.
 */
export class UnreadRefusals {
  #options: UnreadRefusalsOptions;
  /** What hands each over, and the time when it came, the oldest first. */
  #open = new Map<Socket, { sinceMs: number; handOver: () => void }>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: UnreadRefusalsOptions) {
    this.#options = options;
  }

  /** Refuses a connection once its first bytes come, unless the VM is free by then. */
  add(socket: Socket): void {
    const { isRefused, format, admit } = this.#options;
    const onData = (bytes: Uint8Array) => {
      if (!isRefused(socket)) return handOver(bytes);
      socket.off("data", onData);
      socket.end(format());
      socket.resume();
    };
    const onEnd = () => socket.end();
    const onClose = () => this.#open.delete(socket);
    const handOver = (bytes?: Uint8Array) => {
      this.#open.delete(socket);
      socket.off("data", onData).off("end", onEnd).off("close", onClose);
      socket.pause();
      if (bytes) socket.unshift(bytes);
      admit(socket);
    };
    this.#open.set(socket, { sinceMs: performance.now(), handOver });
    socket.on("error", () => {});
    socket.on("data", onData).once("end", onEnd).once("close", onClose);
    this.#checkLater();
  }

  /** Closes all connections at once. */
  abort(): void {
    clearTimeout(this.#timer);
    for (const socket of this.#open.keys()) socket.destroy();
  }

  #checkLater(): void {
    this.#timer ??= setTimeout(() => this.#checkOld(), MAX_OPEN_MS).unref();
  }

  #checkOld(): void {
    this.#timer = undefined;
    const untilMs = performance.now() - MAX_OPEN_MS;
    for (const [socket, { sinceMs, handOver }] of this.#open) {
      if (sinceMs > untilMs) break;
      const isIdle = socket.bytesRead === 0;
      if (isIdle && !this.#options.isRefused(socket)) handOver();
      else socket.destroy();
    }
    if (this.#open.size > 0) this.#checkLater();
  }
}
