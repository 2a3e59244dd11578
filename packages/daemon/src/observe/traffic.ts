/** Counts the bytes of all sockets of the process, below HTTP and TLS. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

const SERVER_CHANNEL = "net.server.socket";
const CLIENT_CHANNEL = "net.client.socket";

/** The label of sockets that this process opened. */
const OUTGOING = "outgoing";
const OTHER = "other";

/** What sockets carried. */
export interface TrafficTotals {
  /** The interface that the sockets came in at, or `outgoing`. */
  readonly label: string;
  readonly sockets: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Owns the counts; it counts sockets that open after it was started. */
export class TrafficCounter {
  #open = new Map<Socket, string>();
  #closed = new Map<string, TrafficTotals>();
  #interfaces: ReadonlyMap<number, string>;

  /** Takes the names of the interfaces by their ports. */
  constructor(interfaces: ReadonlyMap<number, string>) {
    this.#interfaces = interfaces;
  }

  start(): void {
    subscribe(SERVER_CHANNEL, this.#onServer);
    subscribe(CLIENT_CHANNEL, this.#onClient);
  }

  stop(): void {
    unsubscribe(SERVER_CHANNEL, this.#onServer);
    unsubscribe(CLIENT_CHANNEL, this.#onClient);
  }

  /** What sockets have carried so far, by label. */
  totals(): TrafficTotals[] {
    const sums = new Map(this.#closed);
    for (const [socket, label] of this.#open) add(sums, { socket, label });
    return [...sums.values()];
  }

  #onServer = (message: unknown) => {
    const { socket } = message as { socket: Socket };
    const label = this.#interfaces.get(socket.localPort ?? 0) ?? OTHER;
    this.#watch(socket, label);
  };

  #onClient = (message: unknown) => {
    this.#watch((message as { socket: Socket }).socket, OUTGOING);
  };

  #watch(socket: Socket, label: string): void {
    this.#open.set(socket, label);
    socket.once("close", () => {
      this.#open.delete(socket);
      add(this.#closed, { socket, label });
    });
  }
}

function add(
  sums: Map<string, TrafficTotals>,
  one: { socket: Socket; label: string },
): void {
  const { socket, label } = one;
  const before = sums.get(label);
  sums.set(label, {
    label,
    sockets: (before?.sockets ?? 0) + 1,
    receivedBytes: (before?.receivedBytes ?? 0) + socket.bytesRead,
    sentBytes: (before?.sentBytes ?? 0) + socket.bytesWritten,
  });
}
