/**
 * Fuzzes exchanges with answers of all framings, valid and broken, cut anywhere and ended
 * in any way, beside pauses, aborts, limits and exceptions of the reader.
 *
 * `ANSWER_FUZZ_RUNS=2500 ANSWER_FUZZ_SEED=1 npx vitest run
 * packages/daemon/src/gateway/exchange_fuzz_test.ts` makes 8 x 2,500 runs of each test.
 */
import { Buffer } from "node:buffer";
import { freeMemory, wait } from "@teaselvalve/core";
import fc from "fast-check";
import { test } from "vitest";
import {
  chooseLimitMs,
  findTrueEnds,
  isBroken,
  mayDiscard,
  type ServedAnswer,
  type ToldEnd,
  wasTimeoutDue,
} from "../testing/answers/answer_oracle.ts";
import {
  type AnswerPlan,
  answerPlans,
  bodyOf,
  writeAnswer,
} from "../testing/answers/answer_script.ts";
import { runAnswerFuzz } from "../testing/answers/run_answer_fuzz.ts";
import type { AnswerServer } from "../testing/answers/answer_server.ts";
import { readAnswer } from "./answers.ts";
import {
  type ExchangeFault,
  type ExchangeListener,
  openExchange,
  type OutgoingExchange,
} from "./fresh_exchange.ts";

/** Within which an end is told, on a busy machine. */
const MAX_RUN_MS = 20_000;
const CONNECT_TIMEOUT_MS = 5_000;
const LARGE_REQUEST_BYTES = 2_000_000;

const CALLBACKS = ["onHead", "onData", "onEnd", "onFailure"] as const;

/** What the reader of an answer does. */
interface ReaderPlan {
  /** Null for limits that only silence and a pause without end reach. */
  readonly firstByteMs: number | null;
  readonly wholeMs: number | null;
  readonly abortAfterMs: number | null;
  readonly pausesAtHead: boolean;
  /** Indexes of the pieces at which it pauses. */
  readonly pausesAt: readonly number[];
  /** Null if it never goes on. */
  readonly resumeAfterMs: number | null;
  readonly throwsIn: (typeof CALLBACKS)[number] | null;
  readonly isRequestLarge: boolean;
}

const readers: fc.Arbitrary<ReaderPlan> = fc.record({
  firstByteMs: rarely(fc.integer({ min: 1, max: 40 }), null),
  wholeMs: rarely(fc.integer({ min: 1, max: 60 }), null),
  abortAfterMs: rarely(fc.integer({ min: 0, max: 30 }), null),
  pausesAtHead: fc.boolean(),
  pausesAt: fc.array(fc.nat({ max: 12 }), { maxLength: 4 }),
  resumeAfterMs: fc.oneof(
    { weight: 9, arbitrary: fc.integer({ min: 0, max: 15 }) },
    { weight: 1, arbitrary: fc.constant(null) },
  ),
  throwsIn: rarely(fc.constantFrom(...CALLBACKS), null),
  isRequestLarge: rarely(fc.constant(true), false),
});

function rarely<T, U>(values: fc.Arbitrary<T>, otherwise: U) {
  return fc.oneof(
    { weight: 1, arbitrary: values },
    { weight: 6, arbitrary: fc.constant(otherwise) },
  );
}

let lastPath = 0;

/** Opens an exchange, reads its answer by a plan, and notes what it is told. */
class ReaderRun {
  readonly ends: ToldEnd[] = [];
  readonly violations: string[] = [];
  readonly faults: ExchangeFault[] = [];
  #exchange: OutgoingExchange | undefined;
  #reader: ReaderPlan;
  #pieces: Buffer[] = [];
  #hasHead = false;
  #isPaused = false;
  #abortedFirst = false;
  #hasThrown = false;
  #elapsedMs = 0;
  #beganAtMs = performance.now();
  #timers: ReturnType<typeof setTimeout>[] = [];
  #limits: { readonly firstByteMs: number; readonly wholeMs: number };

  constructor(reader: ReaderPlan, served: ServedAnswer) {
    this.#reader = reader;
    this.#limits = chooseLimits(reader, {
      served,
      neverReads: reader.resumeAfterMs === null,
    });
  }

  start(address: string, path: string): void {
    const { isRequestLarge, abortAfterMs } = this.#reader;
    this.#exchange = openExchange({
      ...requestTo(address, { path, isRequestLarge }),
      ...this.#limits,
    }, this.#listener());
    if (abortAfterMs === null) return;
    this.#timers.push(setTimeout(() => this.#abort(), abortAfterMs));
  }

  /** Describes what was told wrongly. */
  findViolations(served: ServedAnswer, wasReceived: boolean): string[] {
    for (const timer of this.#timers) clearTimeout(timer);
    const [end] = this.ends;
    if (end === undefined) return ["no end was told"];
    const found = [...this.violations];
    if (this.ends.length > 1) found.push(`ends: ${this.ends.join()}`);
    const check = (isRight: boolean, text: string) => {
      if (!isRight) found.push(`${end}: ${text}`);
    };
    const body = Buffer.concat(this.#pieces);
    const { script } = served;
    check(
      script.body.subarray(0, body.length).equals(body),
      `other bytes than those sent, ${body.length} of ${script.body.length}`,
    );
    const throwsAtEnd = this.#reader.throwsIn === "onEnd" ||
      this.#reader.throwsIn === "onFailure";
    const hasThrownBefore = this.#hasThrown && !throwsAtEnd;
    check(this.faults.length === Number(this.#hasThrown), "faults");
    if (hasThrownBefore) check(end === "lost", "after an exception");
    else if (end === "aborted") check(this.#abortedFirst, "not aborted");
    else if (end === "timeout") this.#checkTimeout(check);
    else if (end === "notSent") check(!wasReceived, "but it was received");
    else {
      const trueEnds = findTrueEnds(served);
      check(trueEnds.has(end), `true are ${[...trueEnds].join()}`);
      check(!this.#isPaused, "while paused");
      const isWhole = end === "end" ||
        (!isBroken(script) && !mayDiscard(served) &&
          served.plan.begins === "with the request");
      if (isWhole) {
        check(
          body.length === script.body.length,
          `${body.length} bytes of ${script.body.length}`,
        );
      }
    }
    return found;
  }

  #checkTimeout(check: (isRight: boolean, text: string) => void): void {
    const { firstByteMs, wholeMs } = this.#limits;
    const limitMs = this.#hasHead ? wholeMs : Math.min(firstByteMs, wholeMs);
    check(
      wasTimeoutDue(limitMs, this.#elapsedMs),
      `after ${this.#elapsedMs} of ${limitMs} ms`,
    );
  }

  #listener(): ExchangeListener {
    const { pausesAtHead, pausesAt } = this.#reader;
    return {
      onHead: () => {
        if (this.#hasHead) this.violations.push("two heads");
        this.#hasHead = true;
        this.#throwIn("onHead");
        return pausesAtHead ? this.#pause() : undefined;
      },
      onData: (bytes) => {
        if (this.ends.length > 0) this.violations.push("bytes after the end");
        if (this.#isPaused) this.violations.push("bytes while paused");
        this.#pieces.push(Buffer.from(bytes));
        this.#throwIn("onData");
        return pausesAt.includes(this.#pieces.length - 1)
          ? this.#pause()
          : true;
      },
      onEnd: () => this.#end("end", "onEnd"),
      onFailure: ({ kind }) => this.#end(kind, "onFailure"),
      onFault: (fault) => void this.faults.push(fault),
    };
  }

  #end(end: ToldEnd, callback: ReaderPlan["throwsIn"]): void {
    this.ends.push(end);
    this.#elapsedMs = performance.now() - this.#beganAtMs;
    this.#throwIn(callback);
  }

  #throwIn(callback: ReaderPlan["throwsIn"]): void {
    if (callback !== this.#reader.throwsIn) return;
    this.#hasThrown = true;
    throw new Error("broken listener");
  }

  #pause(): false {
    this.#isPaused = true;
    const { resumeAfterMs } = this.#reader;
    if (resumeAfterMs !== null) {
      const resume = () => {
        this.#isPaused = false;
        this.#exchange!.resume();
      };
      this.#timers.push(setTimeout(resume, resumeAfterMs));
    }
    return false;
  }

  #abort(): void {
    const toldBefore = this.ends.length;
    this.#abortedFirst = toldBefore === 0;
    this.#exchange!.abort();
    if (this.ends.length !== 1) this.violations.push("an abort isn't told");
  }
}

function chooseLimits(
  { firstByteMs, wholeMs }: ReaderPlan,
  { served, ...options }: { served: ServedAnswer; neverReads?: boolean },
) {
  const limitMs = chooseLimitMs(served, options);
  return { firstByteMs: firstByteMs ?? limitMs, wholeMs: wholeMs ?? limitMs };
}

function requestTo(
  address: string,
  { path, isRequestLarge }: { path: string; isRequestLarge: boolean },
) {
  return {
    address,
    method: isRequestLarge ? "POST" : "GET",
    path,
    headers: [],
    body: isRequestLarge ? Buffer.alloc(LARGE_REQUEST_BYTES) : null,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  };
}

function serve(
  server: AnswerServer,
  [plan, { isRequestLarge }]: [AnswerPlan, ReaderPlan],
): { path: string; served: ServedAnswer } {
  const script = writeAnswer(plan, bodyOf(plan));
  const path = `/${lastPath += 1}`;
  server.answers.clear();
  server.answers.set(path, { plan, script });
  return { path, served: { plan, script, isRequestLarge } };
}

test("exchanges tell one true end, whatever an endpoint sends and however it ends", async () => {
  const run = async (
    server: AnswerServer,
    [plan, reader]: [AnswerPlan, ReaderPlan],
  ) => {
    const { path, served } = serve(server, [plan, reader]);
    const readerRun = new ReaderRun(reader, served);
    readerRun.start(server.address, path);
    const endsAtMs = performance.now() + MAX_RUN_MS;
    while (readerRun.ends.length === 0 && performance.now() < endsAtMs) {
      await wait(1);
    }
    // Longer than the longest pause, so that a second end would be seen.
    if (reader.resumeAfterMs !== null) await wait(reader.resumeAfterMs);
    return readerRun.findViolations(served, server.received.has(path));
  };
  await runAnswerFuzz(fc.tuple(answerPlans(), readers), run);
});

test("answers that are read whole are told once, and give their memory back", async () => {
  const run = async (
    server: AnswerServer,
    [plan, reader]: [AnswerPlan, ReaderPlan],
  ) => {
    const { path, served } = serve(server, [plan, reader]);
    const limits = chooseLimits(reader, { served });
    const beganAtMs = performance.now();
    const abort = new AbortController();
    const { abortAfterMs, isRequestLarge } = reader;
    const timer = abortAfterMs === null
      ? undefined
      : setTimeout(() => abort.abort(), abortAfterMs);
    const answer = await readAnswer(
      (listener) =>
        openExchange({
          ...requestTo(server.address, { path, isRequestLarge }),
          ...limits,
          signal: abort.signal,
        }, listener),
      { limitBytes: 8 * 1_024 * 1_024, use: "answer" },
    );
    clearTimeout(timer);
    const trueEnds = findTrueEnds(served);
    const found: string[] = [];
    if (answer.isOk()) {
      const { body, status } = answer.value;
      if (!trueEnds.has("end")) found.push("end of an incomplete answer");
      if (status !== plan.status) found.push(`status ${status}`);
      if (!body.equals(served.script.body)) {
        found.push("other bytes than those sent");
      }
      freeMemory(body);
      return found;
    }
    const { kind } = answer.error;
    const elapsedMs = performance.now() - beganAtMs;
    const isTrue = kind === "lost"
      ? trueEnds.has("lost")
      : kind === "aborted"
      ? abort.signal.aborted
      : kind === "timeout"
      ? wasTimeoutDue(
        Math.min(limits.firstByteMs, limits.wholeMs),
        elapsedMs,
      )
      : kind === "notSent" && !server.received.has(path);
    if (!isTrue) found.push(`${kind}: true are ${[...trueEnds].join()}`);
    return found;
  };
  await runAnswerFuzz(fc.tuple(answerPlans(), readers), run);
});
