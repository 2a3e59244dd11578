/** The owner's side of a summary, as far as grants go: ask, prefill, decode, tell the home, try again. */
import {
  asId,
  chooseShards,
  type Endpoint,
  type EndpointId,
  type GrantAnswer,
  type GrantId,
  type GrantProgress,
  type GrantRequest,
  type HeldGrant,
  type Member,
  type Prompt,
  requestKey,
  type ShardPlan,
  type StreamId,
  type VmContext,
} from "@teaselvalve/core";
import { FIRST_TOKEN_TARGET_MS, MAX_OUTPUT_TOKENS } from "./deployments.ts";
import { CALLER_LATENCY_MS, type Outcome } from "./outcome.ts";

const MODEL_NAME = "summaries";
const DEADLINE_MS = 30_000;
const MAX_ATTEMPTS = 3;
const ENGINE_TIMEOUT_MS = 10_000;
const NOTICE_TIMEOUT_MS = 1_000;
/** A transfer that takes longer than this has stalled. */
const TRANSFER_LIMIT_MS = 800;
const TRANSFER_LIMIT_PER_TOKEN_MS = 0.1;
const ASK_AGAIN_MS = 50;
/** Time kept back from the target for the way to the caller. */
const WAY_BACK_MS = 5;

type Granted = Extract<GrantAnswer, { kind: "granted" }>;
type Ending = "done" | "again" | "gone";

/** Options of {@link Owner}. */
export interface OwnerOptions {
  context: VmContext;
  homeOf: (shard: ShardPlan) => Member;
  endpoints: readonly Endpoint[];
  planShards?: (
    endpoints: readonly Endpoint[],
    options: { model: GrantRequest["model"] },
  ) => readonly ShardPlan[];
}

interface Run {
  readonly outcome: Outcome;
  readonly prompt: Prompt;
  readonly sinceMs: number;
  request: GrantRequest | undefined;
  shard: ShardPlan | undefined;
  granted: Granted | undefined;
  phase: HeldGrant["phase"];
  generated: number;
  ended: boolean;
  leave: (() => void) | undefined;
}

/** Owns the requests of one VM's callers. */
export class Owner {
  #options: OwnerOptions;
  #runs = new Set<Run>();
  #streams = 0;

  constructor(options: OwnerOptions) {
    this.#options = options;
  }

  /** Runs a request; gives the function with which its caller leaves. */
  submit(outcome: Outcome): () => void {
    const { item } = outcome;
    const run: Run = {
      outcome,
      prompt: {
        text: item.id,
        tokens: item.promptTokens,
        blocks: item.blocks,
      },
      sinceMs: performance.now(),
      request: undefined,
      shard: undefined,
      granted: undefined,
      phase: "prefill",
      generated: 0,
      ended: false,
      leave: undefined,
    };
    this.#runs.add(run);
    void this.#run(run).then(() => this.#runs.delete(run));
    return () => this.#leave(run);
  }

  /** The VM is gone, with all that it owned. */
  kill(): void {
    for (const run of this.#runs) {
      if (!run.ended && !run.outcome.done) run.outcome.lost = true;
      run.ended = true;
    }
    this.#runs.clear();
  }

  /** Registers what runs at the homes that are new to it. */
  registerGrants(): void {
    for (const run of this.#runs) {
      const { granted, request, shard, phase } = run;
      if (!granted || !request || !shard || run.ended) continue;
      const { grant, prefill, decode } = granted;
      const generatedTokens = run.generated;
      const held = { request, grant, prefill, decode, phase, generatedTokens };
      void this.#call(shard, "grants/register", { grants: [held] });
    }
  }

  async #run(run: Run): Promise<void> {
    const avoid: EndpointId[] = [];
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const answer = await this.#ask(run, avoid);
      if (run.ended) return this.#giveBack(run, answer);
      if (answer.kind === "refused") {
        run.outcome.refusalReason = answer.reason;
        run.outcome.recordEvent(`refused: ${answer.reason}`);
        run.ended = true;
        return;
      }
      run.granted = answer;
      run.outcome.recordEvent("granted");
      const ending = await this.#runGranted(run, { granted: answer, avoid });
      if (ending !== "again" || run.ended) return;
    }
    run.outcome.refusalReason = "endpoint-refused";
  }

  async #ask(run: Run, avoid: readonly EndpointId[]): Promise<GrantAnswer> {
    this.#streams += 1;
    const { context } = this.#options;
    const { item } = run.outcome;
    const stream: StreamId = asId(`${context.identity.id}-s${this.#streams}`);
    const key = requestKey(asId(item.workspace), asId(item.id));
    run.outcome.streams.push(stream);
    while (true) {
      let answer: GrantAnswer | undefined;
      for (const shard of this.#shards(key)) {
        const request = this.#request(run, { stream, key, shard, avoid });
        run.request = request;
        run.shard = shard;
        answer = await this.#askShard(shard, request);
        if (answer?.kind !== "refused" || run.ended) break;
        if (answer.reason !== "no-capacity") break;
      }
      if (answer) return answer;
      // The home did not answer: another VM becomes home once its loss is noticed.
      await new Promise((wake) => setTimeout(wake, ASK_AGAIN_MS));
      const late = performance.now() - run.sinceMs > 2 * FIRST_TOKEN_TARGET_MS;
      if (late || run.ended) {
        return { kind: "refused", reason: "no-capacity", retryAfterMs: 1_000 };
      }
    }
  }

  #shards(key: GrantRequest["key"]): readonly ShardPlan[] {
    const { endpoints, planShards, context } = this.#options;
    const model = asId<GrantRequest["model"]>(MODEL_NAME);
    if (planShards) return planShards(endpoints, { model });
    const { dataCentre } = context.identity;
    return chooseShards(endpoints, { model, dataCentre, key });
  }

  #request(
    run: Run,
    at: {
      stream: StreamId;
      key: GrantRequest["key"];
      shard: ShardPlan;
      avoid: readonly EndpointId[];
    },
  ): GrantRequest {
    const { item } = run.outcome;
    const spentMs = performance.now() - run.sinceMs;
    return {
      key: at.key,
      stream: at.stream,
      owner: this.#options.context.identity.id,
      workspace: asId(item.workspace),
      model: asId(MODEL_NAME),
      promptTokens: item.promptTokens,
      blocks: item.blocks,
      maxTokens: MAX_OUTPUT_TOKENS,
      firstTokenInMs: FIRST_TOKEN_TARGET_MS - CALLER_LATENCY_MS - WAY_BACK_MS -
        spentMs,
      deadlineInMs: DEADLINE_MS - spentMs,
      avoid: [...at.avoid],
      alone: false,
      shard: at.shard.name,
    };
  }

  async #askShard(
    shard: ShardPlan,
    request: GrantRequest,
  ): Promise<GrantAnswer | undefined> {
    const answer = await this.#options.context.ports.peers.call(
      this.#options.homeOf(shard),
      "grants/request",
      { params: request, timeoutMs: request.deadlineInMs },
    );
    return answer.unwrapOr(undefined as never);
  }

  async #runGranted(
    run: Run,
    options: { granted: Granted; avoid: EndpointId[] },
  ): Promise<Ending> {
    const { granted, avoid } = options;
    const failedAt = (endpoint: EndpointId): Ending => {
      this.#tell(run, { kind: "failed", endpoint });
      this.#cancelRun(run);
      avoid.push(endpoint);
      run.granted = undefined;
      run.outcome.recordEvent(`failed at ${endpoint}`);
      return "again";
    };
    run.phase = "prefill";
    this.#tell(run, { kind: "prefillStarted" });
    const order = this.#order(run);
    const { engines } = this.#options.context.ports;
    const prefill = this.#endpoint(granted.prefill);
    const done = await engines.prefill(prefill, order, {
      timeoutMs: ENGINE_TIMEOUT_MS,
    });
    if (run.ended) return "gone";
    if (done.isErr()) return failedAt(granted.prefill);
    run.phase = "transfer";
    run.outcome.recordEvent("prefill ended");
    this.#tell(run, { kind: "prefillEnded" });
    const failed = await this.#decode(run, granted);
    if (run.ended) return failed === null ? "done" : "gone";
    return failed === null ? "done" : failedAt(failed);
  }

  /** Resolves when the run ends: with null, or with the endpoint that failed. */
  #decode(run: Run, granted: Granted): Promise<EndpointId | null> {
    const { engines } = this.#options.context.ports;
    return new Promise((resolve) => {
      const stalled = setTimeout(
        () => resolve(granted.prefill),
        TRANSFER_LIMIT_MS +
          TRANSFER_LIMIT_PER_TOKEN_MS * run.prompt.tokens,
      );
      engines.start(this.#endpoint(granted.decode), {
        ...this.#order(run),
        from: this.#endpoint(granted.prefill),
        maxTokens: MAX_OUTPUT_TOKENS,
      }, {
        timeoutMs: ENGINE_TIMEOUT_MS,
        sink: (event) => {
          if (run.ended || run.granted !== granted) return;
          if (event.kind === "started") {
            clearTimeout(stalled);
            run.phase = "decode";
            run.outcome.recordEvent("decode started");
            this.#tell(run, { kind: "decodeStarted" });
          }
          if (event.kind === "tokens") {
            run.generated += event.texts.length;
            run.outcome.receive(event.texts.length, run.request!.stream);
          }
          if (event.kind === "failed") {
            clearTimeout(stalled);
            resolve(granted.decode);
          }
          if (event.kind === "end") {
            run.ended = true;
            run.outcome.done = true;
            run.outcome.recordEvent("end");
            const generatedTokens = event.totalTokens;
            this.#tell(run, { kind: "ended", generatedTokens });
            resolve(null);
          }
        },
      });
    });
  }

  #order(run: Run) {
    const { identity } = this.#options.context;
    const request = run.request!;
    return {
      stream: request.stream,
      key: request.key,
      owner: { vm: identity.id, incarnation: identity.incarnation },
      model: request.model,
      prompt: run.prompt,
      priority: 5,
    };
  }

  /** The caller goes: what waits is withdrawn, what runs is cancelled. */
  #leave(run: Run): void {
    if (run.ended) return;
    run.ended = true;
    run.outcome.gaveUp = true;
    run.outcome.recordEvent("caller left");
    const { request, shard } = run;
    if (!request || !shard) return;
    const { key, model } = request;
    if (run.granted) {
      this.#tell(run, { kind: "ended", generatedTokens: 0 });
      this.#cancelRun(run);
    } else void this.#call(shard, "grants/withdraw", { model, key });
  }

  /** A grant that came after its caller had gone. */
  #giveBack(run: Run, answer: GrantAnswer): void {
    if (answer.kind === "refused") return;
    run.granted = answer;
    this.#tell(run, { kind: "ended", generatedTokens: 0 });
  }

  #cancelRun(run: Run): void {
    const { granted, request } = run;
    if (!granted || !request) return;
    const { engines } = this.#options.context.ports;
    for (const id of [granted.prefill, granted.decode]) {
      void engines.cancel(this.#endpoint(id), request.stream, {
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
    }
  }

  #tell(run: Run, progress: GrantProgress): void {
    const { request, granted, shard } = run;
    if (!request || !granted || !shard) return;
    const grant: GrantId = granted.grant;
    const { model, key } = request;
    void this.#call(shard, "grants/progress", { model, grant, key, progress });
  }

  #call(
    shard: ShardPlan,
    method: "grants/progress" | "grants/withdraw" | "grants/register",
    params: unknown,
  ): Promise<unknown> {
    return this.#options.context.ports.peers.call(
      this.#options.homeOf(shard),
      method,
      { params: params as never, timeoutMs: NOTICE_TIMEOUT_MS },
    );
  }

  #endpoint(id: EndpointId): Endpoint {
    return this.#options.endpoints.find((one) => one.id === id)!;
  }
}
