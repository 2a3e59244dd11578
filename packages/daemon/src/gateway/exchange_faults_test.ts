// Guards against errors of one outgoing connection that end the process or tell a wrong end.
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { wait } from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type ExchangeFailure,
  type ExchangeFault,
  type ExchangeListener,
  openExchange,
  type OutgoingExchange,
} from "./fresh_exchange.ts";

/** More than is read from a connection while its response is paused. */
const LARGE_BYTES = 40_000;
const SETTLE_MS = 100;

let server: Server;
let address: string;
let respond: (socket: Socket) => void;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => server.close());

interface Told {
  readonly ends: ("end" | ExchangeFailure["kind"])[];
  readonly faults: ExchangeFault[];
  bytes: number;
}

function open(
  listener: Partial<ExchangeListener>,
): { told: Told; exchange: OutgoingExchange } {
  const told: Told = { ends: [], faults: [], bytes: 0 };
  const exchange = openExchange({
    address,
    method: "GET",
    path: "/",
    headers: [],
    connectTimeoutMs: 1_000,
    firstByteMs: 1_000,
  }, {
    onHead: (status, headers) => listener.onHead?.(status, headers),
    onData: (bytes: Buffer) => {
      told.bytes += bytes.length;
      return listener.onData?.(bytes) ?? true;
    },
    onEnd: () => {
      told.ends.push("end");
      listener.onEnd?.();
    },
    onFailure: (failure) => {
      told.ends.push(failure.kind);
      listener.onFailure?.(failure);
    },
    onFault: (fault) => void told.faults.push(fault),
  });
  return { told, exchange };
}

const throwError = () => {
  throw new Error("broken listener");
};

test.each(
  [
    ["onHead", ["lost"], "body"],
    ["onData", ["lost"], "body"],
    ["onEnd", ["end"], "ended"],
  ] as const,
)(
  "an exception of a listener's %s ends its exchange once, and is told with its phase",
  async (name, ends, phase) => {
    respond = (socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const { told } = open({ [name]: throwError });
    await expect.poll(() => told.faults.length).toBe(1);
    expect(told.faults[0]).toMatchObject({ thrownIn: name, phase });
    expect(told.ends).toEqual(ends);
  },
);

test("an exception of a listener's onFailure is told, and ends nothing else", async () => {
  respond = (socket) => socket.resetAndDestroy();
  const { told } = open({ onFailure: throwError });
  await expect.poll(() => told.faults.length).toBe(1);
  expect(told.faults[0]).toMatchObject({ thrownIn: "onFailure" });
  expect(told.ends).toEqual(["lost"]);
});

test("an exception of a listener's onFailure for an address that can't be read ends nothing else", async () => {
  address = "no address";
  const { told } = open({ onFailure: throwError });
  await expect.poll(() => told.faults.length).toBe(1);
  expect(told.faults[0]).toMatchObject({ thrownIn: "onFailure" });
  expect(told.ends).toEqual(["notSent"]);
});

const BODY = "x".repeat(LARGE_BYTES);
const ANSWERS: Record<string, { text: string; end: "end" | "lost" }> = {
  "complete with a length": {
    text: `Content-Length: ${LARGE_BYTES}\r\n\r\n${BODY}`,
    end: "end",
  },
  "complete in chunks": {
    text: `Transfer-Encoding: chunked\r\n\r\n${
      LARGE_BYTES.toString(16)
    }\r\n${BODY}\r\n0\r\n\r\n`,
    end: "end",
  },
  "without a length": { text: `\r\n${BODY}`, end: "lost" },
  "incomplete with a length": {
    text: `Content-Length: ${LARGE_BYTES + 1}\r\n\r\n${BODY}`,
    end: "lost",
  },
  "incomplete in chunks": {
    text: `Transfer-Encoding: chunked\r\n\r\n${
      LARGE_BYTES.toString(16)
    }\r\n${BODY}\r\n`,
    end: "lost",
  },
};
const CASES = Object.entries(ANSWERS).flatMap(([form, { text, end }]) =>
  (["head", "body"] as const).map((pausedIn) =>
    [form, pausedIn, text, end] as const
  )
);

test.each(CASES)(
  "an answer that is %s and reset while paused in its %s is read to its true end",
  async (_form, pausedIn, text, end) => {
    respond = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${text}`, () => {
        setTimeout(() => socket.resetAndDestroy(), SETTLE_MS / 2);
      });
    };
    let hasPaused = false;
    const { told, exchange } = open({
      onHead: () => pausedIn !== "head",
      onData: () => {
        const reads = pausedIn !== "body" || hasPaused;
        hasPaused = true;
        return reads;
      },
    });
    await wait(2 * SETTLE_MS);
    expect(told.ends).toEqual([]);
    exchange.resume();
    await expect.poll(() => told.ends).toEqual([end]);
    expect(told.bytes).toBe(LARGE_BYTES);
    expect(told.faults).toEqual([]);
  },
);

test.each(["end", "reset"] as const)(
  "an answer without a length whose reader pauses again at its %s is read to its true end",
  async (end) => {
    respond = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nok", () => {
        setTimeout(() => {
          if (end === "end") socket.end();
          else socket.resetAndDestroy();
        }, SETTLE_MS / 2);
      });
    };
    let pauses = 0;
    const { told, exchange } = open({
      onData: () => {
        pauses += 1;
        if (pauses > 3) return true;
        setTimeout(() => exchange.resume(), SETTLE_MS);
        return false;
      },
    });
    await expect.poll(() => told.ends).toEqual([
      end === "end" ? "end" : "lost",
    ]);
    await wait(SETTLE_MS);
    expect(told.ends.length).toBe(1);
    expect(told.bytes).toBe(2);
    expect(told.faults).toEqual([]);
  },
);

test.each(["end", "lost"] as const)(
  "an answer in more chunks than are read in a turn goes on after it, to its true end (%s)",
  async (end) => {
    let connection: Socket | undefined;
    respond = (socket) => {
      connection = socket;
      socket.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
          "1\r\nx\r\n".repeat(LARGE_BYTES),
      );
    };
    const { told } = open({});
    await expect.poll(() => told.bytes).toBe(LARGE_BYTES);
    expect(told.ends).toEqual([]);
    if (end === "end") connection!.end("0\r\n\r\n");
    else connection!.resetAndDestroy();
    await expect.poll(() => told.ends).toEqual([end]);
    expect(told.bytes).toBe(LARGE_BYTES);
  },
);

test.each(["end", "lost"] as const)(
  "an answer without a length whose reader pauses at each piece is read to its true end (%s)",
  async (end) => {
    respond = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nx");
      if (end === "end") socket.end();
      else setTimeout(() => socket.resetAndDestroy(), SETTLE_MS / 2);
    };
    const { told, exchange } = open({
      onData: () => {
        setTimeout(() => exchange.resume(), SETTLE_MS);
        return false;
      },
    });
    await expect.poll(() => told.ends).toEqual([end]);
    expect(told).toMatchObject({ bytes: 1, faults: [] });
  },
);
