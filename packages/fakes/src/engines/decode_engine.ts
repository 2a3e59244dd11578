/** A fake decode engine: a continuous batch over slots and memory pieces. */
import type {
  Attachment,
  AttachOrder,
  DecodeOrder,
  EngineFailure,
  EngineRejection,
  HeldRun,
  StreamId,
  StreamSink,
} from "@teaselvalve/core";
import {
  type AnswerLength,
  answerSeed,
  crashesEngine,
  lengthFromPrompt,
  tokenAt,
} from "./answer.ts";
import { FakeEngine, type FakeEngineOptions } from "./engine_base.ts";
import type { FetchExport } from "./prefill_engine.ts";

/** Options of {@link FakeDecodeEngine}. */
export interface FakeDecodeOptions extends FakeEngineOptions {
  answerLength?: AnswerLength;
}

/** Options of {@link FakeDecodeEngine.startRun}. */
export interface StartOptions {
  /** Draws the export out of the prefill engine. */
  fetchExport: FetchExport;
  sink: StreamSink;
}

interface Subscriber {
  readonly sink: StreamSink;
  readonly epoch: number;
  offset: number;
  paused: boolean;
}

interface Run {
  readonly order: DecodeOrder;
  owner: DecodeOrder["owner"];
  readonly seed: number;
  readonly length: number;
  readonly finish: "stop" | "length";
  state: "importing" | "decoding" | "finished";
  generated: number;
  kvBlocks: number;
  attached: Subscriber | undefined;
  expiry: ReturnType<typeof setTimeout> | undefined;
}

/** Generates answers, one token a step for each member of the batch. */
export class FakeDecodeEngine extends FakeEngine {
  readonly role = "decode";
  /** Marked prompts that crashed this engine. */
  readonly crashedBy: string[] = [];
  #runs = new Map<StreamId, Run>();
  #stepTimer: ReturnType<typeof setTimeout> | undefined;
  #lengthOf: AnswerLength;
  #usedPieces = 0;

  constructor(options: FakeDecodeOptions) {
    super(options);
    this.#lengthOf = options.answerLength ?? lengthFromPrompt;
  }

  /** Imports a prefill's result and decodes it, attached at offset 0 and epoch 1. */
  startRun(order: DecodeOrder, options: StartOptions): Attachment {
    this.ordersReceived += 1;
    const rejection = this.#rejection(order);
    if (rejection) {
      options.sink({ kind: "failed", failure: rejection });
      return NO_ATTACHMENT;
    }
    const run = this.#admit(order);
    const attached: Subscriber = {
      sink: options.sink,
      epoch: 1,
      offset: 0,
      paused: false,
    };
    run.attached = attached;
    void options.fetchExport(order.stream).then((arrived) => {
      if (this.#runs.get(order.stream) !== run) return;
      if (arrived.isErr()) {
        this.#remove(run, { kind: "rejected", code: "transfer-failed" });
      } else this.#decode(run);
    });
    return this.#hold(run, attached);
  }

  /** Attaches to a run; the attachment with the highest epoch gets the tokens. */
  attach(order: AttachOrder, sink: StreamSink): Attachment {
    const run = this.#runs.get(order.stream);
    if (!this.up || !run) {
      const failure: EngineFailure = this.up
        ? { kind: "rejected", code: "unknown-stream" }
        : { kind: "notSent" };
      sink({ kind: "failed", failure });
      return NO_ATTACHMENT;
    }
    if (run.attached && run.attached.epoch > order.epoch) {
      sink({
        kind: "failed",
        failure: { kind: "rejected", code: "superseded" },
      });
      return NO_ATTACHMENT;
    }
    run.attached?.sink({
      kind: "failed",
      failure: { kind: "rejected", code: "superseded" },
    });
    const attached: Subscriber = {
      sink,
      epoch: order.epoch,
      offset: order.offset,
      paused: false,
    };
    run.attached = attached;
    run.owner = order.owner;
    sink({ kind: "started" });
    this.#deliver(run);
    return this.#hold(run, attached);
  }

  /** Frees what a run holds here; a run that has not arrived is refused later. */
  cancel(stream: StreamId): void {
    this.recordCancel(stream);
    const run = this.#runs.get(stream);
    if (run) this.#remove(run, { kind: "rejected", code: "cancelled" });
  }

  heldRuns(): HeldRun[] {
    return [...this.#runs.values()]
      .filter((run) => run.state !== "finished")
      .map((run) => ({
        stream: run.order.stream,
        key: run.order.key,
        owner: run.owner,
        memoryPieces: run.kvBlocks,
        generatedTokens: run.generated,
      }));
  }

  protected queuedTokens(): number {
    return 0;
  }

  protected dropAll(): void {
    clearTimeout(this.#stepTimer);
    this.#stepTimer = undefined;
    for (const run of [...this.#runs.values()]) {
      this.#remove(run, { kind: "lost" });
    }
  }

  #rejection(order: DecodeOrder): EngineFailure | null {
    if (!this.up) return { kind: "notSent" };
    const code = this.#rejectionCode(order);
    return code && { kind: "rejected", code };
  }

  #rejectionCode(order: DecodeOrder): EngineRejection | null {
    if (this.state === "leaving") return "leaving";
    if (this.isCancelled(order.stream)) return "cancelled";
    if (!this.models.includes(order.model)) return "unknown-model";
    if (this.#runs.has(order.stream)) return "bad-order";
    const active = this.heldRuns().length;
    const needed = this.#pieces(order.prompt.tokens);
    const full = active >= this.profile.decodeSlots ||
      this.#usedPieces + needed > this.profile.kvBlocks;
    return full ? "full" : null;
  }

  #admit(order: DecodeOrder): Run {
    const length = this.#lengthOf(order.prompt);
    const run: Run = {
      order,
      owner: order.owner,
      seed: answerSeed(order.prompt),
      length: Math.min(length, order.maxTokens),
      finish: length <= order.maxTokens ? "stop" : "length",
      state: "importing",
      generated: 0,
      kvBlocks: this.#pieces(order.prompt.tokens),
      attached: undefined,
      expiry: undefined,
    };
    this.#usedPieces += run.kvBlocks;
    this.#runs.set(order.stream, run);
    return run;
  }

  #decode(run: Run): void {
    run.state = "decoding";
    if (crashesEngine(run.order.prompt)) {
      this.crashedBy.push(run.order.prompt.text);
      return this.crash();
    }
    run.attached?.sink({ kind: "started" });
    this.#scheduleStep();
  }

  #scheduleStep(): void {
    if (this.#stepTimer !== undefined) return;
    const batch = this.#batch();
    if (batch.length === 0) return;
    const heldTokens = batch.reduce(
      (sum, run) => sum + run.order.prompt.tokens + run.generated,
      0,
    );
    const stepMs = this.profile.stepBaseMs +
      this.profile.stepPerRunMs * batch.length +
      this.profile.stepPerThousandTokensMs * heldTokens / 1_000;
    this.#stepTimer = setTimeout(() => this.#step(), stepMs);
  }

  #step(): void {
    this.#stepTimer = undefined;
    for (const run of this.#batch()) this.#generate(run);
    this.#scheduleStep();
  }

  #generate(run: Run): void {
    const needed = this.#pieces(run.order.prompt.tokens + run.generated + 1);
    const grown = needed - run.kvBlocks;
    // A member that finds no memory for its next token waits for another to end.
    if (this.#usedPieces + grown > this.profile.kvBlocks) return;
    this.#usedPieces += grown;
    run.kvBlocks = needed;
    run.generated += 1;
    if (run.generated >= run.length) this.#finish(run);
    this.#deliver(run);
  }

  #finish(run: Run): void {
    run.state = "finished";
    this.#usedPieces -= run.kvBlocks;
    run.kvBlocks = 0;
    run.expiry = setTimeout(
      () => this.#runs.delete(run.order.stream),
      this.profile.finishedRetentionMs,
    );
  }

  #deliver(run: Run): void {
    const { attached } = run;
    if (!attached || attached.paused) return;
    if (attached.offset < run.generated) {
      const texts: string[] = [];
      const { offset } = attached;
      for (let at = offset; at < run.generated; at += 1) {
        texts.push(tokenAt(run.seed, at));
      }
      attached.offset = run.generated;
      attached.sink({ kind: "tokens", offset, texts });
    }
    if (run.state !== "finished") return;
    run.attached = undefined;
    attached.sink({
      kind: "end",
      totalTokens: run.generated,
      finish: run.finish,
    });
  }

  #remove(run: Run, failure: EngineFailure): void {
    clearTimeout(run.expiry);
    this.#usedPieces -= run.kvBlocks;
    this.#runs.delete(run.order.stream);
    const { attached } = run;
    run.attached = undefined;
    attached?.sink({ kind: "failed", failure });
  }

  #hold(run: Run, attached: Subscriber): Attachment {
    return {
      detach: () => {
        if (run.attached === attached) run.attached = undefined;
      },
      pause: () => {
        attached.paused = true;
      },
      resume: () => {
        attached.paused = false;
        if (run.attached === attached) this.#deliver(run);
      },
    };
  }

  #batch(): Run[] {
    return [...this.#runs.values()].filter((run) => run.state === "decoding");
  }

  #pieces(tokens: number): number {
    return Math.ceil(tokens / this.profile.tokensPerKvBlock);
  }
}

const NO_ATTACHMENT: Attachment = {
  detach() {},
  pause() {},
  resume() {},
};
