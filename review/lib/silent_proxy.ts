/** Loopback proxy whose open connections can go silent for good, while new ones work. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Forwards connections to one address. */
export class SilentProxy {
  #server: Server;
  #open = new Set<{ isSilent: boolean; sockets: readonly Socket[] }>();

  private constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((client) => {
      const server = connect({ host, port: Number(port) });
      const link = { isSilent: false, sockets: [client, server] };
      this.#open.add(link);
      for (const [from, to] of [[client, server], [server, client]] as const) {
        from.on("data", (bytes) => {
          if (!link.isSilent && to.writable) to.write(bytes);
        });
        from.on("end", () => link.isSilent || to.end());
        from.on("error", () => {});
        from.on("close", () => {
          if (!link.isSilent) to.destroySoon();
          if (client.destroyed) this.#open.delete(link);
        });
      }
    });
  }

  static async start(target: string): Promise<SilentProxy> {
    const proxy = new SilentProxy(target);
    proxy.#server.listen(0, "127.0.0.1");
    await once(proxy.#server, "listening");
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** All open connections pass nothing on from now on, and are not reset. */
  silence(): number {
    for (const link of this.#open) link.isSilent = true;
    return this.#open.size;
  }

  close(): void {
    this.#server.close();
    for (const { sockets } of this.#open) {
      for (const socket of sockets) socket.destroy();
    }
  }
}
