import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../../common/ids.ts";
import { notRun } from "../../common/verdict.ts";
import { Router } from "../../routing/router.ts";
import {
  answer,
  context,
  entry,
  FakeEndpoints,
  request,
  route,
  table,
} from "../../routing/testing/fake_endpoints.ts";
import type { CreditRequest } from "./types.ts";
import { workspaceOf } from "./testing/credit_world.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const WORKSPACE = workspaceOf("w");
const UNLIMITED = { ...workspaceOf("u"), quota: null };
const SINK = { head() {}, write: () => true, onDrain() {} };

function setUp(port = new FakeEndpoints(), refusal = false) {
  const asked: CreditRequest[] = [];
  const returned: string[] = [];
  const shared = {
    ...context(port, [entry("a")]),
    credit: {
      admit: (each: CreditRequest) => {
        asked.push(each);
        return Promise.resolve(
          refusal
            ? err(notRun("quota-exceeded", { retryAfterMs: 1_234 }))
            : ok({ giveBack: () => void returned.push(each.workspace.id) }),
        );
      },
    },
  };
  const router = new Router(shared);
  router.setTable({ ...table(1), workspaces: [WORKSPACE, UNLIMITED] });
  const handle = (options: Parameters<typeof request>[0]) =>
    router.handle(request(options), {
      route: route(),
      sink: SINK,
      signal: new AbortController().signal,
    });
  return { asked, returned, handle, port };
}

const PROMPT = {
  model: "m",
  promptTokens: 3_200,
  maxOutputTokens: 510,
  expectedOutputTokens: null,
  parts: [],
};

test("A request is charged once, and waits for credit for a fifth of its target", async () => {
  const { asked, returned, handle } = setUp();
  const outcome = await handle({
    workspace: WORKSPACE.id,
    prompt: PROMPT,
    tokenCount: 3_710,
  });
  expect(outcome.kind).toBe("answered");
  expect(asked).toHaveLength(1);
  expect(asked[0]).toMatchObject({
    workspace: WORKSPACE,
    tokens: 3_710,
    waitMs: 30,
  });
  expect(returned).toEqual([]);
});

test("A request over the quota reaches no endpoint and is told when to retry", async () => {
  const { handle, port } = setUp(new FakeEndpoints(), true);
  expect(await handle({ workspace: WORKSPACE.id })).toEqual({
    kind: "refused",
    refusal: notRun("quota-exceeded", { retryAfterMs: 1_234 }),
  });
  expect(port.log).toEqual([]);
});

test("The charge of a request that did not run is given back", async () => {
  const port = new FakeEndpoints({
    call: () => Promise.resolve(err({ kind: "notSent" })),
  });
  const { returned, handle } = setUp(port);
  const outcome = await handle({ workspace: WORKSPACE.id });
  expect(outcome).toMatchObject({ refusal: { kind: "notRun" } });
  expect(returned).toEqual([WORKSPACE.id]);
});

test("The charge of a request that may have run is kept", async () => {
  const failing = new FakeEndpoints({
    call: () => Promise.resolve(err({ kind: "lost", detail: "reset" })),
  });
  const lost = setUp(failing);
  const outcome = await lost.handle({
    workspace: WORKSPACE.id,
    method: "POST",
  });
  expect(outcome).toMatchObject({ refusal: { kind: "mayHaveRun" } });
  const unhealthy = new FakeEndpoints({
    call: () => Promise.resolve(ok(answer(500))),
  });
  const answered = setUp(unhealthy);
  await answered.handle({ workspace: WORKSPACE.id });
  expect([...lost.returned, ...answered.returned]).toEqual([]);
});

test("Requests without a workspace or a quota, and those that another VM charged, are not charged", async () => {
  const { asked, handle } = setUp();
  await handle({});
  await handle({ workspace: UNLIMITED.id });
  await handle({ workspace: asId<WorkspaceId>("unknown") });
  const hop = { from: asId<never>("vm-2"), runs: 0, origin: null };
  await handle({ workspace: WORKSPACE.id, hop });
  expect(asked).toEqual([]);
});
