/** Stores answers in their calls' rows, and large bodies in the object store. */
import type { PlatformPort } from "../../ports/platform.ts";
import type { ServiceAnswer } from "../../ports/services.ts";
import type { CallRowState } from "../types.ts";

/** A longer body is stored in the object store. */
const MAX_ROW_BODY_LENGTH = 8_192;
const OBJECT_TIMEOUT_MS = 2_000;

type DoneState = Extract<CallRowState, { kind: "done" }>;

/**
 * Stores a body that is too long for a row, and returns the state for the row;
 * null if the object store did not confirm.
 */
export async function storeAnswer(
  platform: PlatformPort,
  options: { answer: ServiceAnswer; name: string },
): Promise<DoneState | null> {
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

/** Fetches a stored answer; null if the object store did not return its body. */
export async function fetchAnswer(
  platform: PlatformPort,
  done: DoneState,
): Promise<ServiceAnswer | null> {
  if (done.object === undefined) return done.answer;
  const body = await platform.getObject(done.object, {
    timeoutMs: OBJECT_TIMEOUT_MS,
  });
  if (body.isErr() || body.value === null) return null;
  return { ...done.answer, body: body.value };
}

/** Overwrites the object of an expired answer with an empty body. */
export async function clearStoredAnswer(
  platform: PlatformPort,
  object: string,
): Promise<void> {
  await platform.putObject(object, "", { timeoutMs: OBJECT_TIMEOUT_MS });
}
