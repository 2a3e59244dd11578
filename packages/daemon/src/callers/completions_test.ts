import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { asId, type SummaryHandle } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { CompletionWriter } from "./completions.ts";

/** A response whose buffer is full after every write. */
class FullResponse extends EventEmitter {
  headersSent = false;
  written: string[] = [];
  writeHead() {
    this.headersSent = true;
  }
  write(text: string): boolean {
    this.written.push(text);
    return false;
  }
}

test("A run is paused while its caller does not read, and resumed afterwards", () => {
  const response = new FullResponse();
  const calls: string[] = [];
  const handle: SummaryHandle = {
    key: asId("lenders/lender-1/key"),
    cancel: () => calls.push("cancel"),
    pause: () => calls.push("pause"),
    resume: () => calls.push("resume"),
  };
  const writer = new CompletionWriter(response as unknown as ServerResponse, {
    metadata: {
      request: { request: "key", model: "m" } as never,
      chat: false,
      createdAtMs: 0,
    },
    stream: true,
    refuse: () => {},
  });
  writer.setHandle(handle);
  writer.write({ kind: "tokens", offset: 0, texts: [" a"] });
  writer.write({ kind: "tokens", offset: 1, texts: [" b"] });
  expect(calls).toEqual(["pause"]);
  response.emit("drain");
  expect(calls).toEqual(["pause", "resume"]);
  expect(response.written).toHaveLength(2);
});
