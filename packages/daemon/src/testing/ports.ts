/** Ports for tests. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Finds a port that is free on loopback. */
export async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
