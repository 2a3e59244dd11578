import { Writable } from "node:stream";
import { asId, type VmId } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { createLog } from "./log.ts";

function capture(level: "debug" | "info") {
  const lines: string[] = [];
  const output = new Writable({
    write(chunk, _encoding, done) {
      lines.push(String(chunk));
      done();
    },
  });
  const log = createLog({ vm: asId<VmId>("vm-1"), level, output });
  return { log, lines };
}

test("writes one line of key=value pairs per event", () => {
  const { log, lines } = capture("info");
  log({ event: "request", request: "r-1", status: 200, complete: true });
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatch(
    /^time=\S+ level=info vm=vm-1 event=request request=r-1 status=200 complete=true\n$/,
  );
});

test("a value can't inject a pair or a line", () => {
  const { log, lines } = capture("info");
  log({ event: "request", path: '/a b=c\nlevel=error "x"', absent: undefined });
  expect(lines.join("")).toContain(
    String.raw`path="/a b=c\nlevel=error \"x\""`,
  );
  expect(lines.join("").split("\n")).toHaveLength(2);
});

test("omits events below the level", () => {
  const { log, lines } = capture("info");
  log({ event: "request", level: "debug" });
  log({ event: "vm-frozen", level: "warn" });
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain("level=warn");
});
