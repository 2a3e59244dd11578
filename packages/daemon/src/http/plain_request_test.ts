import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { plainRequestAt } from "./plain_request.ts";

const HEAD = "GET /a?b=c HTTP/1.1\r\nHost: vm\r\nAccept: */*\r\n";

const PLAIN: Record<string, string> = {
  "without a body": `${HEAD}\r\n`,
  "that keeps its connection": `${HEAD}Connection: keep-alive\r\n\r\n`,
  "with an empty body":
    "POST /a HTTP/1.1\r\nhost: vm\r\ncontent-length: 0\r\n\r\n",
  "with a body": "POST /a HTTP/1.1\r\nhost: vm\r\ncontent-length: 2\r\n\r\nab",
};

test.each(Object.keys(PLAIN))(
  "A request %s is skipped up to the next one",
  (name) => {
    const request = PLAIN[name]!;
    const expected = { sizeBytes: request.length, isHead: false };
    expect(plainRequestAt(Buffer.from(request))).toEqual(expected);
    const withNext = Buffer.from(request + HEAD);
    expect(plainRequestAt(withNext)).toEqual(expected);
  },
);

test("A request for a head alone is told apart", () => {
  const request = plainRequestAt(
    Buffer.from("HEAD /a HTTP/1.1\r\nHost: vm\r\n\r\n"),
  );
  expect(request?.isHead).toBe(true);
});

const OTHERS: Record<string, string> = {
  "that isn't whole": HEAD,
  "whose body isn't whole":
    "POST /a HTTP/1.1\r\nhost: vm\r\ncontent-length: 3\r\n\r\nab",
  "with a large body":
    `POST /a HTTP/1.1\r\nhost: vm\r\ncontent-length: 10000\r\n\r\n${
      "a".repeat(10_000)
    }`,
  "with two lengths": `${HEAD}Content-Length: 0\r\nContent-Length: 5\r\n\r\n`,
  "with a list of lengths": `${HEAD}Content-Length: 0, 5\r\n\r\n`,
  "with a signed length": `${HEAD}Content-Length: +0\r\n\r\n`,
  "in chunks": `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  "in chunks, with a space before the colon":
    `${HEAD}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n`,
  "that waits for leave to send its body":
    `${HEAD}Expect: 100-continue\r\n\r\n`,
  "that changes the protocol": `${HEAD}Upgrade: websocket\r\n\r\n`,
  "that closes its connection": `${HEAD}Connection: close\r\n\r\n`,
  "that closes its connection by an old name":
    `${HEAD}Proxy-Connection: close\r\n\r\n`,
  "of an older protocol": "GET /a HTTP/1.0\r\nHost: vm\r\n\r\n",
  "for a tunnel": "CONNECT vm:80 HTTP/1.1\r\nHost: vm\r\n\r\n",
  "with a folded line": `${HEAD}X-A: b\r\n c\r\n\r\n`,
  "with a bare line feed": `${HEAD}X-A: b\nContent-Length: 5\r\n\r\n`,
  "with a bare carriage return": `${HEAD}X-A: b\rContent-Length: 5\r\n\r\n`,
  "with a bare blank line": `GET /a HTTP/1.1\r\nHost: vm\n\n${HEAD}\r\n`,
  "with a control character": `${HEAD}X-A: \0\r\n\r\n`,
  "without fields": "GET /a HTTP/1.1\r\n\r\n",
  "behind a blank line": `\r\n${HEAD}\r\n`,
};

test.each(Object.keys(OTHERS))(
  "A request %s is left to the parser",
  (name) => {
    expect(plainRequestAt(Buffer.from(OTHERS[name]!))).toBeNull();
  },
);
