import { Buffer } from "node:buffer";
import { expect, test, vi } from "vitest";
import { ByteCollector } from "./byte_collector.ts";
import { freeMemory, MemoryBudget } from "./memory_budget.ts";

const KIB = 1_024;
const BYTE = Buffer.from("x");

function createMemory(limitBytes = Infinity) {
  return new MemoryBudget({ limitBytes });
}

function createCollector(memory: MemoryBudget, limitBytes = 1_000 * KIB) {
  return new ByteCollector({ limitBytes, use: "answer", memory });
}

// Guards against memory that grows with the number of pieces.
test("A long message of one-byte pieces is collected, in at most twice its size", () => {
  const memory = createMemory();
  const collector = createCollector(memory);
  for (let sent = 0; sent < 300 * KIB; sent += 1) collector.add(BYTE);
  expect(memory.usedBytes()).toBeLessThanOrEqual(600 * KIB);
  const message = collector.take()!;
  expect(message).toEqual(Buffer.alloc(300 * KIB, "x"));
  freeMemory(message);
  expect(memory.usedBytes()).toBe(0);
});

test("A message beyond its limit is given up, and its memory is freed", () => {
  const memory = createMemory();
  const collector = createCollector(memory, 20 * KIB);
  expect(collector.add(Buffer.alloc(20 * KIB))).toBe("added");
  expect(collector.add(BYTE)).toBe("refused");
  expect(collector.failure).toBe("too-large");
  expect(collector.take()).toBeNull();
  expect(memory.usedBytes()).toBe(0);
});

// Guards against answers that are lost for the sake of messages that have just begun.
test("When the memory of all messages is used up, the newest is given up", () => {
  const memory = createMemory(100 * KIB);
  const large = createCollector(memory);
  expect(large.add(Buffer.alloc(50 * KIB))).toBe("added");
  const newest = createCollector(memory);
  expect(newest.add(Buffer.alloc(30 * KIB))).toBe("refused");
  expect(newest.failure).toBe("no-memory");
  expect(large.add(BYTE)).toBe("added");
  expect(large.take()!.length).toBe(50 * KIB + 1);
});

test("A message that can wait goes on once another has freed its memory", async () => {
  const memory = createMemory(1_000 * KIB);
  const first = createCollector(memory);
  first.expect(900 * KIB);
  first.add(Buffer.alloc(900 * KIB));
  const onRoom = vi.fn();
  const second = new ByteCollector({
    limitBytes: 800 * KIB,
    use: "answer",
    memory,
    onRoom,
  });
  expect(second.add(Buffer.alloc(100 * KIB, "a"))).toBe("waiting");
  expect(second.add(BYTE)).toBe("waiting");
  expect(onRoom).not.toHaveBeenCalled();
  first.discard();
  await vi.waitFor(() => expect(onRoom).toHaveBeenCalledOnce());
  expect(second.take()).toEqual(
    Buffer.concat([Buffer.alloc(100 * KIB, "a"), BYTE]),
  );
});

test("Messages that grow together never wait for one another's memory", async () => {
  const memory = createMemory(1_000 * KIB);
  const done: number[] = [];
  const collectors = [0, 1, 2].map((index) => {
    const collector = new ByteCollector({
      limitBytes: 800 * KIB,
      use: "answer",
      memory,
      onRoom: () => finish(index),
    });
    return collector;
  });
  const finish = (index: number) => {
    const collector = collectors[index]!;
    while (collector.sizeBytes < 700 * KIB) {
      if (collector.add(Buffer.alloc(10 * KIB)) === "waiting") return;
    }
    done.push(index);
    collector.discard();
  };
  // All have a part before any of them needs more.
  for (const collector of collectors) collector.add(Buffer.alloc(60 * KIB));
  for (const index of collectors.keys()) finish(index);
  await vi.waitFor(() => expect(done).toEqual([0, 1, 2]));
});

// Guards against bodies that stay in memory, beside the budget, as long as something refers to them.
test("A large message gives its memory back when it is freed, though it is still referred to", () => {
  const collector = createCollector(createMemory());
  collector.add(Buffer.alloc(100 * KIB, "a"));
  collector.add(Buffer.alloc(200 * KIB, "b"));
  const message = collector.take()!;
  expect(message.subarray(99 * KIB, 101 * KIB).toString()).toBe(
    "a".repeat(KIB) + "b".repeat(KIB),
  );
  freeMemory(message);
  expect(message.buffer.byteLength).toBe(0);
});

test("A message that exceeds its expected size is collected whole", () => {
  const collector = createCollector(createMemory());
  collector.expect(100 * KIB);
  for (let sent = 0; sent < 300; sent += 1) {
    collector.add(Buffer.alloc(KIB, sent));
  }
  const message = collector.take()!;
  expect(message.length).toBe(300 * KIB);
  expect([0, 99, 100, 299].map((at) => message[at * KIB])).toEqual(
    [0, 99, 100, 299 - 256],
  );
});
