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

test("A shared first part whose answers had begun is spared by crashes that are noted without their causes", async () => {
  const tracker = new CrashTracker();
  tracker.noteBegun(promptWith("first"));
  await vi.advanceTimersByTimeAsync(100);
  for (let crashes = 0; crashes < 4; crashes += 1) {
    crash(tracker, [promptWith("first")]);
    expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
  }
});

test("A shared first part is spared once its answers go on elsewhere after the crashes", async () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("first")]);
  }
  expect(isQuarantined(tracker, promptWith("first"))).toBe(true);
  await vi.advanceTimersByTimeAsync(300);
  tracker.noteBegun(promptWith("first"));
  expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
});

test("A part whose answers begin but that crashes every engine is found after five crashes", async () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 5; crashes += 1) {
    expect(isQuarantined(tracker, promptWith("bad"))).toBe(false);
    tracker.noteBegun(promptWith("bad"));
    await vi.advanceTimersByTimeAsync(100);
    crash(tracker, [promptWith("bad")]);
  }
  expect(isQuarantined(tracker, promptWith("bad"))).toBe(true);
});

test("A stream that is resumed after crashes is not quarantined while a part explains most of them", () => {
  const tracker = new CrashTracker();
  const resumed = promptWith("first");
  crash(tracker, [resumed, promptWith("first")]);
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [resumed, promptWith("first", "bad")]);
  }
  expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
  expect(isQuarantined(tracker, resumed)).toBe(false);
});

test("A request that crashes engines beside a crashing part is quarantined after five crashes", () => {
  const tracker = new CrashTracker();
  const poison = promptWith("first");
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [poison, promptWith("first", "bad")]);
  }
  crash(tracker, [poison]);
  crash(tracker, [poison]);
  expect(isQuarantined(tracker, poison)).toBe(true);
});

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

test("A part that crashes engines once an answer has begun doesn't cost the first part that it shares", async () => {
  const tracker = new CrashTracker();
  crash(tracker, [promptWith("first")]);
  for (let crashes = 0; crashes < 8; crashes += 1) {
    const crashing = promptWith("first", "crashing");
    tracker.noteBegun(crashing);
    await vi.advanceTimersByTimeAsync(100);
    crash(tracker, [crashing]);
    await vi.advanceTimersByTimeAsync(400);
  }
  expect(isQuarantined(tracker, promptWith("first", "crashing"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
});

test("A first part that is alone in three crashes isn't blamed in place of the part that explains most of its crashes", () => {
  const tracker = new CrashTracker();
  const alone = () => crash(tracker, [promptWith("first")]);
  const crashing = () => crash(tracker, [promptWith("first", "bad")]);
  for (const next of [crashing, alone, crashing, alone, crashing, crashing]) {
    next();
  }
  expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
  alone();
  expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
});

test("The quarantine of a first part ends once a part that follows it explains most of its crashes", () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("first")]);
  }
  expect(isQuarantined(tracker, promptWith("first"))).toBe(true);
  for (let crashes = 0; crashes < 4; crashes += 1) {
    crash(tracker, [promptWith("first", "bad")]);
  }
  expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
});

test("A shared first part whose answers go on is spared by three crashes without their cause beside a part that explains three", async () => {
  const tracker = new CrashTracker();
  tracker.noteBegun(promptWith("first"));
  await vi.advanceTimersByTimeAsync(100);
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("first", "bad")]);
    crash(tracker, [promptWith("first")]);
  }
  expect(isQuarantined(tracker, promptWith("first", "bad"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("first"))).toBe(false);
});

test("A first part that crashes engines is found although one that follows it explains as many crashes", () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 4; crashes += 1) {
    crash(tracker, [promptWith("bad", "specific")]);
  }
  for (let crashes = 0; crashes < 4; crashes += 1) {
    expect(isQuarantined(tracker, promptWith("bad"))).toBe(false);
    crash(tracker, [promptWith("bad")]);
  }
  expect(isQuarantined(tracker, promptWith("bad"))).toBe(true);
});

/** A crash of the endpoint with the given id, as this VM learns of it. */
function crashAt(
  tracker: CrashTracker,
  { id, requests }: { id: string; requests: readonly RoutedRequest[] },
): void {
  crash(tracker, requests, entry(id));
}

test("A stream broken off in three crashes, one of them alone, is spared while a part was at more of them (soak 42123)", () => {
  const tracker = new CrashTracker();
  const resumed = promptWith("aa02");
  const other = promptWith("aa01");
  crashAt(tracker, { id: "i-6", requests: [resumed] });
  crashAt(tracker, { id: "i-9", requests: [other] });
  crashAt(tracker, { id: "i-7", requests: [promptWith("aa01")] });
  crashAt(tracker, {
    id: "i-8",
    requests: [resumed, other, promptWith("aa01")],
  });
  crashAt(tracker, {
    id: "i-10",
    requests: [promptWith("aa02", "bad0"), promptWith("aa02")],
  });
  crashAt(tracker, {
    id: "i-13",
    requests: [resumed, promptWith("aa02", "bad0")],
  });
  expect(isQuarantined(tracker, resumed)).toBe(false);
});

test("A first part that was alone in three crashes is free again once the VM that sent the crashing requests reports, however late (soak 42123)", async () => {
  const ids = ["i-7", "i-8", "i-9"];
  const paused = new CrashTracker();
  const tracker = new CrashTracker();
  for (const id of ids) {
    paused.noteLost(promptWith("aa01", "bad1"), entry(id));
    crashAt(tracker, { id, requests: [promptWith("aa01")] });
  }
  paused.discountLosses({ service: entry("i-7").service, stage: null });
  await vi.advanceTimersByTimeAsync(1_300);
  paused.addReports(tracker.evidence.reports());
  tracker.addReports(paused.evidence.reports());
  expect(isQuarantined(tracker, promptWith("aa01", "bad1"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("aa01"))).toBe(false);
});

test("The trial of a part that was alone in crashes goes to a request without a further unknown part, for a second (soak 42123)", async () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("first")]);
  }
  await vi.advanceTimersByTimeAsync(10_500);
  expect(await tracker.admit(promptWith("first", "new"))).not.toBe("trial");
  expect(await tracker.admit(promptWith("first"))).toBe("trial");
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await tracker.admit(promptWith("first", "new"))).toBe("trial");
});

test("A further part that is answered elsewhere doesn't delay the trial of a part", async () => {
  const tracker = new CrashTracker();
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("first")]);
  }
  tracker.noteBegun(promptWith("other", "sound"));
  await vi.advanceTimersByTimeAsync(10_100);
  expect(await tracker.admit(promptWith("first", "sound"))).toBe("trial");
});

test("A first part that crashes engines is found although requests with a further part run beside it most times", async () => {
  const tracker = new CrashTracker();
  tracker.noteBegun(promptWith("hot", "popular"));
  await vi.advanceTimersByTimeAsync(100);
  for (let crashes = 0; crashes < 5; crashes += 1) {
    crash(tracker, [promptWith("bad"), promptWith("hot", "popular")]);
  }
  crash(tracker, [promptWith("bad")]);
  expect(isQuarantined(tracker, promptWith("bad"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("hot", "popular"))).toBe(false);
});

test("Two parts whose answers begin, and that crash engines together and alone, are both found", async () => {
  const tracker = new CrashTracker();
  for (const part of ["bad-1", "bad-2"]) tracker.noteBegun(promptWith(part));
  await vi.advanceTimersByTimeAsync(100);
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(tracker, [promptWith("bad-1"), promptWith("bad-2")]);
    crash(tracker, [promptWith("bad-1")]);
    crash(tracker, [promptWith("bad-2")]);
  }
  expect(isQuarantined(tracker, promptWith("bad-1"))).toBe(true);
  expect(isQuarantined(tracker, promptWith("bad-2"))).toBe(true);
});
