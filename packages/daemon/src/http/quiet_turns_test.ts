import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { awaitQuietTurns } from "./quiet_turns.ts";

const TURN_MS = 2;
const MAX_TURNS = 1_000;

let nowMs = 0;

beforeEach(() => {
  nowMs = 0;
  vi.spyOn(performance, "now").mockImplementation(() => nowMs);
});

afterEach(() => {
  vi.restoreAllMocks();
});

/** Plays turns until what arrived counts as quiet; returns how many it took, or null. */
async function play(
  arrive: (
    turn: number,
  ) => { connections: number; requests: number; isUnread?: boolean },
): Promise<number | null> {
  const total = { connections: 0, requests: 0 };
  let hasUnread = false;
  let isQuiet = false;
  const quiet = awaitQuietTurns(() => ({
    ...total,
    hasUnread: () => hasUnread,
  }))
    .then(() => (isQuiet = true));
  for (let turn = 0; turn < MAX_TURNS; turn += 1) {
    const { connections, requests, isUnread = false } = arrive(turn);
    hasUnread = isUnread;
    total.connections += connections;
    total.requests += requests;
    nowMs += TURN_MS;
    await new Promise((resolve) => setImmediate(resolve));
    if (isQuiet) return turn;
  }
  await Promise.race([quiet, Promise.resolve()]);
  return null;
}

test("A backlog is accepted and read to its end", async () => {
  const turns = await play((turn) => ({
    connections: turn < 100 ? 1 : 0,
    requests: turn < 102 ? 1 : 0,
  }));
  expect(turns).toBeGreaterThanOrEqual(102);
  expect(turns).toBeLessThan(120);
});

test("Connections that come again and again don't keep a stop from ending", async () => {
  const arrivesIn = (turn: number) => turn % 3 !== 0;
  const turns = await play((turn) => ({
    connections: arrivesIn(turn) ? 1 : 0,
    requests: arrivesIn(turn) ? 1 : 0,
  }));
  expect(turns).not.toBeNull();
  expect(turns! * TURN_MS).toBeLessThan(1_000);
});

test("Requests on kept connections don't keep a stop from ending", async () => {
  const turns = await play(() => ({ connections: 0, requests: 1 }));
  expect(turns).not.toBeNull();
  expect(turns! * TURN_MS).toBeLessThan(1_000);
});

test("Requests that wait behind others on their connections are read to their end", async () => {
  const turns = await play((turn) => ({
    connections: 0,
    requests: 1,
    isUnread: turn < 600,
  }));
  expect(turns).toBeGreaterThanOrEqual(600);
  expect(turns).toBeLessThan(620);
});

test("A turn in which the process stood still doesn't count as quiet", async () => {
  const turns = await play((turn) => {
    if (turn === 2) nowMs += 800;
    const arrives = turn >= 3 && turn < 50;
    return { connections: arrives ? 1 : 0, requests: arrives ? 1 : 0 };
  });
  expect(turns).toBeGreaterThanOrEqual(50);
});

test("While each turn accepts a connection, others may wait", async () => {
  expect(await play(() => ({ connections: 1, requests: 1 }))).toBeNull();
});
