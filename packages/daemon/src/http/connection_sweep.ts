/** Tracks open connections and closes those whose peer stops reading. */
import type { Socket } from "node:net";

/** Options of {@link ConnectionSweep}. */
export interface ConnectionSweepOptions {
  /** How long buffered bytes may wait without any of them being sent. */
  stalledMs: number;
  /** Called for each connection that is about to be closed as stalled. */
  onStalled: () => void;
}

interface SendProgress {
  sentBytes: number;
  lastProgressMs: number;
}

const CHECKS_PER_LIMIT = 4;

/**
 * Closes connections that stall. The timeout of the socket itself can't be used:
 * every write restarts it, so a stream of small events would never time out.
 */
export class ConnectionSweep {
  #options: ConnectionSweepOptions;
  #connections = new Map<Socket, SendProgress>();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ConnectionSweepOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** The open connections. */
  connections(): readonly Socket[] {
    return [...this.#connections.keys()];
  }

  /** Tracks a connection until it closes. */
  add(socket: Socket): void {
    this.#connections.set(socket, {
      sentBytes: 0,
      lastProgressMs: performance.now(),
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Starts the periodic check, which doesn't keep the process running. */
  start(): void {
    const intervalMs = this.#options.stalledMs / CHECKS_PER_LIMIT;
    this.#timer = setInterval(() => this.#sweep(), intervalMs);
    this.#timer.unref();
  }

  /** Stops the check; connections stay open. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #sweep(): void {
    const nowMs = performance.now();
    for (const [socket, progress] of this.#connections) {
      if (socket.writableLength === 0) {
        progress.lastProgressMs = nowMs;
        continue;
      }
      const sentBytes = socket.bytesWritten - socket.writableLength;
      if (sentBytes !== progress.sentBytes) {
        progress.sentBytes = sentBytes;
        progress.lastProgressMs = nowMs;
      } else if (nowMs - progress.lastProgressMs >= this.#options.stalledMs) {
        this.#options.onStalled();
        socket.destroy();
      }
    }
  }
}
