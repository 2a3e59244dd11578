import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { EventSplitter, MAX_EVENT_BYTES } from "./event_splitter.ts";

const PIECE = Buffer.alloc(65_536, "a");
const EVENT = Buffer.from("id: 1\ndata: a\n\n");

test("Events are split wherever the chunks of bytes end", () => {
  const bytes = Buffer.concat([EVENT, Buffer.from("id: 2\r\ndata: b\r\n\r\n")]);
  for (let size = 1; size <= bytes.length; size += 1) {
    const splitter = new EventSplitter();
    const ids: (string | null)[] = [];
    for (let at = 0; at < bytes.length; at += size) {
      const events = splitter.push(bytes.subarray(at, at + size));
      ids.push(...events.map(({ id }) => id));
    }
    expect(ids).toEqual(["1", "2"]);
    expect(splitter.pendingBytes).toBe(0);
    expect(splitter.overflowed).toBe(false);
  }
});

test("An event without end is not buffered beyond the limit", () => {
  const splitter = new EventSplitter();
  splitter.push(EVENT);
  let pushed = 0;
  for (; !splitter.overflowed && pushed < 2 * MAX_EVENT_BYTES;) {
    expect(splitter.push(PIECE)).toEqual([]);
    expect(splitter.pendingBytes).toBeLessThanOrEqual(MAX_EVENT_BYTES);
    pushed += PIECE.length;
  }
  expect(pushed).toBe(MAX_EVENT_BYTES + PIECE.length);
  expect(splitter.push(EVENT)).toEqual([]);
  expect(splitter.pendingBytes).toBe(0);
  expect(splitter.overflowed).toBe(true);
});

test("Events before one without end are returned", () => {
  const splitter = new EventSplitter();
  const events = splitter.push(
    Buffer.concat([EVENT, Buffer.alloc(MAX_EVENT_BYTES + 1, "a")]),
  );
  expect(events.map(({ id }) => id)).toEqual(["1"]);
  expect(splitter.overflowed).toBe(true);
});

test("An event of the largest size is passed on", () => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.alloc(MAX_EVENT_BYTES, "a"));
  expect(splitter.overflowed).toBe(false);
  expect(splitter.push(Buffer.from("\n\n"))).toHaveLength(1);
});

test(
  "An event that arrives byte by byte takes time in proportion to its size",
  () => {
    const splitter = new EventSplitter();
    const byte = Buffer.from("a");
    for (let sent = 0; sent < MAX_EVENT_BYTES; sent += 1) splitter.push(byte);
    expect(splitter.push(Buffer.from("\n\n"))).toHaveLength(1);
  },
  30_000,
);
