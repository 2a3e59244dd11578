/** Tests a daemon with the OpenAI client library that callers already use. */
import { expectedAnswer } from "@teaselvalve/fakes";
import { measurePrompt } from "@teaselvalve/core";
import OpenAI, { APIError } from "openai";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  MODEL,
  startTestDeployment,
  type TestDeployment,
  TOKENS,
} from "../testing/deployment.ts";

const PROMPT = "Summarise the houses of this quarter. [length=24]";
const CHAT = [{ role: "user" as const, content: PROMPT }];

let deployment: TestDeployment;
let client: OpenAI;

beforeAll(async () => {
  deployment = await startTestDeployment();
  client = createClient(TOKENS.lender);
});

afterAll(() => deployment.close());

function createClient(apiKey: string, target = deployment): OpenAI {
  return new OpenAI({
    apiKey,
    baseURL: `http://${target.callers}/v1`,
    maxRetries: 0,
  });
}

async function captureError(work: Promise<unknown>): Promise<APIError> {
  const error = await work.then(() => null, (thrown: unknown) => thrown);
  expect(error).toBeInstanceOf(APIError);
  return error as APIError;
}

test("returns a completion as one response", async () => {
  const answer = await client.completions.create({
    model: MODEL,
    prompt: PROMPT,
  });
  expect(answer.choices[0]).toMatchObject({
    text: expectedAnswer(measurePrompt(PROMPT), 24),
    finish_reason: "stop",
  });
  expect(answer.usage?.completion_tokens).toBe(24);
});

test("streams a completion", async () => {
  const stream = await client.completions.create({
    model: MODEL,
    prompt: PROMPT,
    stream: true,
  });
  let text = "";
  let finish: string | null = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]!.text;
    finish = chunk.choices[0]!.finish_reason;
  }
  expect(text).toBe(expectedAnswer(measurePrompt(PROMPT), 24));
  expect(finish).toBe("stop");
});

test("stops at max_tokens", async () => {
  const answer = await client.completions.create({
    model: MODEL,
    prompt: PROMPT,
    max_tokens: 5,
  });
  expect(answer.choices[0]!.finish_reason).toBe("length");
  expect(answer.usage?.completion_tokens).toBe(5);
});

test("chat returns the same text with and without streaming", async () => {
  const whole = await client.chat.completions.create({
    model: MODEL,
    messages: CHAT,
  });
  const stream = await client.chat.completions.create({
    model: MODEL,
    messages: CHAT,
    stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]!.delta.content ?? "";
  }
  expect(whole.choices[0]!.message.content).toBe(text);
  expect(text.trim().split(" ")).toHaveLength(24);
});

test("an unknown token gets an authentication error with the reason as its code", async () => {
  const error = await captureError(
    createClient("wrong").completions.create({ model: MODEL, prompt: PROMPT }),
  );
  expect(error).toBeInstanceOf(OpenAI.AuthenticationError);
  expect(error.code).toBe("unauthenticated");
  expect(error.message).toContain("unauthenticated");
});

test("a bad request says which field is invalid", async () => {
  const error = await captureError(
    client.completions.create({ model: MODEL, prompt: 7 as never }),
  );
  expect(error).toBeInstanceOf(OpenAI.BadRequestError);
  expect(error.message).toContain("prompt");
});

test("an unknown model gets 404", async () => {
  const error = await captureError(
    client.completions.create({ model: "absent", prompt: PROMPT }),
  );
  expect(error).toBeInstanceOf(OpenAI.NotFoundError);
  expect(error.code).toBe("unknown-model");
});

test("closing a stream frees the engine's memory", async () => {
  const stream = await client.completions.create({
    model: MODEL,
    prompt: "Long. [length=900]",
    stream: true,
  });
  for await (const _chunk of stream) break;
  const held = () =>
    deployment.decodeEngines.flatMap((engine) => engine.heldRuns());
  await expect.poll(() => held().length, { timeout: 5_000 }).toBe(0);
});

test("a refusal says when to retry", async () => {
  const unconfigured = await startTestDeployment({ unconfigured: true });
  const error = await captureError(
    createClient(TOKENS.lender, unconfigured).completions.create({
      model: MODEL,
      prompt: PROMPT,
    }),
  );
  await unconfigured.close();
  expect(error.status).toBe(503);
  expect(Number(error.headers?.get("retry-after"))).toBeGreaterThan(0);
  expect(error.code).toBe("no-configuration");
  expect(error.error).toMatchObject({ verdict: "notRun" });
});
