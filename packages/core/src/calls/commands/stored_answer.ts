/** Keeps answers with their rows, large ones as objects. */
import type { PlatformPort } from "../../ports/platform.ts";
import type { ServiceAnswer } from "../../ports/services.ts";
import type { CallRowState } from "../types.ts";

/** A longer body goes to the object store. */
const MAX_ROW_BODY_LENGTH = 8_192;
const OBJECT_TIMEOUT_MS = 2_000;

type Done = Extract<CallRowState, { kind: "done" }>;

/** Stores what doesn't fit into a row; null when the object store did not confirm it. */
export async function storeAnswer(
  platform: PlatformPort,
  options: { answer: ServiceAnswer; name: string },
): Promise<Done | null> {
  const { answer } = options;
  if (answer.body.length <= MAX_ROW_BODY_LENGTH) {
    return { kind: "done", answer };
  }
  const object = `calls/${options.name}`;
  const stored = await platform.putObject(object, answer.body, {
    timeoutMs: OBJECT_TIMEOUT_MS,
  });
  if (stored.isErr()) return null;
  return { kind: "done", answer: { ...answer, body: "" }, object };
}

/** Fetches a kept answer; null when the object store did not give it. */
export async function fetchAnswer(
  platform: PlatformPort,
  done: Done,
): Promise<ServiceAnswer | null> {
  if (done.object === undefined) return done.answer;
  const body = await platform.getObject(done.object, {
    timeoutMs: OBJECT_TIMEOUT_MS,
  });
  if (body.isErr() || body.value === null) return null;
  return { ...done.answer, body: body.value };
}

/** Empties the object of an answer that is no longer kept. */
export async function clearStoredAnswer(
  platform: PlatformPort,
  object: string,
): Promise<void> {
  await platform.putObject(object, "", { timeoutMs: OBJECT_TIMEOUT_MS });
}
