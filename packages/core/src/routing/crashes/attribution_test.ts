import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { entry, request } from "../testing/fake_endpoints.ts";
import { incarnationOf, type RoutedRequest } from "../types.ts";
import { CrashTracker } from "./tracker.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

let count = 0;

/** A request like no other, whose prompt has the given parts before its own. */
function promptWith(...parts: string[]): RoutedRequest {
  count += 1;
  return request({
    target: `/a/${count}`,
    prompt: {
      model: "m",
      promptTokens: 100,
      maxOutputTokens: 10,
      expectedOutputTokens: null,
      parts: [...parts, `own-${count}`].map((id) => ({ id, tokens: 10 })),
    },
  });
}

function crash(
  tracker: CrashTracker,
  requests: readonly RoutedRequest[],
  endpoint = entry(`e-${count += 1}`),
): void {
  for (const request of requests) tracker.noteLost(request, endpoint);
  tracker.noteEnd(endpoint);
}

function isQuarantined(tracker: CrashTracker, request: RoutedRequest) {
  return tracker.refusalOf(request) !== null;
}

test("Requests that a VM lost together with its links are suspects of crashes that other VMs report", async () => {
  const sender = new CrashTracker({
    check: () => Promise.resolve(false),
    confirmLinks: () => Promise.resolve(false),
  });
  const crashed = ["a", "b", "c"].map((id) => entry(id));
  for (const endpoint of crashed) {
    sender.noteLost(promptWith("first", "bad"), endpoint);
  }
  await vi.advanceTimersByTimeAsync(100);
  const linked = new CrashTracker();
  for (const endpoint of crashed) {
    crash(linked, [promptWith("first")], endpoint);
  }
  sender.discountLosses({ service: crashed[0]!.service, stage: null });
  expect(sender.evidence.isEmpty).toBe(true);
  sender.addReports(linked.evidence.reports());
  linked.addReports(sender.evidence.reports());
  for (const tracker of [sender, linked]) {
    expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
    expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
  }
});

test("Requests lost together with the links are no suspects of a crash that others see much later", async () => {
  const tracker = new CrashTracker();
  const endpoint = entry("a");
  tracker.noteLost(promptWith("sound"), endpoint);
  tracker.discountLosses({ service: endpoint.service, stage: null });
  await vi.advanceTimersByTimeAsync(2_000);
  const other = new CrashTracker();
  crash(other, [promptWith("first", "bad")], endpoint);
  tracker.addReports(other.evidence.reports());
  const { traits } = tracker.evidence.get(incarnationOf(endpoint))!;
  expect([...traits.keys()]).not.toContain("part/m/sound");
});
