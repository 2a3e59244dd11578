/** A fake decode engine: continuous batching over slots and KV cache blocks. */
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
  /** Transfers the exported KV cache from the prefill engine. */
  fetchExport: FetchExport;
  sink: StreamSink;
}

/** The sink that receives the tokens of a run, and how far it has received them. */
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
  subscriber: Subscriber | undefined;
  expiry: ReturnType<typeof setTimeout> | undefined;
}

/** Generates answers, one token per step for each run in the batch. */
export class FakeDecodeEngine extends FakeEngine {
  readonly role = "decode";
  /** Texts of the prompts with a crash marker that crashed this engine. */
  readonly crashedBy: string[] = [];
  #runs = new Map<StreamId, Run>();
  #stepTimer: ReturnType<typeof setTimeout> | undefined;
  #lengthOf: AnswerLength;
  #usedKvBlocks = 0;

  constructor(options: FakeDecodeOptions) {
    super(options);
    this.#lengthOf = options.answerLength ?? lengthFromPrompt;
  }

  /**
   * Imports an exported KV cache and decodes from it, with the sink attached at offset 0
   * and epoch 1. A refusal or failure goes to the sink.
   */
  startRun(order: DecodeOrder, options: StartOptions): Attachment {
    this.ordersReceived += 1;
    const rejection = this.#rejection(order);
    if (rejection) {
      options.sink({ kind: "failed", failure: rejection });
      return NO_ATTACHMENT;
    }
    const run = this.#admit(order);
    const subscriber: Subscriber = {
      sink: options.sink,
      epoch: 1,
      offset: 0,
      paused: false,
    };
    run.subscriber = subscriber;
    void options.fetchExport(order.stream).then((transferred) => {
      if (this.#runs.get(order.stream) !== run) return;
      if (transferred.isErr()) {
        this.#remove(run, { kind: "rejected", code: "transfer-failed" });
      } else this.#startDecoding(run);
    });
    return this.#createAttachment(run, subscriber);
  }

  /** Attaches a sink to a run; the sink with the highest epoch receives the tokens. */
  attach(order: AttachOrder, sink: StreamSink): Attachment {
    const run = this.#runs.get(order.stream);
    if (!this.up || !run) {
      const failure: EngineFailure = this.up
        ? { kind: "rejected", code: "unknown-stream" }
        : { kind: "notSent" };
      sink({ kind: "failed", failure });
      return NO_ATTACHMENT;
    }
    if (run.subscriber && run.subscriber.epoch > order.epoch) {
      sink({
        kind: "failed",
        failure: { kind: "rejected", code: "superseded" },
      });
      return NO_ATTACHMENT;
    }
    run.subscriber?.sink({
      kind: "failed",
      failure: { kind: "rejected", code: "superseded" },
    });
    const subscriber: Subscriber = {
      sink,
      epoch: order.epoch,
      offset: order.offset,
      paused: false,
    };
    run.subscriber = subscriber;
    run.owner = order.owner;
    sink({ kind: "started" });
    this.#deliver(run);
    return this.#createAttachment(run, subscriber);
  }

  /** Removes a run and frees its memory; a start that arrives later is refused. */
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
    const needed = this.#kvBlocksFor(order.prompt.tokens);
    const full = active >= this.profile.decodeSlots ||
      this.#usedKvBlocks + needed > this.profile.kvBlocks;
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
      kvBlocks: this.#kvBlocksFor(order.prompt.tokens),
      subscriber: undefined,
      expiry: undefined,
    };
    this.#usedKvBlocks += run.kvBlocks;
    this.#runs.set(order.stream, run);
    return run;
  }

  #startDecoding(run: Run): void {
    run.state = "decoding";
    if (crashesEngine(run.order.prompt)) {
      this.crashedBy.push(run.order.prompt.text);
      return this.crash();
    }
    run.subscriber?.sink({ kind: "started" });
    this.#scheduleStep();
  }

  #scheduleStep(): void {
    if (this.#stepTimer !== undefined) return;
    const batch = this.#decodingRuns();
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
    for (const run of this.#decodingRuns()) this.#generate(run);
    this.#scheduleStep();
  }

  #generate(run: Run): void {
    const needed = this.#kvBlocksFor(
      run.order.prompt.tokens + run.generated + 1,
    );
    const addedBlocks = needed - run.kvBlocks;
    // A run without memory for its next token waits until another run ends.
    if (this.#usedKvBlocks + addedBlocks > this.profile.kvBlocks) return;
    this.#usedKvBlocks += addedBlocks;
    run.kvBlocks = needed;
    run.generated += 1;
    if (run.generated >= run.length) this.#finish(run);
    this.#deliver(run);
  }

  #finish(run: Run): void {
    run.state = "finished";
    this.#usedKvBlocks -= run.kvBlocks;
    run.kvBlocks = 0;
    run.expiry = setTimeout(
      () => this.#runs.delete(run.order.stream),
      this.profile.finishedRetentionMs,
    );
  }

  #deliver(run: Run): void {
    const { subscriber } = run;
    if (!subscriber || subscriber.paused) return;
    if (subscriber.offset < run.generated) {
      const texts: string[] = [];
      const { offset } = subscriber;
      for (let index = offset; index < run.generated; index += 1) {
        texts.push(tokenAt(run.seed, index));
      }
      subscriber.offset = run.generated;
      subscriber.sink({ kind: "tokens", offset, texts });
    }
    if (run.state !== "finished") return;
    run.subscriber = undefined;
    subscriber.sink({
      kind: "end",
      totalTokens: run.generated,
      finish: run.finish,
    });
  }

  #remove(run: Run, failure: EngineFailure): void {
    clearTimeout(run.expiry);
    this.#usedKvBlocks -= run.kvBlocks;
    this.#runs.delete(run.order.stream);
    const { subscriber } = run;
    run.subscriber = undefined;
    subscriber?.sink({ kind: "failed", failure });
  }

  #createAttachment(run: Run, subscriber: Subscriber): Attachment {
    return {
      detach: () => {
        if (run.subscriber === subscriber) run.subscriber = undefined;
      },
      pause: () => {
        subscriber.paused = true;
      },
      resume: () => {
        subscriber.paused = false;
        if (run.subscriber === subscriber) this.#deliver(run);
      },
    };
  }

  #decodingRuns(): Run[] {
    return [...this.#runs.values()].filter((run) => run.state === "decoding");
  }

  #kvBlocksFor(tokens: number): number {
    return Math.ceil(tokens / this.profile.tokensPerKvBlock);
  }
}

const NO_ATTACHMENT: Attachment = {
  detach() {},
  pause() {},
  resume() {},
};
