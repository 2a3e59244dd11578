import { expect, test } from "vitest";
import type { DecodeReservation } from "./decode_reservation.ts";
import { SendRace } from "./send_race.ts";
import type { StreamSend, StreamSendHooks } from "./stream_send.ts";

const BROKEN = new Error("broken port");
const RESERVATION = {} as DecodeReservation;

/** Races sends, of which each runs as its function says. */
function race(...runs: ((hooks: StreamSendHooks) => Promise<never>)[]) {
  const signals: AbortSignal[] = [];
  const result = new SendRace({
    createSend: (_reservation, hooks) => {
      const run = runs[signals.length]!;
      signals.push(hooks.signal);
      return {
        ordinal: signals.length,
        run: () => run(hooks),
      } as unknown as StreamSend;
    },
    reserveBackup: () => Promise.resolve(RESERVATION),
    release: () => {},
    onEnd: () => {},
    signal: new AbortController().signal,
  }).run(RESERVATION);
  return { result, signals };
}

test("An exception within a send of a stream fails its request, not the process", async () => {
  const { result } = race(() => Promise.reject(BROKEN));
  await expect(result).rejects.toBe(BROKEN);
});

test("An exception within a backup cancels the send that it backs up", async () => {
  const silent = (hooks: StreamSendHooks) => {
    hooks.onSilent();
    return new Promise<never>(() => {});
  };
  const { result, signals } = race(silent, () => Promise.reject(BROKEN));
  await expect(result).rejects.toBe(BROKEN);
  expect(signals.map(({ aborted }) => aborted)).toEqual([true, true]);
});
