/** Simplified owner of requests: asks for grants, runs prefill and decode, reports progress, retries. */
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
const NOTIFY_TIMEOUT_MS = 1_000;
/** A transfer that takes longer than this, plus a time per prompt token, counts as stalled. */
const TRANSFER_TIMEOUT_MS = 800;
const TRANSFER_TIMEOUT_PER_TOKEN_MS = 0.1;
const RETRY_INTERVAL_MS = 50;
/** Part of the first-token target reserved for the path from the engine back to the caller. */
const RETURN_PATH_MS = 5;

type Granted = Extract<GrantAnswer, { kind: "granted" }>;
/** `again` asks for a retry; `gone` means that the caller left or the VM was lost meanwhile. */
type AttemptResult = "done" | "again" | "gone";

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
  readonly submittedAtMs: number;
  request: GrantRequest | undefined;
  shard: ShardPlan | undefined;
  granted: Granted | undefined;
  phase: HeldGrant["phase"];
  generated: number;
  ended: boolean;
  leave: (() => void) | undefined;
}

/** Owns the requests that callers send to one VM. */
export class Owner {
  #options: OwnerOptions;
  #runs = new Set<Run>();
  #streamCount = 0;

  constructor(options: OwnerOptions) {
    this.#options = options;
  }

  /** Starts a request; returns a function that disconnects its caller. */
  submit(outcome: Outcome): () => void {
    const { item } = outcome;
    const run: Run = {
      outcome,
      prompt: {
        text: item.id,
        tokens: item.promptTokens,
        blocks: item.blocks,
      },
      submittedAtMs: performance.now(),
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
    return () => this.#abandon(run);
  }

  /** Simulates the loss of the VM: all unfinished requests are lost. */
  kill(): void {
    for (const run of this.#runs) {
      if (!run.ended && !run.outcome.done) run.outcome.lost = true;
      run.ended = true;
    }
    this.#runs.clear();
  }

  /** Registers the held grants at the current homes of their shards. */
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
      const answer = await this.#requestGrant(run, avoid);
      if (run.ended) return this.#releaseGrant(run, answer);
      if (answer.kind === "refused") {
        run.outcome.refusalReason = answer.reason;
        run.outcome.recordEvent(`refused: ${answer.reason}`);
        run.ended = true;
        return;
      }
      run.granted = answer;
      run.outcome.recordEvent("granted");
      const result = await this.#runAttempt(run, { granted: answer, avoid });
      if (result !== "again" || run.ended) return;
    }
    run.outcome.refusalReason = "endpoint-refused";
  }

  async #requestGrant(
    run: Run,
    avoid: readonly EndpointId[],
  ): Promise<GrantAnswer> {
    this.#streamCount += 1;
    const { context } = this.#options;
    const { item } = run.outcome;
    const stream: StreamId = asId(
      `${context.identity.id}-s${this.#streamCount}`,
    );
    const key = requestKey(asId(item.workspace), asId(item.id));
    run.outcome.streams.push(stream);
    while (true) {
      let answer: GrantAnswer | undefined;
      for (const shard of this.#candidateShards(key)) {
        const request = this.#createRequest(run, { stream, key, shard, avoid });
        run.request = request;
        run.shard = shard;
        answer = await this.#callHome(shard, request);
        if (answer?.kind !== "refused" || run.ended) break;
        if (answer.reason !== "no-capacity") break;
      }
      if (answer) return answer;
      // The home did not answer; another VM becomes home once its loss is detected.
      await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
      const timedOut =
        performance.now() - run.submittedAtMs > 2 * FIRST_TOKEN_TARGET_MS;
      if (timedOut || run.ended) {
        return { kind: "refused", reason: "no-capacity", retryAfterMs: 1_000 };
      }
    }
  }

  #candidateShards(key: GrantRequest["key"]): readonly ShardPlan[] {
    const { endpoints, planShards, context } = this.#options;
    const model = asId<GrantRequest["model"]>(MODEL_NAME);
    if (planShards) return planShards(endpoints, { model });
    const { dataCentre } = context.identity;
    return chooseShards(endpoints, { model, dataCentre, key });
  }

  #createRequest(
    run: Run,
    target: {
      stream: StreamId;
      key: GrantRequest["key"];
      shard: ShardPlan;
      avoid: readonly EndpointId[];
    },
  ): GrantRequest {
    const { item } = run.outcome;
    const elapsedMs = performance.now() - run.submittedAtMs;
    return {
      key: target.key,
      stream: target.stream,
      owner: this.#options.context.identity.id,
      workspace: asId(item.workspace),
      model: asId(MODEL_NAME),
      promptTokens: item.promptTokens,
      blocks: item.blocks,
      maxTokens: MAX_OUTPUT_TOKENS,
      firstTokenInMs: FIRST_TOKEN_TARGET_MS - CALLER_LATENCY_MS -
        RETURN_PATH_MS - elapsedMs,
      deadlineInMs: DEADLINE_MS - elapsedMs,
      avoid: [...target.avoid],
      alone: false,
      shard: target.shard.name,
    };
  }

  async #callHome(
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

  async #runAttempt(
    run: Run,
    options: { granted: Granted; avoid: EndpointId[] },
  ): Promise<AttemptResult> {
    const { granted, avoid } = options;
    const failAt = (endpoint: EndpointId): AttemptResult => {
      this.#sendProgress(run, { kind: "failed", endpoint });
      this.#cancelRun(run);
      avoid.push(endpoint);
      run.granted = undefined;
      run.outcome.recordEvent(`failed at ${endpoint}`);
      return "again";
    };
    run.phase = "prefill";
    this.#sendProgress(run, { kind: "prefillStarted" });
    const order = this.#createOrder(run);
    const { engines } = this.#options.context.ports;
    const prefill = this.#endpoint(granted.prefill);
    const prefillResult = await engines.prefill(prefill, order, {
      timeoutMs: ENGINE_TIMEOUT_MS,
    });
    if (run.ended) return "gone";
    if (prefillResult.isErr()) return failAt(granted.prefill);
    run.phase = "transfer";
    run.outcome.recordEvent("prefill ended");
    this.#sendProgress(run, { kind: "prefillEnded" });
    const failedEndpoint = await this.#decode(run, granted);
    if (run.ended) return failedEndpoint === null ? "done" : "gone";
    return failedEndpoint === null ? "done" : failAt(failedEndpoint);
  }

  /** Resolves with null once the run is done, or with the failed endpoint (on a stall, the prefill one). */
  #decode(run: Run, granted: Granted): Promise<EndpointId | null> {
    const { engines } = this.#options.context.ports;
    return new Promise((resolve) => {
      const stallTimer = setTimeout(
        () => resolve(granted.prefill),
        TRANSFER_TIMEOUT_MS +
          TRANSFER_TIMEOUT_PER_TOKEN_MS * run.prompt.tokens,
      );
      engines.start(this.#endpoint(granted.decode), {
        ...this.#createOrder(run),
        from: this.#endpoint(granted.prefill),
        maxTokens: MAX_OUTPUT_TOKENS,
      }, {
        timeoutMs: ENGINE_TIMEOUT_MS,
        sink: (event) => {
          if (run.ended || run.granted !== granted) return;
          if (event.kind === "started") {
            clearTimeout(stallTimer);
            run.phase = "decode";
            run.outcome.recordEvent("decode started");
            this.#sendProgress(run, { kind: "decodeStarted" });
          }
          if (event.kind === "tokens") {
            run.generated += event.texts.length;
            run.outcome.receive(event.texts.length, run.request!.stream);
          }
          if (event.kind === "failed") {
            clearTimeout(stallTimer);
            resolve(granted.decode);
          }
          if (event.kind === "end") {
            run.ended = true;
            run.outcome.done = true;
            run.outcome.recordEvent("end");
            const generatedTokens = event.totalTokens;
            this.#sendProgress(run, { kind: "ended", generatedTokens });
            resolve(null);
          }
        },
      });
    });
  }

  #createOrder(run: Run) {
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

  /** The caller disconnects: withdraws a waiting request or cancels a running one. */
  #abandon(run: Run): void {
    if (run.ended) return;
    run.ended = true;
    run.outcome.gaveUp = true;
    run.outcome.recordEvent("caller left");
    const { request, shard } = run;
    if (!request || !shard) return;
    const { key, model } = request;
    if (run.granted) {
      this.#sendProgress(run, { kind: "ended", generatedTokens: 0 });
      this.#cancelRun(run);
    } else void this.#call(shard, "grants/withdraw", { model, key });
  }

  /** Releases a grant that arrived after its caller had disconnected. */
  #releaseGrant(run: Run, answer: GrantAnswer): void {
    if (answer.kind === "refused") return;
    run.granted = answer;
    this.#sendProgress(run, { kind: "ended", generatedTokens: 0 });
  }

  #cancelRun(run: Run): void {
    const { granted, request } = run;
    if (!granted || !request) return;
    const { engines } = this.#options.context.ports;
    for (const id of [granted.prefill, granted.decode]) {
      void engines.cancel(this.#endpoint(id), request.stream, {
        timeoutMs: NOTIFY_TIMEOUT_MS,
      });
    }
  }

  #sendProgress(run: Run, progress: GrantProgress): void {
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
      { params: params as never, timeoutMs: NOTIFY_TIMEOUT_MS },
    );
  }

  #endpoint(id: EndpointId): Endpoint {
    return this.#options.endpoints.find((one) => one.id === id)!;
  }
}
