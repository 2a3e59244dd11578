import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { EndpointSchema } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import { asId, type EndpointId, type RequestKey } from "../common/ids.ts";
import { reserveThenPrefill } from "./policies/reserve_then_prefill.ts";
import { Shard } from "./shard.ts";
import type { GrantAnswer, GrantRequest, ShardPlan } from "./types.ts";

const MODEL = "m";
let lastGrantId = 0;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

function createPlan(prefills = 1, decodes = 1): ShardPlan {
  const endpoint = (kind: "prefill" | "decode", index: number) =>
    EndpointSchema.parse({
      id: `${kind}-${index}`,
      kind,
      address: `${kind}-${index}`,
      dataCentre: "a",
      model: MODEL,
    });
  return {
    name: "m/all",
    model: asId(MODEL),
    prefills: Array.from(
      { length: prefills },
      (_, index) => endpoint("prefill", index),
    ),
    decodes: Array.from(
      { length: decodes },
      (_, index) => endpoint("decode", index),
    ),
  };
}

function report(id: EndpointId, changes: Partial<LoadReport> = {}): LoadReport {
  return {
    endpoint: id,
    boot: "1",
    ageMs: 0,
    state: "live",
    role: id.startsWith("prefill") ? "prefill" : "decode",
    models: [MODEL],
    slots: 4,
    memoryPieces: 400,
    runs: [],
    queuedTokens: 0,
    ...changes,
  };
}

function openShard(plan: ShardPlan, weights: Record<string, number> = {}) {
  return new Shard({
    plan,
    policy: reserveThenPrefill,
    settings: () => ({
      betweenTokensTargetMs: 28,
      prefillWasteWeight: 1,
      weightOf: (workspace) => weights[workspace] ?? 1,
    }),
    random: () => 0.5,
    nextGrantId: () => `g${lastGrantId += 1}`,
  });
}

function reportAll(shard: Shard, plan: ShardPlan): void {
  for (const endpoint of [...plan.prefills, ...plan.decodes]) {
    shard.state.applyReport(report(endpoint.id), performance.now());
  }
}

function createShard(
  plan = createPlan(),
  weights: Record<string, number> = {},
) {
  const shard = openShard(plan, weights);
  reportAll(shard, plan);
  // Skips the warm-up of a new home, during which it leaves a share free.
  vi.advanceTimersByTime(3_000);
  return shard;
}

function request(key: string, changes: Partial<GrantRequest> = {}) {
  const grantRequest: GrantRequest = {
    key: asId(`w/${key}`),
    stream: asId(`s-${key}`),
    owner: asId("vm-1"),
    workspace: asId("w"),
    model: asId(MODEL),
    promptTokens: 1_000,
    blocks: [],
    maxTokens: 400,
    firstTokenInMs: 600,
    deadlineInMs: 30_000,
    avoid: [],
    alone: false,
    ...changes,
  };
  return grantRequest;
}

/**
 * Ends a grant's prefill and starts its decode phase, after which the prefill
 * replica can take the next request.
 */
async function runToDecode(shard: Shard, answer: GrantAnswer) {
  if (answer.kind !== "granted") throw new Error(`Refused: ${answer.reason}`);
  await vi.advanceTimersByTimeAsync(40);
  shard.applyProgress(answer.grant, { kind: "prefillEnded" });
  await vi.advanceTimersByTimeAsync(30);
  shard.applyProgress(answer.grant, { kind: "decodeStarted" });
  return answer;
}

async function fill(shard: Shard, count: number) {
  const answers = [];
  for (let index = 0; index < count; index += 1) {
    const answer = await shard.request(request(`fill-${index}`));
    answers.push(await runToDecode(shard, answer));
  }
  return answers;
}

test("No more decode slots are granted than exist", async () => {
  const shard = createShard();
  await fill(shard, 4);
  const answer = shard.request(request("fifth"));
  await vi.advanceTimersByTimeAsync(700);
  expect(await answer).toMatchObject({
    kind: "refused",
    reason: "no-capacity",
  });
});

test("A queued request is granted when a slot becomes free, and refused once it can no longer be in time", async () => {
  const shard = createShard();
  const [first] = await fill(shard, 4);
  const waiting = shard.request(request("waits"));
  await vi.advanceTimersByTimeAsync(100);
  shard.applyProgress(first!.grant, { kind: "ended", generatedTokens: 50 });
  expect(await waiting).toMatchObject({ kind: "granted" });
  let refusedAtMs: number | undefined;
  const requestedAtMs = performance.now();
  void shard.request(request("late")).then(() => {
    refusedAtMs = performance.now() - requestedAtMs;
  });
  await vi.advanceTimersByTimeAsync(700);
  expect(refusedAtMs).toBeLessThan(600);
});

test("A prompt that can't finish before its deadline is refused at once", async () => {
  const shard = createShard();
  const answer = await shard.request(
    request("long", { promptTokens: 30_000, deadlineInMs: 200 }),
  );
  expect(answer).toMatchObject({
    kind: "refused",
    reason: "deadline-unreachable",
  });
});

test("In an overload most requests are refused at once, with a time to retry", async () => {
  const shard = createShard();
  await fill(shard, 4);
  const answers: GrantAnswer[] = [];
  for (let index = 0; index < 20; index += 1) {
    void shard.request(request(`x${index}`)).then((answer) =>
      answers.push(answer)
    );
  }
  await vi.advanceTimersByTimeAsync(0);
  expect(answers.length).toBeGreaterThanOrEqual(15);
  for (const answer of answers) {
    expect(answer).toMatchObject({ kind: "refused", reason: "no-capacity" });
    expect(answer.kind === "refused" && answer.retryAfterMs)
      .toBeGreaterThanOrEqual(250);
  }
});

test("Grants are limited by memory, not only by slots", async () => {
  const shard = createShard();
  const big = { promptTokens: 5_000 };
  await runToDecode(shard, await shard.request(request("big-1", big)));
  await runToDecode(shard, await shard.request(request("big-2", big)));
  // 2 prompts occupy 314 of 400 KV cache blocks; a third with 157 blocks
  // doesn't fit, a small one does.
  const third = shard.request(request("big-3", big));
  expect(await shard.request(request("small", { promptTokens: 300 })))
    .toMatchObject({ kind: "granted" });
  await vi.advanceTimersByTimeAsync(700);
  expect(await third).toMatchObject({ kind: "refused" });
});

test("A replica that is leaving by its report or by the manifest gets no grant", async () => {
  const byReport = createShard(createPlan(1, 2));
  const leaving = asId<EndpointId>("decode-0");
  byReport.state.applyReport(
    report(leaving, { state: "leaving" }),
    performance.now(),
  );
  expect(await byReport.request(request("a"))).toMatchObject({
    decode: "decode-1",
  });
  const plan = createPlan(1, 2);
  const byManifest = createShard(plan);
  const decodes = plan.decodes.map((one) =>
    one.id === leaving ? { ...one, state: "leaving" as const } : one
  );
  byManifest.setPlan({ ...plan, decodes });
  expect(await byManifest.request(request("b"))).toMatchObject({
    decode: "decode-1",
  });
});

test("A replica in `avoid` is not granted", async () => {
  const shard = createShard(createPlan(1, 2));
  const avoid = [asId<EndpointId>("decode-1")];
  expect(await shard.request(request("a", { avoid }))).toMatchObject({
    decode: "decode-0",
  });
});

test("Withdrawing refuses a queued request, and frees the slot of a granted one", async () => {
  const shard = createShard();
  const answers = await fill(shard, 4);
  const waiting = shard.request(request("waits"));
  const key: RequestKey = asId("w/waits");
  expect(shard.withdraw(key)).toBe(true);
  expect(await waiting).toMatchObject({ kind: "refused", reason: "cancelled" });
  expect(shard.withdraw(key)).toBe(false);
  expect(shard.withdraw(asId("w/fill-0"))).toBe(true);
  expect(await shard.request(request("next"))).toMatchObject({
    kind: "granted",
  });
  expect(answers).toHaveLength(4);
});

test("A suspect runs isolated, and no other run joins its replica", async () => {
  const shard = createShard(createPlan(1, 2));
  const first = await shard.request(request("one"));
  await runToDecode(shard, first);
  const suspect = await shard.request(request("suspect", { alone: true }));
  await runToDecode(shard, suspect);
  if (first.kind !== "granted" || suspect.kind !== "granted") throw new Error();
  expect(suspect.decode).not.toBe(first.decode);
  const next = await shard.request(request("next"));
  expect(next).toMatchObject({ kind: "granted", decode: first.decode });
});

test("A new home counts the grants that owners register with it", async () => {
  const shard = createShard();
  for (let index = 0; index < 4; index += 1) {
    const held = {
      request: request(`held-${index}`),
      prefill: asId<EndpointId>("prefill-0"),
      decode: asId<EndpointId>("decode-0"),
      grant: asId<never>(`old-${index}`),
      phase: "decode" as const,
      generatedTokens: 10,
    };
    expect(shard.register(held)).toBe(true);
  }
  const answer = shard.request(request("fifth"));
  await vi.advanceTimersByTimeAsync(700);
  expect(await answer).toMatchObject({ kind: "refused" });
});

test("A prompt too long for the first-token target is granted if there is spare capacity, otherwise refused when that target has passed", async () => {
  const shard = createShard(createPlan(2, 1));
  const long = { promptTokens: 9_000, firstTokenInMs: 300 };
  expect(await shard.request(request("served", long))).toMatchObject({
    kind: "granted",
  });
  // Its prefill keeps one of the two replicas busy, and late requests leave the
  // other idle for requests in time.
  const second = shard.request(request("second", long));
  await vi.advanceTimersByTimeAsync(301);
  expect(await second).toMatchObject({ kind: "refused" });
});

test("A prompt too large for every replica is refused at once", async () => {
  const shard = createShard();
  const answer = await shard.request(request("huge", { promptTokens: 80_000 }));
  expect(answer).toMatchObject({ kind: "refused", reason: "no-capacity" });
});

test("Requests that arrive before a home's first load reports wait for them", async () => {
  const plan = createPlan(2, 2);
  const shard = openShard(plan);
  const answers = ["a", "b", "c", "d"].map((key) =>
    shard.request(request(key))
  );
  await vi.advanceTimersByTimeAsync(20);
  reportAll(shard, plan);
  shard.dispatch();
  await vi.advanceTimersByTimeAsync(200);
  for (const answer of await Promise.all(answers)) {
    expect(answer.kind).toBe("granted");
  }
});
