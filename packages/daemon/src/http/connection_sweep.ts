/** Watches open connections and closes those whose other side takes nothing. */
import type { Socket } from "node:net";

/** Options of {@link ConnectionSweep}. */
export interface ConnectionSweepOptions {
  /** How long bytes may wait for the other side without any being taken. */
  stalledMs: number;
  onStalled: () => void;
}

interface Progress {
  takenBytes: number;
  sinceMs: number;
}

const SWEEPS_PER_LIMIT = 4;

/**
 * Closes connections that stall. A socket's own timeout doesn't serve: each
 * write restarts it, so that a writer of small events would never end one.
 */
export class ConnectionSweep {
  #options: ConnectionSweepOptions;
  #connections = new Map<Socket, Progress>();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ConnectionSweepOptions) {
    this.#options = options;
  }

  /** Open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** The open connections. */
  connections(): readonly Socket[] {
    return [...this.#connections.keys()];
  }

  /** Watches a connection until it closes. */
  add(socket: Socket): void {
    this.#connections.set(socket, { takenBytes: 0, sinceMs: 0 });
    socket.once("close", () => this.#connections.delete(socket));
  }

  start(): void {
    const intervalMs = this.#options.stalledMs / SWEEPS_PER_LIMIT;
    this.#timer = setInterval(() => this.#sweep(), intervalMs);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sweep(): void {
    const nowMs = performance.now();
    for (const [socket, progress] of this.#connections) {
      if (socket.writableLength === 0) {
        progress.sinceMs = nowMs;
        continue;
      }
      const takenBytes = socket.bytesWritten - socket.writableLength;
      if (takenBytes !== progress.takenBytes) {
        progress.takenBytes = takenBytes;
        progress.sinceMs = nowMs;
      } else if (nowMs - progress.sinceMs >= this.#options.stalledMs) {
        this.#options.onStalled();
        socket.destroy();
      }
    }
  }
}
