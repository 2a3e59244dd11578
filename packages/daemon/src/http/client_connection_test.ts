import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createServer as createTlsServer } from "node:tls";
import { generate } from "selfsigned";
import { Client } from "undici";
import { expect, test } from "vitest";
import { createKeepAliveClient } from "./calls.ts";
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

test.each(["connect", "connectionError"])(
  "an exception of a client's listener for %s fails only its request",
  async (event) => {
    const server = createServer((socket) => socket.on("error", () => {}));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    if (event === "connectionError") server.close();
    const faults: ThrownError[] = [];
    const client = new Client(`http://127.0.0.1:${port}`, {
      connect: createConnector({
        connectTimeoutMs: 1_000,
        onFault: (fault) => void faults.push(fault),
      }),
    });
    // undici's types know each event by itself.
    client.once(event as "connect", () => {
      throw new Error("broken listener");
    });
    await expect(client.request({ method: "GET", path: "/" })).rejects
      .toThrow();
    await expect.poll(() => faults).toEqual([
      { error: new Error("broken listener"), thrownIn: "connect" },
    ]);
    await client.destroy();
    server.close();
  },
);

test("connections over TLS to an address resume the session of one before", async () => {
  const pems = await generate([{ name: "commonName", value: "localhost" }], {
    extensions: [
      { name: "basicConstraints", cA: true },
      { name: "subjectAltName", altNames: [{ type: 2, value: "localhost" }] },
    ],
  });
  const reused: boolean[] = [];
  const server = createTlsServer(
    { cert: pems.cert, key: pems.private },
    (socket) => {
      reused.push(socket.isSessionReused());
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      });
    },
  );
  server.listen(0, "localhost");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = createKeepAliveClient({
    tls: {
      authorities: pems.cert,
      certificate: pems.cert,
      key: pems.private,
    },
  });
  for (let calls = 1; calls <= 2; calls += 1) {
    const response = await client.call({
      method: "GET",
      address: `localhost:${port}`,
      path: "/",
      timeoutMs: 2_000,
    });
    expect(response.isOk()).toBe(true);
    await expect.poll(() => reused.length).toBe(calls);
  }
  expect(reused).toEqual([false, true]);
  await client.close();
  server.close();
});

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
