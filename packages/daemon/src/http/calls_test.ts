import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { callHttp, createFreshAgent, failureOf } from "./calls.ts";

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server?.closeAllConnections();
  server = undefined;
});

function listen(
  handle: Parameters<typeof createServer>[1],
): Promise<string> {
  server = createServer({}, handle);
  return new Promise((resolve) =>
    server!.listen(0, "127.0.0.1", () => {
      const { port } = server!.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    })
  );
}

function post(address: string) {
  return callHttp(createFreshAgent(), {
    method: "POST",
    address,
    path: "/filings",
    body: "{}",
    timeoutMs: 5_000,
  });
}

test("A refused connection proves that nothing was sent", async () => {
  const address = await listen(() => {});
  await new Promise((resolve) => server!.close(resolve));
  const answer = await post(address);
  expect(answer._unsafeUnwrapErr()).toEqual({ kind: "notSent" });
});

test("A connection that breaks after the request may have run it, and nothing is repeated", async () => {
  let requests = 0;
  const address = await listen((incoming) => {
    requests += 1;
    incoming.socket.destroy();
  });
  const answer = await post(address);
  expect(answer._unsafeUnwrapErr()).toEqual({ kind: "lost" });
  expect(requests).toBe(1);
});

test("An unreachable host proves nothing once the connection was open", () => {
  const error = Object.assign(new Error("read EHOSTUNREACH"), {
    code: "EHOSTUNREACH",
    syscall: "read",
  });
  expect(failureOf(error)).toEqual({ kind: "lost" });
});
