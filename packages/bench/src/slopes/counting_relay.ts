/** A TCP relay on loopback that counts the bytes that pass, HTTP framing included. */
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Counts bytes on the way to one address. */
export class CountingRelay {
  /** Bytes in both directions so far. */
  relayedBytes = 0;
  #server: Server;
  #sockets = new Set<Socket>();

  private constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((near) => {
      const far = connect(Number(port), host);
      this.#join(near, far);
      this.#join(far, near);
    });
  }

  /** Opens a relay to `host:port`. */
  static async open(target: string): Promise<CountingRelay> {
    const relay = new CountingRelay(target);
    relay.#server.listen(0, "127.0.0.1");
    await once(relay.#server, "listening");
    return relay;
  }

  /** Host and port to connect to. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes the relay and its connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #join(from: Socket, to: Socket): void {
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
