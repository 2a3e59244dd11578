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
  createFreshCaller,
  createKeepAliveCaller,
  type HttpCall,
  type HttpCaller,
} from "./calls.ts";

type Behaviour = (socket: Socket, request: string) => void;

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

let server: Server;
let address: string;
let behave: Behaviour;
/** Every request that arrived, with the number of its connection. */
let requests: { connection: number; text: string }[];
let connections: Socket[];
const callers: HttpCaller[] = [];

beforeEach(async () => {
  requests = [];
  connections = [];
  behave = (socket) => socket.write(ANSWER);
  server = createServer((socket) => {
    const connection = connections.push(socket);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      requests.push({ connection, text: String(chunk) });
      behave(socket, String(chunk));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(async () => {
  await Promise.all(callers.splice(0).map((caller) => caller.close()));
  for (const socket of connections) socket.destroy();
  server.close();
});

function caller(kind: "kept" | "fresh"): HttpCaller {
  const created = kind === "kept"
    ? createKeepAliveCaller()
    : createFreshCaller();
  callers.push(created);
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

/** The library takes a connection up again one turn after its answer. */
async function nextTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
}

const BOTH = ["kept", "fresh"] as const;
const METHODS = ["GET", "POST", "PUT", "DELETE"];
const EACH_PATH = BOTH.flatMap((kind) =>
  METHODS.map((method) => ({ kind, method }))
);

test.each(EACH_PATH)(
  "sends a $method once when a $kind connection breaks before the answer",
  async ({ kind, method }) => {
    behave = (socket) => socket.destroy();
    const body = method === "GET" ? undefined : "{}";
    const answer = await caller(kind).call(post({ method, body }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(1);
  },
);

test.each(EACH_PATH)(
  "sends a $method once when a $kind connection breaks in the answer",
  async ({ kind, method }) => {
    behave = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
      socket.end();
    };
    const body = method === "GET" ? undefined : "{}";
    const answer = await caller(kind).call(post({ method, body }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(1);
  },
);

test.each(EACH_PATH)(
  "sends a $method once when a used $kind connection resets it",
  async ({ kind, method }) => {
    const used = caller(kind);
    await used.call(post());
    behave = (socket) => socket.resetAndDestroy();
    const body = method === "GET" ? undefined : "{}";
    const answer = await used.call(post({ method, body }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "lost" });
    expect(requests).toHaveLength(2);
  },
);

test.each(BOTH)("does not pipeline on %s connections", async (kind) => {
  const used = caller(kind);
  await used.call(post());
  const held: Socket[] = [];
  const arrived = deferred();
  behave = (socket) => {
    held.push(socket);
    if (held.length === 5) arrived.resolve();
  };
  const answers = Array.from({ length: 5 }, () => used.call(post()));
  await arrived.promise;
  expect(new Set(held).size).toBe(5);
  for (const socket of held) socket.write(ANSWER);
  for (const answer of await Promise.all(answers)) {
    expect(answer._unsafeUnwrap().text).toBe("ok");
  }
});

test.each(BOTH)(
  "a refused %s connection proves that nothing was sent",
  async (kind) => {
    const refusing = `127.0.0.1:${await freePort()}`;
    const answer = await caller(kind).call(post({ address: refusing }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "notSent" });
  },
);

test("a code that an established connection reports too proves nothing", () => {
  const onWrite = { code: "EHOSTUNREACH", syscall: "write" };
  const onConnect = { code: "EHOSTUNREACH", syscall: "connect" };
  const onRead = { code: "ECONNREFUSED", syscall: "read" };
  expect(classifyError(Object.assign(new Error(), onWrite)).kind).toBe("lost");
  expect(classifyError(Object.assign(new Error(), onRead)).kind).toBe("lost");
  expect(classifyError(Object.assign(new Error(), onConnect)).kind).toBe(
    "notSent",
  );
});

test.each(BOTH)(
  "a %s call whose time is up closes its connection",
  async (kind) => {
    const closed = deferred();
    behave = (socket) => socket.once("close", closed.resolve);
    const answer = await caller(kind).call(post({ timeoutMs: 100 }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
    await closed.promise;
    expect(requests).toHaveLength(1);
  },
);

test.each(BOTH)(
  "a %s call whose time is up in the answer closes its connection",
  async (kind) => {
    const closed = deferred();
    behave = (socket) => {
      socket.once("close", closed.resolve);
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
    };
    const answer = await caller(kind).call(post({ timeoutMs: 100 }));
    expect(answer._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
    await closed.promise;
  },
);

test("after a timeout a kept caller takes a new connection, whichever went silent", async () => {
  const kept = caller("kept");
  const both = deferred();
  behave = () => requests.length === 2 && both.resolve();
  const first = [kept.call(post()), kept.call(post())];
  await both.promise;
  for (const socket of connections) socket.write(ANSWER);
  await Promise.all(first);
  await nextTurn();
  behave = (socket) => {
    const silent = connections.indexOf(socket) < 2;
    if (!silent) socket.write(ANSWER);
  };
  const silenced = await kept.call(post({ timeoutMs: 100 }));
  expect(silenced._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
  const repeated = await kept.call(post());
  expect(repeated._unsafeUnwrap().text).toBe("ok");
  expect(requests.at(-1)!.connection).toBe(3);
});

test("a kept caller keeps its connection while all goes well", async () => {
  const kept = caller("kept");
  for (let at = 0; at < 3; at += 1) {
    await kept.call(post());
    await nextTurn();
  }
  expect(new Set(requests.map((one) => one.connection))).toEqual(new Set([1]));
});

test("every fresh call has a connection of its own, closed afterwards", async () => {
  const fresh = caller("fresh");
  for (let at = 0; at < 3; at += 1) {
    await fresh.call(post());
    const socket = connections.at(-1)!;
    if (!socket.closed) await once(socket, "close");
  }
  expect(requests.map((one) => one.connection)).toEqual([1, 2, 3]);
});

test("an answer over the limit is lost rather than kept in memory", async () => {
  const limited = createFreshCaller({ responseLimitBytes: 1_000 });
  callers.push(limited);
  behave = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n`);
    socket.write("x".repeat(4_000));
  };
  const answer = await limited.call(post());
  expect(answer._unsafeUnwrapErr()).toEqual({ kind: "lost" });
});

test("A call ends in time where connections are never taken", async () => {
  const silent = await startSilentHost();
  try {
    for (const kind of ["kept", "fresh"] as const) {
      const startedMs = performance.now();
      const answer = await caller(kind).call(
        post({ address: silent.address, timeoutMs: 300 }),
      );
      expect(answer.isErr()).toBe(true);
      expect(performance.now() - startedMs).toBeLessThan(900);
    }
  } finally {
    silent.stop();
  }
});

/** Stops a listening process once its queue of connections is full, so that it answers no handshake. */
async function startSilentHost() {
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
