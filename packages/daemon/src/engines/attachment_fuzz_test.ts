/** Fuzzes streams of events from engines; see `runAnswerFuzz`. */
import { Buffer } from "node:buffer";
import {
  asId,
  type EndpointId,
  type StreamEvent,
  wait,
} from "@teaselvalve/core";
import fc from "fast-check";
import { test } from "vitest";
import {
  chooseLimitMs,
  findTrueEnds,
  isBroken,
  type ServedAnswer,
  wasTimeoutDue,
} from "../testing/answers/answer_oracle.ts";
import {
  type AnswerPlan,
  answerPlans,
  writeAnswer,
} from "../testing/answers/answer_script.ts";
import type { AnswerServer } from "../testing/answers/answer_server.ts";
import { runAnswerFuzz } from "../testing/answers/run_answer_fuzz.ts";
import { HttpAttachment } from "./attachment.ts";

/** Within which an end is told, on a busy machine. */
const MAX_RUN_MS = 20_000;
/** How long a stream that is never resumed is watched. */
const PAUSED_MS = 60;

type End = "end" | "rejected" | "lost" | "timeout" | "notSent";

const END: StreamEvent = { kind: "end", totalTokens: 1, finish: "stop" };
const REJECTION = JSON.stringify({ kind: "rejected", code: "full" });

interface StreamPlan {
  readonly answer: AnswerPlan;
  /** Lengths of the events' texts. */
  readonly texts: readonly number[];
  readonly last: "end" | "unreadable" | "none";
  /** How the events are distributed to the chunks, of 1. */
  readonly chunks: readonly number[];
  /** Null for a limit that only silence reaches. */
  readonly timeoutMs: number | null;
  /** Indexes of the events at which it pauses. */
  readonly pausesAt: readonly number[];
  /** Null if it never goes on. */
  readonly resumeAfterMs: number | null;
  readonly detachAfterMs: number | null;
  /** From which event on the sink throws. */
  readonly throwsFrom: number | null;
}

const part = fc.double({ min: 0, max: 1, noNaN: true });
const streamPlans: fc.Arbitrary<StreamPlan> = fc.record({
  answer: answerPlans().chain((answer) =>
    fc.constantFrom(200, 200, 200, 409, 500, 204)
      .map((status) => ({ ...answer, status }))
  ),
  texts: fc.array(
    fc.oneof(
      { weight: 8, arbitrary: fc.integer({ min: 1, max: 200 }) },
      { weight: 1, arbitrary: fc.integer({ min: 10_000, max: 100_000 }) },
    ),
    { maxLength: 10 },
  ),
  last: fc.constantFrom("end", "end", "end", "unreadable", "none"),
  chunks: fc.array(part, { maxLength: 6 }),
  timeoutMs: rarely(fc.integer({ min: 1, max: 60 })),
  pausesAt: fc.array(fc.nat({ max: 10 }), { maxLength: 3 }),
  resumeAfterMs: fc.oneof(
    { weight: 9, arbitrary: fc.integer({ min: 0, max: 15 }) },
    { weight: 1, arbitrary: fc.constant(null) },
  ),
  detachAfterMs: rarely(fc.integer({ min: 0, max: 30 })),
  throwsFrom: rarely(fc.nat({ max: 10 })),
});

function rarely<T>(values: fc.Arbitrary<T>) {
  return fc.oneof(
    { weight: 1, arbitrary: values },
    { weight: 6, arbitrary: fc.constant(null) },
  );
}

function tokens(offset: number, length: number): StreamEvent {
  return { kind: "tokens", offset, texts: ["x".repeat(length)] };
}

function writeBody({ answer, texts, last }: StreamPlan): Buffer {
  if (answer.status !== 200) return Buffer.from(REJECTION);
  const events = texts.map((length, index) =>
    JSON.stringify(tokens(index, length))
  );
  if (last === "end") events.push(JSON.stringify(END));
  if (last === "unreadable") events.push("{");
  return Buffer.from(events.map((event) => `data: ${event}\n\n`).join(""));
}

function cutBody(body: Buffer, chunks: readonly number[]): number[] {
  const ends = [...chunks.map((at) => Math.round(at * body.length))]
    .sort((left, right) => left - right);
  const pieces: number[] = [];
  let begin = 0;
  for (const end of [...ends, body.length]) {
    if (end > begin) pieces.push(end - begin);
    begin = end;
  }
  return pieces;
}

/** Returns how many tokens' events were sent whole, and the ends that are true. */
function findTruth(
  { answer, texts, last }: StreamPlan,
  served: ServedAnswer,
): { sentEvents: number; ends: ReadonlySet<End> } {
  const sentEvents =
    served.script.body.toString("latin1").split("\n\n").length -
    1;
  const ends = new Set<End>();
  const trueEnds = findTrueEnds(served);
  if (trueEnds.has("lost")) ends.add("lost");
  if (answer.status === 200 && sentEvents > texts.length) {
    ends.add(last === "end" ? "end" : "lost");
    return { sentEvents, ends };
  }
  if (trueEnds.has("timeout")) ends.add("timeout");
  if (trueEnds.has("end")) {
    const isRejection = answer.status === 409 &&
      served.script.body.equals(Buffer.from(REJECTION));
    ends.add(isRejection ? "rejected" : "lost");
  }
  return { sentEvents, ends };
}

let lastPath = 0;

async function runStream(
  server: AnswerServer,
  plan: StreamPlan,
): Promise<string[]> {
  const body = writeBody(plan);
  const pieces = cutBody(body, plan.chunks);
  const answer = { ...plan.answer, pieces, tinyPieces: 0 };
  const script = writeAnswer(answer, body);
  const served = { plan: answer, script, isRequestLarge: false };
  const path = `/${lastPath += 1}`;
  server.answers.clear();
  server.answers.set(path, { plan: answer, script });
  const timeoutMs = plan.timeoutMs ?? chooseLimitMs(served);
  const found: string[] = [];
  const ends: End[] = [];
  const timers: ReturnType<typeof setTimeout>[] = [];
  let events = 0;
  let lastEventAtMs = performance.now();
  let sinceEventMs = 0;
  let isPaused = false;
  let isDetached = false;
  let hasThrown = false;
  const attachment = new HttpAttachment({
    method: "GET",
    path,
    timeoutMs,
    sink(event) {
      if (isDetached) found.push("an event after detaching");
      if (ends.length > 0) found.push(`${event.kind} after the end`);
      sinceEventMs = performance.now() - lastEventAtMs;
      lastEventAtMs = performance.now();
      const index = events++;
      if (event.kind === "end") ends.push("end");
      else if (event.kind === "failed") ends.push(event.failure.kind);
      else checkTokens(event, index);
      if (plan.throwsFrom !== null && index >= plan.throwsFrom) {
        hasThrown = true;
        throw new Error("broken sink");
      }
      if (plan.pausesAt.includes(index)) pause();
    },
  });
  const checkTokens = (event: StreamEvent, index: number) => {
    const length = plan.texts[index] ?? 0;
    const expected = JSON.stringify(tokens(index, length));
    if (JSON.stringify(event) !== expected) found.push(`event ${index}`);
  };
  const pause = () => {
    attachment.pause();
    isPaused = true;
    if (plan.resumeAfterMs === null) return;
    timers.push(setTimeout(() => {
      isPaused = false;
      lastEventAtMs = performance.now();
      attachment.resume();
    }, plan.resumeAfterMs));
  };
  const detach = () => {
    isDetached = ends.length === 0;
    attachment.detach();
  };
  void attachment.run({
    id: asId<EndpointId>("decode-1"),
    address: server.address,
  });
  if (plan.detachAfterMs !== null) {
    timers.push(setTimeout(detach, plan.detachAfterMs));
  }
  const beganAtMs = performance.now();
  const watchMs = () => {
    const staysPaused = isPaused && plan.resumeAfterMs === null;
    return staysPaused ? PAUSED_MS : MAX_RUN_MS;
  };
  while (
    ends.length === 0 && !isDetached &&
    performance.now() - beganAtMs < watchMs()
  ) {
    await wait(1);
  }
  await wait(plan.resumeAfterMs ?? 1);
  const isStillPaused = isPaused && ends.length === 0;
  if (isStillPaused) detach();
  for (const timer of timers) clearTimeout(timer);
  const [end] = ends;
  if (end === undefined) {
    if (!isDetached) found.push("no end was told");
    return found;
  }
  if (hasThrown) return found;
  const truth = findTruth(plan, served);
  if (end === "timeout") {
    if (!wasTimeoutDue(timeoutMs, sinceEventMs)) {
      found.push(`timeout after ${sinceEventMs} of ${timeoutMs} ms`);
    }
  } else if (end === "notSent") {
    if (server.received.has(path)) found.push("notSent, but received");
  } else if (!truth.ends.has(end)) {
    found.push(`${end}: true are ${[...truth.ends].join()}`);
  }
  // What a reset or a broken answer leaves unread is dropped with it.
  const isWhole = end === "end" || (answer.end !== "reset" &&
    answer.begins === "with the request" && !isBroken(script));
  const told = events - 1;
  const sent = Math.min(truth.sentEvents, plan.texts.length);
  if (end === "lost" && answer.status === 200 && isWhole && told !== sent) {
    found.push(`${told} events of ${sent}`);
  }
  return found;
}

test("streams of engines tell one true end, whatever these send and however it ends", async () => {
  await runAnswerFuzz(streamPlans, runStream);
});
