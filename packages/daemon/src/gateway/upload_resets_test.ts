// Guards against a part of an answer that counts as complete, as its connection was reset
// while the request was still being written.
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { openExchange } from "./fresh_exchange.ts";

/** Above what the kernel buffers for a peer that doesn't read. */
const UPLOAD = Buffer.alloc(12 * 1_024 * 1_024, "u");
const HEAD = "HTTP/1.1 200 OK\r\n";
const ROUNDS = 12;

let server: Server;
let address: string;
let respond: (socket: Socket) => void;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      respond(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => server.close());

/** Uploads a long body, and returns how the exchange ended. */
function upload(pauses: boolean): Promise<string> {
  return new Promise((resolve) => {
    const exchange = openExchange({
      address,
      method: "POST",
      path: "/",
      headers: [],
      body: UPLOAD,
      connectTimeoutMs: 1_000,
      firstByteMs: 3_000,
      wholeMs: 3_000,
    }, {
      onHead: () => {},
      onData: () => {
        if (pauses) setTimeout(() => exchange.resume(), 5);
        return !pauses;
      },
      onEnd: () => resolve("end"),
      onFailure: ({ kind }) => resolve(kind),
    });
  });
}

const RESETS: Record<string, (socket: Socket, text: string) => void> = {
  "at once": (socket, text) => {
    socket.write(text);
    socket.resetAndDestroy();
  },
  "once it is written": (socket, text) => {
    socket.write(text, () => socket.resetAndDestroy());
  },
  "some milliseconds later": (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), 5 * Math.random());
  },
  "later": (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), 40);
  },
  "by a close with unread bytes": (socket, text) => {
    socket.write(text, () => socket.destroy());
  },
  "by a close that no unread bytes precede": (socket, text) => {
    socket.write(text, () => {
      // What has arrived is read first, so that the close is a regular one until more
      // of the upload comes.
      socket.on("data", () => socket.destroy());
      socket.resume();
    });
  },
  "by a half-close that is followed by a close": (socket, text) => {
    socket.end(text);
    setTimeout(() => socket.resetAndDestroy(), 5);
  },
  "while the upload is read on": (socket, text) => {
    socket.write(text);
    socket.resume();
    setTimeout(() => socket.resetAndDestroy(), 3 * Math.random());
  },
};

const FORMS: Record<string, string> = {
  "without a length": "\r\npart",
  "without a length, to be closed": "Connection: close\r\n\r\npart",
  "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
  "with a length": "Content-Length: 10\r\n\r\npart",
};

const CASES = Object.keys(FORMS).flatMap((form) =>
  Object.keys(RESETS).flatMap((reset) =>
    [false, true].map((pauses) => ({ form, reset, pauses }))
  )
);

test.each(CASES)(
  "an answer $form that is reset $reset, during the upload, is lost (reader pauses: $pauses)",
  async ({ form, reset, pauses }) => {
    respond = (socket) => RESETS[reset]!(socket, HEAD + FORMS[form]);
    const ends: string[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      ends.push(await upload(pauses));
    }
    expect(ends).toEqual(Array(ROUNDS).fill("lost"));
  },
);
