/** Free TCP ports for tests. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Returns a port that was free on loopback a moment ago. */
export async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
