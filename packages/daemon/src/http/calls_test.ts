import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import {
  classifyError,
  createFreshClient,
  createKeepAliveClient,
  type HttpCall,
  type HttpClient,
} from "./calls.ts";

type RequestHandler = (socket: Socket, request: string) => void;

const RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

let server: Server;
let address: string;
let onRequest: RequestHandler;
/** Every received chunk of a request, with the number of its connection, from 1. */
let requests: { connection: number; text: string }[];
let connections: Socket[];
const clients: HttpClient[] = [];

beforeEach(async () => {
  requests = [];
  connections = [];
  onRequest = (socket) => socket.write(RESPONSE);
  server = createServer((socket) => {
    const connection = connections.push(socket);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      requests.push({ connection, text: String(chunk) });
      onRequest(socket, String(chunk));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(async () => {
  await Promise.all(clients.splice(0).map((client) => client.close()));
  for (const socket of connections) socket.destroy();
  server.close();
});

function client(kind: "keep-alive" | "fresh"): HttpClient {
  const created = kind === "keep-alive"
    ? createKeepAliveClient()
    : createFreshClient();
  clients.push(created);
  return created;
}

function post(options: Partial<HttpCall> = {}): HttpCall {
  return {
    method: "POST",
    address,
    path: "/filings",
    body: "{}",
    timeoutMs: 2_000,
    ...options,
  };
}

/** undici reuses a connection one turn of the event loop after its response. */
async function nextTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
}

const KINDS = ["keep-alive", "fresh"] as const;
const METHODS = ["GET", "POST", "PUT", "DELETE"];
const EACH_KIND_AND_METHOD = KINDS.flatMap((kind) =>
  METHODS.map((method) => ({ kind, method }))
);

test.each(EACH_KIND_AND_METHOD)(
  "sends a $method once when a $kind connection breaks before the response",
  async ({ kind, method }) => {
    onRequest = (socket) => socket.destroy();
    const body = method === "GET" ? undefined : "{}";
    const response = await client(kind).call(post({ method, body }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(1);
  },
);

test.each(EACH_KIND_AND_METHOD)(
  "sends a $method once when a $kind connection breaks during the response",
  async ({ kind, method }) => {
    onRequest = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
      socket.end();
    };
    const body = method === "GET" ? undefined : "{}";
    const response = await client(kind).call(post({ method, body }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(1);
  },
);

test.each(EACH_KIND_AND_METHOD)(
  "sends a $method once when a $kind connection is reset after an earlier call",
  async ({ kind, method }) => {
    const used = client(kind);
    await used.call(post());
    onRequest = (socket) => socket.resetAndDestroy();
    const body = method === "GET" ? undefined : "{}";
    const response = await used.call(post({ method, body }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(2);
  },
);

test.each(KINDS)("does not pipeline on %s connections", async (kind) => {
  const used = client(kind);
  await used.call(post());
  const held: Socket[] = [];
  const arrived = deferred();
  onRequest = (socket) => {
    held.push(socket);
    if (held.length === 5) arrived.resolve();
  };
  const responses = Array.from({ length: 5 }, () => used.call(post()));
  await arrived.promise;
  expect(new Set(held).size).toBe(5);
  for (const socket of held) socket.write(RESPONSE);
  for (const response of await Promise.all(responses)) {
    expect(response._unsafeUnwrap().text).toBe("ok");
  }
});

test.each(KINDS)(
  "a refused %s connection proves that nothing was sent",
  async (kind) => {
    const refusing = `127.0.0.1:${await freePort()}`;
    const response = await client(kind).call(post({ address: refusing }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "notSent" });
  },
);

test("an error code proves that nothing was sent only if connecting failed", () => {
  const onWrite = { code: "EHOSTUNREACH", syscall: "write" };
  const onConnect = { code: "EHOSTUNREACH", syscall: "connect" };
  const onRead = { code: "ECONNREFUSED", syscall: "read" };
  expect(classifyError(Object.assign(new Error(), onWrite)).kind).toBe("lost");
  expect(classifyError(Object.assign(new Error(), onRead)).kind).toBe("lost");
  expect(classifyError(Object.assign(new Error(), onConnect)).kind).toBe(
    "notSent",
  );
});

test.each(KINDS)(
  "a %s call that times out closes its connection",
  async (kind) => {
    const closed = deferred();
    onRequest = (socket) => socket.once("close", closed.resolve);
    const response = await client(kind).call(post({ timeoutMs: 100 }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
    await closed.promise;
    expect(requests).toHaveLength(1);
  },
);

test.each(KINDS)(
  "a %s call that times out during the response closes its connection",
  async (kind) => {
    const closed = deferred();
    onRequest = (socket) => {
      socket.once("close", closed.resolve);
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
    };
    const response = await client(kind).call(post({ timeoutMs: 100 }));
    expect(response._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
    await closed.promise;
  },
);

test.each(KINDS)(
  "the response to a %s call that arrived during a freeze of the process is read",
  async (kind) => {
    onRequest = (socket) => {
      socket.write(RESPONSE);
      const untilMs = performance.now() + 300;
      while (performance.now() < untilMs);
    };
    const response = await client(kind).call(post({ timeoutMs: 200 }));
    expect(response._unsafeUnwrap().text).toBe("ok");
  },
);

test("after a timeout a keep-alive client reuses none of its connections", async () => {
  const keepAlive = client("keep-alive");
  const bothArrived = deferred();
  onRequest = () => requests.length === 2 && bothArrived.resolve();
  const first = [keepAlive.call(post()), keepAlive.call(post())];
  await bothArrived.promise;
  for (const socket of connections) socket.write(RESPONSE);
  await Promise.all(first);
  await nextTurn();
  onRequest = (socket) => {
    const isOld = connections.indexOf(socket) < 2;
    if (!isOld) socket.write(RESPONSE);
  };
  const timedOut = await keepAlive.call(post({ timeoutMs: 100 }));
  expect(timedOut._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
  const next = await keepAlive.call(post());
  expect(next._unsafeUnwrap().text).toBe("ok");
  expect(requests.at(-1)!.connection).toBe(3);
});

test("a keep-alive client reuses its connection while calls succeed", async () => {
  const keepAlive = client("keep-alive");
  for (let call = 0; call < 3; call += 1) {
    await keepAlive.call(post());
    await nextTurn();
  }
  expect(new Set(requests.map((request) => request.connection))).toEqual(
    new Set([1]),
  );
});

test("every fresh call has its own connection, which is closed afterwards", async () => {
  const fresh = client("fresh");
  for (let call = 0; call < 3; call += 1) {
    await fresh.call(post());
    const socket = connections.at(-1)!;
    if (!socket.closed) await once(socket, "close");
  }
  expect(requests.map((request) => request.connection)).toEqual([1, 2, 3]);
});

test("a response over the size limit is lost instead of buffered", async () => {
  const limited = createFreshClient({ responseLimitBytes: 1_000 });
  clients.push(limited);
  onRequest = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n`);
    socket.write("x".repeat(4_000));
  };
  const response = await limited.call(post());
  expect(response._unsafeUnwrapErr()).toEqual({ kind: "lost" });
});

test("a call times out if the server never accepts the connection", async () => {
  const host = await startUnresponsiveHost();
  try {
    for (const kind of ["keep-alive", "fresh"] as const) {
      const startedMs = performance.now();
      const response = await client(kind).call(
        post({ address: host.address, timeoutMs: 300 }),
      );
      expect(response.isErr()).toBe(true);
      expect(performance.now() - startedMs).toBeLessThan(900);
    }
  } finally {
    host.stop();
  }
});

/**
 * Starts a host that completes no handshake: a listening process is stopped with
 * SIGSTOP, and its backlog is filled with connections.
 */
async function startUnresponsiveHost() {
  const child = spawn(process.execPath, [
    "-e",
    `const server = require("node:net").createServer();
     server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(server.address().port));`,
  ]);
  const [port] = await once(child.stdout, "data");
  child.kill("SIGSTOP");
  const sockets = Array.from({ length: 4 }, () => {
    const socket = connect({ port: Number(port), host: "127.0.0.1" });
    return socket.on("error", () => {});
  });
  await once(sockets[0]!, "connect");
  return {
    address: `127.0.0.1:${Number(port)}`,
    stop() {
      for (const socket of sockets) socket.destroy();
      child.kill("SIGKILL");
    },
  };
}

test.each(KINDS)(
  "a %s call to an address that can't be read was not sent",
  async (kind) => {
    for (const faulty of ["no address", "", "127.0.0.1:99999"]) {
      const result = await client(kind).call({
        method: "GET",
        address: faulty,
        path: "/",
        timeoutMs: 1_000,
      });
      expect(result._unsafeUnwrapErr()).toEqual({ kind: "notSent" });
    }
  },
);

// The parser takes any three digits for a status.
test.each(
  KINDS.flatMap((kind) =>
    ["000", "099", "600", "999"].map((status) => ({ kind, status }))
  ),
)(
  "a response with status $status on a $kind connection is a failure",
  async ({ kind, status }) => {
    onRequest = (socket) =>
      socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`);
    const result = await client(kind).call(post());
    expect(result._unsafeUnwrapErr()).toEqual({ kind: "lost" });
  },
);
