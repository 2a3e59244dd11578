/** Counts the bytes of all sockets of the process, below HTTP and TLS. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

const SERVER_CHANNEL = "net.server.socket";
const CLIENT_CHANNEL = "net.client.socket";

/** Label of sockets that this process opened. */
const OUTGOING = "outgoing";
/** Label of incoming sockets on ports that belong to no interface. */
const OTHER = "other";

/** Number of sockets and transferred bytes for one label. */
export interface TrafficTotals {
  /** Name of the interface that accepted the sockets, or `outgoing` or `other`. */
  readonly label: string;
  readonly sockets: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Counts the traffic of sockets that open while it is started. */
export class TrafficCounter {
  #open = new Map<Socket, string>();
  #closed = new Map<string, TrafficTotals>();
  #interfaces: ReadonlyMap<number, string>;

  /** `interfaces` maps each listening port to the name of its interface. */
  constructor(interfaces: ReadonlyMap<number, string>) {
    this.#interfaces = interfaces;
  }

  start(): void {
    subscribe(SERVER_CHANNEL, this.#onServerSocket);
    subscribe(CLIENT_CHANNEL, this.#onClientSocket);
  }

  stop(): void {
    unsubscribe(SERVER_CHANNEL, this.#onServerSocket);
    unsubscribe(CLIENT_CHANNEL, this.#onClientSocket);
  }

  /** Returns the totals of open and closed sockets, by label. */
  totals(): TrafficTotals[] {
    const sums = new Map(this.#closed);
    for (const [socket, label] of this.#open) add(sums, { socket, label });
    return [...sums.values()];
  }

  #onServerSocket = (message: unknown) => {
    const { socket } = message as { socket: Socket };
    const label = this.#interfaces.get(socket.localPort ?? 0) ?? OTHER;
    this.#track(socket, label);
  };

  #onClientSocket = (message: unknown) => {
    this.#track((message as { socket: Socket }).socket, OUTGOING);
  };

  #track(socket: Socket, label: string): void {
    this.#open.set(socket, label);
    socket.once("close", () => {
      this.#open.delete(socket);
      add(this.#closed, { socket, label });
    });
  }
}

function add(
  sums: Map<string, TrafficTotals>,
  entry: { socket: Socket; label: string },
): void {
  const { socket, label } = entry;
  const previous = sums.get(label);
  sums.set(label, {
    label,
    sockets: (previous?.sockets ?? 0) + 1,
    receivedBytes: (previous?.receivedBytes ?? 0) + socket.bytesRead,
    sentBytes: (previous?.sentBytes ?? 0) + socket.bytesWritten,
  });
}
