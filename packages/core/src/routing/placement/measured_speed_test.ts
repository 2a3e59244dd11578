import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { MeasuredSpeed, StreamMeter } from "./measured_speed.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("The speed of a stream's events is measured from its first event on", () => {
  const speed = new MeasuredSpeed();
  const meter = new StreamMeter(speed);
  vi.advanceTimersByTime(900);
  for (let tokens = 7; tokens <= 70; tokens += 7) {
    meter.note(tokens);
    vi.advanceTimersByTime(40);
  }
  expect(speed.current()).toBeCloseTo(7 / 40, 3);
});

test("A caller that doesn't read doesn't make its engine count as slow", () => {
  const speed = new MeasuredSpeed();
  const meter = new StreamMeter(speed);
  for (let tokens = 7; tokens <= 140; tokens += 7) {
    meter.note(tokens);
    if (tokens === 70) {
      meter.pause();
      vi.advanceTimersByTime(1_500);
    }
    vi.advanceTimersByTime(40);
  }
  expect(speed.current()).toBeCloseTo(7 / 40, 2);
});

test("A measurement expires within seconds", () => {
  const speed = new MeasuredSpeed();
  speed.note(100, 1_000);
  vi.advanceTimersByTime(1_999);
  expect(speed.current()).toBe(0.1);
  vi.advanceTimersByTime(1);
  expect(speed.current()).toBeNull();
});
