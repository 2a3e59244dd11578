// Guards against links that count as lost for failures which answers have refuted.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId } from "../../common/ids.ts";
import { SendOutcomes } from "./send_outcomes.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const [A, B] = ["a", "b"].map((id) => asId<EndpointId>(id)) as [
  EndpointId,
  EndpointId,
];

test("An answer refutes the failed sends that began no later, whatever their endpoint", () => {
  const sends = new SendOutcomes();
  const startMs = performance.now();
  sends.noteFailed(A, startMs);
  vi.advanceTimersByTime(10);
  sends.noteFailed(B, startMs + 10);
  vi.advanceTimersByTime(10);
  expect(sends.failedAgoMs()).toEqual({ a: 20, b: 10 });
  sends.noteAnswered(B, startMs + 5);
  expect(sends.failedAgoMs()).toEqual({ b: 10 });
  sends.noteAnswered(B, startMs + 10);
  expect(sends.failedAgoMs()).toEqual({});
});

test("A failed send shows nothing any more after some seconds", () => {
  const sends = new SendOutcomes();
  sends.noteFailed(A, performance.now());
  vi.advanceTimersByTime(5_001);
  expect(sends.failedAgoMs()).toEqual({});
});

test("Only answers to sends that began after the failed one of the other VM are named", () => {
  const sends = new SendOutcomes();
  sends.noteAnswered(A, performance.now());
  sends.noteAnswered(B, performance.now());
  vi.advanceTimersByTime(100);
  expect(sends.answeredSince({ [A]: 150, [B]: 100 })).toEqual(["a"]);
  expect(sends.answeredSince({ [A]: 50, [B]: 0, [asId("c")]: 500 }))
    .toEqual([]);
});
