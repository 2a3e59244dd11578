/** Says which ends of an exchange are true, from what its server did. */
import type { AnswerPlan, AnswerScript } from "./answer_script.ts";

/** How a client tells the end of an exchange. */
export type ToldEnd = "end" | "lost" | "timeout" | "notSent" | "aborted";

/** A reset discards what its sender hasn't passed on yet; less than this has been. */
const PASSED_ON_BYTES = 32 * 1_024;

/** A timer may fire so much earlier than its limit, in milliseconds. */
const EARLY_MS = 2;
/** For answers that only a limit ends. */
const SHORT_LIMIT_MS = 150;
/** Longer than any answer takes, on a busy machine too. */
const LONG_LIMIT_MS = 15_000;

/** What the server did. */
export interface ServedAnswer {
  readonly plan: AnswerPlan;
  readonly script: AnswerScript;
  /** Whether the request is so large that it may still be sent when the server ends. */
  readonly isRequestLarge: boolean;
}

/** Returns the ends that are true without an abort, `timeout` only where nothing else ends it. */
export function findTrueEnds(served: ServedAnswer): ReadonlySet<ToldEnd> {
  const ends = new Set<ToldEnd>(endsOfAnswer(served));
  const { plan, script } = served;
  // An answer that arrives before its request is sent belongs to none.
  if (plan.begins === "when accepted" && script.bytes.length > 0) {
    ends.add("lost");
  }
  return ends;
}

/** Returns a limit in milliseconds that is only reached where nothing else ends an exchange. */
export function chooseLimitMs(
  served: ServedAnswer,
  { neverReads = false }: { neverReads?: boolean } = {},
): number {
  const needsLimit = neverReads || findTrueEnds(served).has("timeout");
  return needsLimit ? SHORT_LIMIT_MS : LONG_LIMIT_MS;
}

/** Whether a timeout was due: `limitMs` were over, and nothing else could end the exchange. */
export function wasTimeoutDue(limitMs: number, elapsedMs: number): boolean {
  return limitMs < LONG_LIMIT_MS && elapsedMs >= limitMs - EARLY_MS;
}

/** Whether the answer, as far as it was sent, is broken. */
export function isBroken({ bytes, brokenFrom }: AnswerScript): boolean {
  return bytes.length > brokenFrom;
}

/** Whether the client may not get all that was sent. */
export function mayDiscard(served: ServedAnswer): boolean {
  const { plan, script, isRequestLarge } = served;
  if (plan.end === "reset") {
    return isRequestLarge || script.bytes.length > PASSED_ON_BYTES;
  }
  // The kernel resets a connection that is closed with unread bytes.
  return plan.end === "close" && isRequestLarge;
}

function endsOfAnswer(served: ServedAnswer): ToldEnd[] {
  const { plan, script } = served;
  const sentBytes = script.bytes.length;
  if (isBroken(script)) {
    if (plan.end !== "silence" || sentBytes >= script.brokenAt) return ["lost"];
    return ["lost", "timeout"];
  }
  const endsByConnection = script.completeAt === Infinity &&
    sentBytes >= script.headEnd;
  const isFinished = sentBytes >= script.completeAt || (endsByConnection &&
    (plan.end === "close" || plan.end === "half-close"));
  if (isFinished) return mayDiscard(served) ? ["end", "lost"] : ["end"];
  return plan.end === "silence" ? ["timeout"] : ["lost"];
}
