import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Client } from "undici";
import { expect, test } from "vitest";
import { type ClientConnection, createConnector } from "./client_connection.ts";
import type { ThrownError } from "./connection_faults.ts";

test.each(["readable", "end", "error", "close"])(
  "an exception of a listener for %s destroys only its connection",
  async (event) => {
    const accepted: Socket[] = [];
    const server = createServer((socket) => {
      accepted.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
        if (event === "error") setTimeout(() => socket.resetAndDestroy(), 20);
        else setTimeout(() => socket.end(), 20);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const faults: ThrownError[] = [];
    let connection: ClientConnection | undefined;
    const client = new Client(`http://127.0.0.1:${port}`, {
      connect: createConnector({
        connectTimeoutMs: 1_000,
        onConnected: (connected) => {
          connection = connected;
          connected.once(event, () => {
            throw new Error("broken listener");
          });
        },
        onFault: (fault) => void faults.push(fault),
      }),
    });
    const response = client.request({ method: "GET", path: "/" })
      .then(({ body }) => body.text());
    await expect(response).rejects.toThrow();
    await expect.poll(() => faults).toEqual([
      { error: new Error("broken listener"), thrownIn: event },
    ]);
    expect(connection!.destroyed).toBe(true);
    await client.destroy();
    server.close();
  },
);

// After a pause, the parser tells an empty piece before it goes on.
test("a response that is paused again when it goes on isn't ended while paused", async () => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\n\r\nx"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const faults: ThrownError[] = [];
  const client = new Client(`http://127.0.0.1:${port}`, {
    connect: createConnector({
      connectTimeoutMs: 1_000,
      onFault: (fault) => void faults.push(fault),
    }),
  });
  const told: (number | string)[] = [];
  client.dispatch({ method: "GET", path: "/" }, {
    onRequestStart() {},
    onResponseData(controller, bytes) {
      told.push(bytes.length);
      if (told.length > 3) return;
      controller.pause();
      setTimeout(() => controller.resume(), 50);
    },
    onResponseEnd: () => void told.push("end"),
    onResponseError: (_controller, error) => void told.push(error.message),
  });
  await expect.poll(() => told.at(-1)).toBeTypeOf("string");
  expect(told).toEqual([1, 0, 0, 0, "end"]);
  expect(faults).toEqual([]);
  await client.destroy();
  server.close();
});
