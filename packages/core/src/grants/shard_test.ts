import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { EndpointSchema } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import { asId, type EndpointId, type RequestKey } from "../common/ids.ts";
import { reserveThenPrefill } from "./policies/reserve_then_prefill.ts";
import { Shard } from "./shard.ts";
import type { GrantAnswer, GrantRequest, ShardPlan } from "./types.ts";

const MODEL = "m";
let granted = 0;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

function createPlan(prefills = 1, decodes = 1): ShardPlan {
  const endpoint = (kind: "prefill" | "decode", at: number) =>
    EndpointSchema.parse({
      id: `${kind}-${at}`,
      kind,
      address: `${kind}-${at}`,
      dataCentre: "a",
      model: MODEL,
    });
  return {
    name: "m/all",
    model: asId(MODEL),
    prefills: Array.from(
      { length: prefills },
      (_, at) => endpoint("prefill", at),
    ),
    decodes: Array.from({ length: decodes }, (_, at) => endpoint("decode", at)),
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
    nextGrantId: () => `g${granted += 1}`,
  });
}

function reportAll(shard: Shard, plan: ShardPlan): void {
  for (const one of [...plan.prefills, ...plan.decodes]) {
    shard.state.applyReport(report(one.id), performance.now());
  }
}

function createShard(
  plan = createPlan(),
  weights: Record<string, number> = {},
) {
  const shard = openShard(plan, weights);
  reportAll(shard, plan);
  // The warm-up of a new home is over.
  vi.advanceTimersByTime(3_000);
  return shard;
}

function request(key: string, changes: Partial<GrantRequest> = {}) {
  const one: GrantRequest = {
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
  return one;
}

/** Ends a grant's prefill and starts its decode, so that the replicas take the next. */
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
  for (let at = 0; at < count; at += 1) {
    const answer = await shard.request(request(`fill-${at}`));
    answers.push(await runToDecode(shard, answer));
  }
  return answers;
}

test("A slot is reserved before the prefill, and no more slots than there are", async () => {
  const shard = createShard();
  await fill(shard, 4);
  const answer = shard.request(request("fifth"));
  await vi.advanceTimersByTimeAsync(700);
  expect(await answer).toMatchObject({
    kind: "refused",
    reason: "no-capacity",
  });
});

test("A waiting request is granted once a slot ends, and refused no later than it can be in time", async () => {
  const shard = createShard();
  const [first] = await fill(shard, 4);
  const waiting = shard.request(request("waits"));
  await vi.advanceTimersByTimeAsync(100);
  shard.applyProgress(first!.grant, { kind: "ended", generatedTokens: 50 });
  expect(await waiting).toMatchObject({ kind: "granted" });
  let refusedAtMs: number | undefined;
  const askedAtMs = performance.now();
  void shard.request(request("late")).then(() => {
    refusedAtMs = performance.now() - askedAtMs;
  });
  await vi.advanceTimersByTimeAsync(700);
  expect(refusedAtMs).toBeLessThan(600);
});

test("A prompt that can't be done before its deadline is refused at once", async () => {
  const shard = createShard();
  const answer = await shard.request(
    request("long", { promptTokens: 30_000, deadlineInMs: 200 }),
  );
  expect(answer).toMatchObject({
    kind: "refused",
    reason: "deadline-unreachable",
  });
});

test("Many more than can be served are refused at once, with a time to come back", async () => {
  const shard = createShard();
  await fill(shard, 4);
  const answers: GrantAnswer[] = [];
  for (let at = 0; at < 20; at += 1) {
    void shard.request(request(`x${at}`)).then((one) => answers.push(one));
  }
  await vi.advanceTimersByTimeAsync(0);
  expect(answers.length).toBeGreaterThanOrEqual(15);
  for (const answer of answers) {
    expect(answer).toMatchObject({ kind: "refused", reason: "no-capacity" });
    expect(answer.kind === "refused" && answer.retryAfterMs)
      .toBeGreaterThanOrEqual(250);
  }
});

test("Memory is counted, not slots alone", async () => {
  const shard = createShard();
  const big = { promptTokens: 5_000 };
  await runToDecode(shard, await shard.request(request("big-1", big)));
  await runToDecode(shard, await shard.request(request("big-2", big)));
  // 2 prompts hold 314 of 400 pieces; a third of 157 doesn't fit, a small one does.
  const third = shard.request(request("big-3", big));
  expect(await shard.request(request("small", { promptTokens: 300 })))
    .toMatchObject({ kind: "granted" });
  await vi.advanceTimersByTimeAsync(700);
  expect(await third).toMatchObject({ kind: "refused" });
});

test("A leaving replica gets no grant, whether the report or the manifest says so", async () => {
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

test("A replica in `avoid` is not taken", async () => {
  const shard = createShard(createPlan(1, 2));
  const avoid = [asId<EndpointId>("decode-1")];
  expect(await shard.request(request("a", { avoid }))).toMatchObject({
    decode: "decode-0",
  });
});

test("A withdrawn request is answered, and frees what it was granted", async () => {
  const shard = createShard();
  const answers = await fill(shard, 4);
  const waits = shard.request(request("waits"));
  const key: RequestKey = asId("w/waits");
  expect(shard.withdraw(key)).toBe(true);
  expect(await waits).toMatchObject({ kind: "refused", reason: "cancelled" });
  expect(shard.withdraw(key)).toBe(false);
  expect(shard.withdraw(asId("w/fill-0"))).toBe(true);
  expect(await shard.request(request("next"))).toMatchObject({
    kind: "granted",
  });
  expect(answers).toHaveLength(4);
});

test("A suspect runs alone, and nothing joins it", async () => {
  const shard = createShard(createPlan(1, 2));
  const first = await shard.request(request("one"));
  await runToDecode(shard, first);
  const alone = await shard.request(request("suspect", { alone: true }));
  await runToDecode(shard, alone);
  if (first.kind !== "granted" || alone.kind !== "granted") throw new Error();
  expect(alone.decode).not.toBe(first.decode);
  const next = await shard.request(request("next"));
  expect(next).toMatchObject({ kind: "granted", decode: first.decode });
});

test("A new home counts what owners register with it", async () => {
  const shard = createShard();
  for (let at = 0; at < 4; at += 1) {
    const held = {
      request: request(`held-${at}`),
      prefill: asId<EndpointId>("prefill-0"),
      decode: asId<EndpointId>("decode-0"),
      grant: asId<never>(`old-${at}`),
      phase: "decode" as const,
      generatedTokens: 10,
    };
    expect(shard.register(held)).toBe(true);
  }
  const answer = shard.request(request("fifth"));
  await vi.advanceTimersByTimeAsync(700);
  expect(await answer).toMatchObject({ kind: "refused" });
});

test("A prompt too long for the target is served when there is room, and answered while its owner waits", async () => {
  const shard = createShard(createPlan(2, 1));
  const long = { promptTokens: 9_000, firstTokenInMs: 300 };
  expect(await shard.request(request("served", long))).toMatchObject({
    kind: "granted",
  });
  // Its prefill keeps one of two replicas busy, and late requests leave the other to the rest.
  const second = shard.request(request("second", long));
  await vi.advanceTimersByTimeAsync(301);
  expect(await second).toMatchObject({ kind: "refused" });
});

test("A prompt that fits no replica is refused at once", async () => {
  const shard = createShard();
  const answer = await shard.request(request("huge", { promptTokens: 80_000 }));
  expect(answer).toMatchObject({ kind: "refused", reason: "no-capacity" });
});

test("Requests that meet a home before its first load reports wait for them", async () => {
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
