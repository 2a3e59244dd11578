/** Tests the admin, peer and caller interfaces of one daemon over real sockets. */
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  MODEL,
  PEER_SECRET,
  SERVICE,
  startTestDeployment,
  type TestDeployment,
  TOKENS,
} from "../testing/deployment.ts";

let deployment: TestDeployment;

beforeAll(async () => {
  deployment = await startTestDeployment();
});

afterAll(() => deployment.close());

interface Options {
  token?: string;
  method?: string;
  body?: unknown;
  headers?: Record<string, string>;
}

async function send(address: string, path: string, options: Options = {}) {
  const answer = await fetch(`http://${address}${path}`, {
    method: options.method ?? (options.body === undefined ? "GET" : "POST"),
    headers: {
      ...options.headers,
      ...(options.token ? { authorization: `Bearer ${options.token}` } : {}),
    },
    body: options.body === undefined ? null : JSON.stringify(options.body),
  });
  const text = await answer.text();
  const type = answer.headers.get("content-type") ?? "";
  return {
    status: answer.status,
    headers: answer.headers,
    // deno-lint-ignore no-explicit-any
    body: (type.includes("json") ? JSON.parse(text) : text) as any,
  };
}

const admin = (path: string, options?: Options) =>
  send(deployment.admin, path, options);
const callers = (path: string, options?: Options) =>
  send(deployment.callers, path, options);

test.each([
  undefined,
  "wrong",
  TOKENS.lender,
  PEER_SECRET,
])("the admin interface rejects the token %s", async (token) => {
  const answer = await admin("/admin/vms", { token });
  expect(answer.status).toBe(401);
  expect(answer.body).toMatchObject({
    verdict: "notRun",
    reason: "unauthenticated",
  });
});

test("every role may read", async () => {
  const tokens = [
    TOKENS.first,
    TOKENS.administrator,
    TOKENS.operator,
    TOKENS.reader,
  ];
  for (const token of tokens) {
    const vms = await admin("/admin/vms", { token });
    expect(vms.body).toMatchObject([{ id: "vm-1", state: "live" }]);
  }
});

test("endpoints are listed with their load", async () => {
  const { body } = await admin("/admin/endpoints", { token: TOKENS.reader });
  expect(body).toHaveLength(4);
  expect(body[0]).toMatchObject({
    id: "decode-1",
    kind: "decode",
    serves: MODEL,
    load: { usedSlots: 0, slots: 20, memoryPieces: 2_000 },
  });
  expect(body[2]).toMatchObject({ serves: SERVICE, load: null });
});

test("only administrators see full hashes", async () => {
  const path = "/admin/configuration";
  const hashes = async (token: string) => {
    const { body } = await admin(path, { token });
    return body.bodies.workspaces[0].tokens[0].hash.length;
  };
  expect(await hashes(TOKENS.administrator)).toBe(64);
  expect(await hashes(TOKENS.operator)).toBe(8);
  expect(await hashes(TOKENS.reader)).toBe(8);
});

test("a reader may not change anything", async () => {
  const answer = await admin("/admin/summaries/lenders%2Fone/cancel", {
    token: TOKENS.reader,
    body: {},
  });
  expect(answer.status).toBe(403);
  expect(answer.body.reason).toBe("forbidden");
});

test("an operator may change only its own workspaces", async () => {
  const cancel = (key: string) =>
    admin(`/admin/summaries/${encodeURIComponent(key)}/cancel`, {
      token: TOKENS.operator,
      body: {},
    });
  expect((await cancel("offices/one")).status).toBe(403);
  expect((await cancel("lenders/absent")).status).toBe(404);
});

test("an operator cancels a running summary, and its caller receives the reason", async () => {
  const answer = callers("/v1/completions", {
    token: TOKENS.lender,
    headers: { "idempotency-key": "long" },
    body: { model: MODEL, prompt: "Long. [length=600]" },
  });
  await expect.poll(async () => {
    const { body } = await admin("/admin/summaries", { token: TOKENS.reader });
    return body.map((run: { key: string }) => run.key);
  }, { timeout: 10_000 }).toContain("lenders/lender-1/long");
  const cancelled = await admin("/admin/summaries/lenders%2Flong/cancel", {
    token: TOKENS.operator,
    body: {},
  });
  expect(cancelled.body).toEqual({ key: "lenders/long", vm: "vm-1" });
  const { body } = await answer;
  expect(body).toMatchObject({ verdict: "mayHaveRun", reason: "cancelled" });
});

test("shows the state of a call", async () => {
  const submitted = await callers(`/v1/services/${SERVICE}/filings`, {
    token: TOKENS.lender,
    headers: { "idempotency-key": "filing-1" },
    body: { house: 1 },
  });
  expect(submitted.status).toBe(201);
  await expect.poll(async () => {
    const path = "/admin/calls/lenders%2Ffiling-1";
    const { body } = await admin(path, { token: TOKENS.reader });
    return body;
  }, { timeout: 5_000 }).toMatchObject({
    key: "lenders/filing-1",
    caller: "lender-1",
    attempt: 1,
  });
  const absent = await admin("/admin/calls/lenders%2Fabsent", {
    token: TOKENS.reader,
  });
  expect(absent.status).toBe(404);
});

test("metrics count refusals by reason and show open connections and streams", async () => {
  await callers("/v1/absent", { token: TOKENS.lender });
  const { body } = await admin("/metrics");
  expect(body).toMatch(
    /teaselvalve_refusals_total\{reason="not-found"\} [1-9]/,
  );
  expect(body).toContain('teaselvalve_connections{interface="callers"}');
  expect(body).toContain('teaselvalve_streams{interface="callers"} 0');
  const json = await admin("/admin/metrics", { token: TOKENS.reader });
  expect(json.body.map((metric: { name: string }) => metric.name))
    .toContain("teaselvalve_refusals_total");
});

test.each([undefined, "wrong", TOKENS.lender, TOKENS.first])(
  "the peer interface rejects the secret %s",
  async (token) => {
    const call = { jsonrpc: "2.0", id: 1, method: "summaries/cancel" };
    const answer = await send(deployment.peers, "/", { token, body: call });
    expect(answer.status).toBe(401);
  },
);

test.each([undefined, "wrong", TOKENS.revoked, TOKENS.expired, TOKENS.first])(
  "the caller interface rejects the token %s",
  async (token) => {
    const answer = await callers("/v1/completions", {
      token,
      body: { model: MODEL, prompt: "Hello" },
    });
    expect(answer.status).toBe(401);
    expect(answer.headers.get("content-type")).toBe("application/problem+json");
    expect(Number(answer.headers.get("retry-after"))).toBeGreaterThan(0);
  },
);

test("returns addresses without authentication", async () => {
  const { body } = await callers("/v1/addresses?data_centre=helsinki-a");
  expect(body).toEqual({
    addresses: [{
      vm: "vm-1",
      address: deployment.callers,
      dataCentre: "helsinki-a",
    }],
    ttlMs: 1_000,
  });
});

test("generates an idempotency key for a summary and returns it", async () => {
  const answer = await callers("/v1/completions", {
    token: TOKENS.lender,
    body: { model: MODEL, prompt: "Hello [length=2]" },
  });
  expect(answer.status).toBe(200);
  expect(answer.headers.get("idempotency-key")).toMatch(/^[0-9a-f-]{36}$/);
});

test("refuses a non-repeatable call without an idempotency key", async () => {
  const runs = deployment.service.runs.length;
  const answer = await callers(`/v1/services/${SERVICE}/filings`, {
    token: TOKENS.lender,
    body: {},
  });
  expect(answer.status).toBe(400);
  expect(answer.body.reason).toBe("missing-idempotency-key");
  expect(deployment.service.runs).toHaveLength(runs);
});

test("refuses malformed idempotency keys", async () => {
  const answer = await callers(`/v1/services/${SERVICE}/filings`, {
    token: TOKENS.lender,
    headers: { "idempotency-key": "x".repeat(300) },
    body: {},
  });
  expect(answer.body.reason).toBe("bad-request");
});

test("log lines of a request carry its id, and no line contains a token", async () => {
  const answer = await callers("/v1/absent", { token: TOKENS.lender });
  const id = answer.headers.get("request-id");
  await expect.poll(() => deployment.log.find((line) => line.request === id))
    .toMatchObject({
      event: "request",
      interface: "callers",
      status: 404,
      workspace: "lenders",
      reason: "not-found",
    });
  const lines = JSON.stringify(deployment.log);
  for (const secret of [...Object.values(TOKENS), PEER_SECRET]) {
    expect(lines).not.toContain(secret);
  }
});

test("a key used by one caller does not expose another caller's call", async () => {
  const submit = (token: string, body: unknown) =>
    callers(`/v1/services/${SERVICE}/filings`, {
      token,
      headers: { "idempotency-key": "shared" },
      body,
    });
  const first = await submit(TOKENS.lender, { house: 1 });
  expect(first.status).toBe(201);
  const runs = deployment.service.runs.length;
  const repeated = await submit(TOKENS.lender, { house: 1 });
  expect(repeated.body).toEqual(first.body);
  expect(repeated.headers.get("idempotency-replayed")).toBe("true");
  const other = await submit(TOKENS.otherLender, { house: 1 });
  const text = JSON.stringify(other.body);
  expect(text).not.toContain("registered");
  expect(deployment.service.runs).toHaveLength(runs);
  const elsewhere = await submit(TOKENS.office, { house: 1 });
  expect(elsewhere.status).toBe(201);
});

test("resuming another caller's summary gets the same response as an unknown one", async () => {
  const resume = (token: string, key: string) =>
    callers("/v1/completions", {
      token,
      headers: { "idempotency-key": key, "last-event-id": "3" },
      body: { model: MODEL, prompt: "Mine [length=30]", stream: true },
    });
  const own = callers("/v1/completions", {
    token: TOKENS.lender,
    headers: { "idempotency-key": "mine" },
    body: { model: MODEL, prompt: "Mine [length=30]", stream: true },
  });
  const [foreign, absent] = await Promise.all([
    resume(TOKENS.otherLender, "mine"),
    resume(TOKENS.otherLender, "absent"),
  ]);
  expect(foreign.status).toBe(absent.status);
  expect(foreign.body.reason ?? "").toBe(absent.body.reason ?? "");
  expect((await own).status).toBe(200);
});
