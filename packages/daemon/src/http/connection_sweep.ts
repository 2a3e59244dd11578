/** Tracks open connections and closes those whose peer stops reading. */
import type { Duplex } from "node:stream";
import type { PacedConnection } from "./paced_connection.ts";

/** Options of {@link ConnectionSweep}. */
export interface ConnectionSweepOptions {
  /** How long buffered bytes may wait without any of them being sent. */
  stalledMs: number;
  /** Called for each connection that is about to be closed as stalled. */
  onStalled: () => void;
}

/** Options of {@link ConnectionSweep.closeUnused}. */
export interface CloseUnusedOptions {
  /** Returns the connections that have a request in progress. */
  inUse: () => ReadonlySet<Duplex | null>;
  /** Spares the connections that have sent anything. */
  onlyWithoutBytes: boolean;
}

interface SendProgress {
  sentBytes: number;
  lastProgressMs: number;
}

const CHECKS_PER_LIMIT = 4;

/**
 * Closes connections that stall. The timeout of a connection itself can't be used:
 * every write restarts it, so a stream of small events would never time out.
 */
export class ConnectionSweep {
  #options: ConnectionSweepOptions;
  #connections = new Map<PacedConnection, SendProgress>();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ConnectionSweepOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** The open connections. */
  connections(): readonly PacedConnection[] {
    return [...this.#connections.keys()];
  }

  /** Tracks a connection until it closes. */
  add(connection: PacedConnection): void {
    this.#connections.set(connection, {
      sentBytes: 0,
      lastProgressMs: performance.now(),
    });
    connection.once("close", () => this.#connections.delete(connection));
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

  /**
   * Closes the connections without a request, also those that have never had one, which
   * Node counts as active.
   */
  closeUnused({ inUse, onlyWithoutBytes }: CloseUnusedOptions): void {
    const before = this.connections().map((connection) =>
      [connection, connection.bytesRead] as const
    );
    // After a freeze of the process, timers are due before what arrived is read.
    setImmediate(() => {
      const used = inUse();
      for (const [connection, bytesRead] of before) {
        const isUsed = used.has(connection) || connection.bytesRead > bytesRead;
        if (!isUsed && !(onlyWithoutBytes && bytesRead > 0)) {
          connection.destroy();
        }
      }
    });
  }

  #sweep(): void {
    const nowMs = performance.now();
    for (const [connection, progress] of this.#connections) {
      const { sentBytes } = connection;
      if (connection.unsentBytes === 0) {
        progress.lastProgressMs = nowMs;
        continue;
      }
      if (sentBytes !== progress.sentBytes) {
        progress.sentBytes = sentBytes;
        progress.lastProgressMs = nowMs;
      } else if (nowMs - progress.lastProgressMs >= this.#options.stalledMs) {
        this.#options.onStalled();
        connection.destroy();
      }
    }
  }
}
