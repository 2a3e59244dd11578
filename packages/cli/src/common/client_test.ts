import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect, test } from "vitest";
import { callAdmin } from "./client.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const ENDS: Record<string, (socket: Socket) => void> = {
  "nothing, and is closed": (socket) => void socket.end(),
  "nothing, and is reset": (socket) => void socket.resetAndDestroy(),
  "no answer": (socket) => void socket.end("no answer\r\n\r\n"),
  "half an answer, and is closed": (socket) =>
    void socket.end(`${HEAD}Content-Length: 9\r\n\r\n{"a"`),
  "half an answer, and is reset": (socket) => {
    socket.write(`${HEAD}\r\n{"a"`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  "half an answer in chunks of one byte, and is reset": (socket) => {
    const chunks = "1\r\n \r\n".repeat(100_000);
    socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunks}`);
    setTimeout(() => socket.resetAndDestroy(), 5);
  },
  "no JSON": (socket) => void socket.end(`${HEAD}\r\n{`),
};

test.each(Object.entries(ENDS))(
  "a VM that sends the operators' tool %s is told as one that doesn't answer",
  async (_name, end) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => end(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const vm = `127.0.0.1:${port}`;
    await expect(callAdmin({ vm, tokenFile: undefined }, "/v1/vms"))
      .rejects.toThrow(`No answer from ${vm}`);
    server.close();
  },
);
