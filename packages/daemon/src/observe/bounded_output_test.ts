import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect, test } from "vitest";
import { createBoundedOutput } from "./bounded_output.ts";

const LINE = `${"x".repeat(99)}\n`;

test("Lines are written in order", () => {
  const path = join(tmpdir(), `output-${process.pid}-${Date.now()}`);
  const descriptor = openSync(path, "w");
  const output = createBoundedOutput({ descriptor, onDropped() {} });
  for (let line = 0; line < 100; line += 1) output.write(`line ${line}\n`);
  output.flush();
  closeSync(descriptor);
  const lines = readFileSync(path, "utf8").trim().split("\n");
  rmSync(path);
  expect(lines).toEqual(Array.from({ length: 100 }, (_, n) => `line ${n}`));
});

test("Without a reader, lines are dropped and counted, and writing does not block", async () => {
  // A child process that never reads its standard input simulates a stuck log collector.
  const child = spawn(process.execPath, ["-e", "setTimeout(() => {}, 60000)"], {
    stdio: ["pipe", "ignore", "ignore"],
  });
  await once(child, "spawn");
  child.kill("SIGSTOP");
  const { fd } = (child.stdin as unknown as { _handle: { fd: number } })
    ._handle;
  let dropped = 0;
  const output = createBoundedOutput({
    descriptor: fd,
    bufferBytes: 50_000,
    onDropped: (lines) => (dropped += lines),
  });
  const startedMs = performance.now();
  for (let line = 0; line < 20_000; line += 1) output.write(LINE);
  expect(performance.now() - startedMs).toBeLessThan(1_000);
  await expect.poll(() => dropped).toBeGreaterThan(10_000);
  child.kill("SIGKILL");
});
