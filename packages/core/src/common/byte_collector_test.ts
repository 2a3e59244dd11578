import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { ByteCollector, CollectorPool } from "./byte_collector.ts";

const KIB = 1_024;
const BYTE = Buffer.from("x");

function createPool(limitBytes = Infinity) {
  return new CollectorPool({ limitBytes });
}

// Guards against memory that grows with the number of pieces.
test("A long message of one-byte pieces is collected, in at most twice its size", () => {
  const pool = createPool();
  const collector = new ByteCollector({ limitBytes: 1_000 * KIB, pool });
  for (let sent = 0; sent < 300 * KIB; sent += 1) collector.add(BYTE);
  expect(pool.heldBytes).toBeLessThanOrEqual(600 * KIB);
  expect(collector.take()).toEqual(Buffer.alloc(300 * KIB, "x"));
  expect(pool.heldBytes).toBe(0);
});

test("A message beyond its limit is given up, and its memory is freed", () => {
  const pool = createPool();
  const collector = new ByteCollector({ limitBytes: 2 * KIB, pool });
  expect(collector.add(Buffer.alloc(2 * KIB))).toBe(true);
  expect(collector.add(BYTE)).toBe(false);
  expect(collector.overflowed).toBe(true);
  expect(collector.take()).toBeNull();
  expect(pool.heldBytes).toBe(0);
});

test("When the memory of all messages is used up, the largest is given up", () => {
  const pool = createPool(64 * KIB);
  const collect = () => new ByteCollector({ limitBytes: 1_000 * KIB, pool });
  const large = collect();
  large.add(Buffer.alloc(40 * KIB));
  const small = Array.from({ length: 20 }, collect);
  for (const collector of small) {
    expect(collector.add(Buffer.alloc(2 * KIB))).toBe(true);
  }
  expect(large.add(BYTE)).toBe(false);
  expect(small.every(({ overflowed }) => !overflowed)).toBe(true);
  expect(pool.heldBytes).toBeLessThanOrEqual(64 * KIB);
});

test("The first bytes can be dropped", () => {
  const collector = new ByteCollector({ limitBytes: KIB, pool: createPool() });
  collector.add(Buffer.from("abc"));
  collector.drop(2);
  collector.add(Buffer.from("d"));
  expect(collector.bytes.toString()).toBe("cd");
});
