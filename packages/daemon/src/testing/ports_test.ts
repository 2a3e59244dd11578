import { expect, test, vi } from "vitest";
import { freePort } from "./ports.ts";

test("Test ports are never ones that fetch refuses to connect to", async () => {
  for (let count = 0; count < 15_000; count += 1) {
    const port = await freePort();
    const failure = await fetch(`http://127.0.0.1:${port}`)
      .catch((error) => String(error.cause));
    expect(failure).not.toContain("bad port");
  }
});

// Stands for two processes whose ids led to the same ports.
test("Test processes are never given the same port", async () => {
  vi.resetModules();
  const other = await import("./ports.ts");
  const own = await Promise.all(Array.from({ length: 100 }, freePort));
  const others = await Promise.all(
    Array.from({ length: 100 }, () => other.freePort()),
  );
  expect(own.filter((port) => others.includes(port))).toEqual([]);
});
