/**
 * A TCP relay on loopback that counts the forwarded bytes, including HTTP
 * framing.
 */
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards connections to one address and counts their bytes. */
export class CountingRelay {
  /** Bytes forwarded so far, in both directions. */
  relayedBytes = 0;
  #server: Server;
  #sockets = new Set<Socket>();

  private constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((client) => {
      const upstream = connect(Number(port), host);
      this.#forward(client, upstream);
      this.#forward(upstream, client);
    });
  }

  /** Starts a relay that forwards to `host:port`. */
  static async open(target: string): Promise<CountingRelay> {
    const relay = new CountingRelay(target);
    relay.#server.listen(0, "127.0.0.1");
    await once(relay.#server, "listening");
    return relay;
  }

  /** Host and port of the relay. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes the relay and its connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #forward(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.relayedBytes += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
