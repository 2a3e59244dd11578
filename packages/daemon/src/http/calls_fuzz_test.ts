/** Fuzzes the clients that keep connections or open one for each call; see `runAnswerFuzz`. */
import fc from "fast-check";
import { test } from "vitest";
import {
  chooseLimitMs,
  findTrueEnds,
  type ServedAnswer,
  wasTimeoutDue,
} from "../testing/answers/answer_oracle.ts";
import {
  type AnswerPlan,
  answerPlans,
  bodyOf,
  writeAnswer,
} from "../testing/answers/answer_script.ts";
import type { AnswerServer } from "../testing/answers/answer_server.ts";
import { runAnswerFuzz } from "../testing/answers/run_answer_fuzz.ts";
import {
  createFreshClient,
  createKeepAliveClient,
  type HttpCall,
  type HttpClient,
  type HttpFailure,
  type HttpResponse,
} from "./calls.ts";

const LARGE_REQUEST_BYTES = 2_000_000;
const RESPONSE_LIMIT_BYTES = 100_000;

interface CallPlan {
  readonly answer: AnswerPlan;
  /** Null for a limit that only silence reaches. */
  readonly timeoutMs: number | null;
  readonly isRequestLarge: boolean;
  /** Whether the client is closed while the call is in flight, and when. */
  readonly closeAfterMs: number | null;
}

const callPlans: fc.Arbitrary<CallPlan> = fc.record({
  answer: answerPlans(),
  timeoutMs: fc.oneof(
    { weight: 1, arbitrary: fc.integer({ min: 1, max: 60 }) },
    { weight: 6, arbitrary: fc.constant(null) },
  ),
  isRequestLarge: fc.oneof(
    { weight: 1, arbitrary: fc.constant(true) },
    { weight: 9, arbitrary: fc.constant(false) },
  ),
  closeAfterMs: fc.oneof(
    { weight: 1, arbitrary: fc.integer({ min: 0, max: 10 }) },
    { weight: 9, arbitrary: fc.constant(null) },
  ),
});

let lastPath = 0;

async function makeCall(
  client: HttpClient,
  { server, plan, isFirst }: {
    server: AnswerServer;
    plan: CallPlan;
    isFirst: boolean;
  },
): Promise<string[]> {
  const { answer, isRequestLarge, closeAfterMs } = plan;
  const script = writeAnswer(answer, bodyOf(answer));
  const served = { plan: answer, script, isRequestLarge };
  // A connection that is reused isn't accepted again.
  const neverReads = !isFirst && answer.begins === "when accepted";
  const timeoutMs = plan.timeoutMs ?? chooseLimitMs(served, { neverReads });
  const path = `/${lastPath += 1}`;
  server.answers.clear();
  server.answers.set(path, { plan: answer, script });
  const call: HttpCall = {
    method: isRequestLarge ? "POST" : "GET",
    address: server.address,
    path,
    timeoutMs,
  };
  if (isRequestLarge) call.body = "x".repeat(LARGE_REQUEST_BYTES);
  const beganAtMs = performance.now();
  let isClosed = false;
  const timer = closeAfterMs === null ? undefined : setTimeout(() => {
    isClosed = true;
    void client.close();
  }, closeAfterMs);
  const result = await client.call(call);
  clearTimeout(timer);
  const elapsedMs = performance.now() - beganAtMs;
  // The end of a kept connection that comes from an earlier answer ends this one too.
  const endsByEarlier = server.reusing.has(path) && answer.framing === "none";
  if (result.isOk()) {
    return checkResponse(result.value, { served, endsByEarlier });
  }
  const wasReceived = server.received.has(path);
  // The server may end a kept connection just before the request, or beside its answer.
  const isReused = !isFirst && (!wasReceived || server.reusing.has(path));
  const isAllowed = isClosed || (isReused && result.error.kind === "lost");
  return isAllowed ? [] : checkFailure(result.error, {
    served,
    wasReceived,
    hasTimedOut: wasTimeoutDue(timeoutMs, elapsedMs),
  });
}

function checkResponse(
  { status, text }: HttpResponse,
  { served, endsByEarlier }: { served: ServedAnswer; endsByEarlier: boolean },
): string[] {
  const found: string[] = [];
  const { body } = served.script;
  const isTrue = endsByEarlier || findTrueEnds(served).has("end");
  if (!isTrue) found.push("end of a broken answer");
  if (status !== served.plan.status) found.push(`status ${status}`);
  if (text !== body.toString("latin1")) found.push("other bytes");
  if (body.length > RESPONSE_LIMIT_BYTES) found.push("too large");
  return found;
}

function checkFailure(
  { kind }: HttpFailure,
  { served, wasReceived, hasTimedOut }: {
    served: ServedAnswer;
    wasReceived: boolean;
    hasTimedOut: boolean;
  },
): string[] {
  const trueEnds = findTrueEnds(served);
  const isTooLarge = served.script.body.length > RESPONSE_LIMIT_BYTES;
  const isTrue = kind === "lost"
    ? trueEnds.has("lost") || isTooLarge
    : kind === "timeout"
    ? hasTimedOut
    : !wasReceived;
  return isTrue ? [] : [`${kind}: true are ${[...trueEnds].join()}`];
}

test.each([
  ["reuses connections", createKeepAliveClient],
  ["opens one for each call", createFreshClient],
])(
  "a client that %s tells how its calls ended, whatever a server sends and however it ends",
  async (_name, createClient) => {
    await runAnswerFuzz(
      fc.array(callPlans, { minLength: 1, maxLength: 3 }),
      async (server, plans) => {
        const client = createClient({
          responseLimitBytes: RESPONSE_LIMIT_BYTES,
        });
        const found: string[] = [];
        for (const [index, plan] of plans.entries()) {
          const isFirst = index === 0;
          found.push(...await makeCall(client, { server, plan, isFirst }));
        }
        await client.close();
        return found;
      },
    );
  },
);
