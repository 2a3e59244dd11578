/** Owns the summaries whose callers are connected to this VM. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import type { GrantAnswer } from "../grants/types.ts";
import type { MembershipView } from "../membership/types.ts";
import type { Attachment, Prompt, RunOwner } from "../ports/engines.ts";
import { digest } from "../shared/hash.ts";
import {
  asId,
  type EndpointId,
  type RequestKey,
  requestKey,
  type StreamId,
} from "../shared/ids.ts";
import { mayHaveRun, notRun, type Refusal } from "../shared/verdict.ts";
import type { VmContext } from "../vm/types.ts";
import { measurePrompt } from "./prompt.ts";
import type { SummaryHandle, SummaryRequest, SummarySink } from "./types.ts";

const PEER_TIMEOUT_MS = 1_000;
const NO_CAPACITY: GrantAnswer = {
  kind: "refused",
  reason: "no-capacity",
  retryAfterMs: 1_000,
};

/** Options of {@link SummariesTask}. */
export interface SummariesTaskOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
}

type Granted = Extract<GrantAnswer, { kind: "granted" }>;

/** Runs summaries from admission to the last token. */
export class SummariesTask {
  #context: VmContext;
  #options: SummariesTaskOptions;
  #started = 0;
  #runs = new Map<RequestKey, SummaryRun>();

  constructor(context: VmContext, options: SummariesTaskOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Starts a summary, or attaches to one that runs. */
  submit(request: SummaryRequest, sink: SummarySink): SummaryHandle {
    const key = requestKey(request.workspace, request.request);
    const run = new SummaryRun(request, sink, () => this.#runs.delete(key));
    this.#runs.set(key, run);
    this.#run(run).catch((error) => {
      this.#context.observer.log({
        event: "summary-error",
        level: "error",
        key,
        message: String(error),
      });
      run.refuse(mayHaveRun("connection-lost"));
    });
    return {
      key,
      cancel: () => run.cancel(),
      pause: () => run.attachment?.pause(),
      resume: () => run.attachment?.resume(),
    };
  }

  /** Cancels a summary on an operator's order; false when this VM does not own it. */
  cancel(key: RequestKey): boolean {
    const run = this.#runs.get(key);
    if (!run) return false;
    run.refuse(mayHaveRun("cancelled"));
    run.cancel();
    return true;
  }

  async #run(run: SummaryRun): Promise<void> {
    const { request } = run;
    const key = requestKey(request.workspace, request.request);
    const prompt = measurePrompt(request.prompt);
    this.#started += 1;
    const stream: StreamId = asId(
      `${this.#context.identity.incarnation}-s${this.#started}`,
    );
    const answer = await this.#askGrant(run, { prompt, stream });
    if (answer.kind === "refused") {
      run.refuse(
        notRun(answer.reason, { retryAfterMs: answer.retryAfterMs }),
      );
      return;
    }
    const prefill = this.#endpoint(answer.prefill);
    const decode = this.#endpoint(answer.decode);
    if (!prefill || !decode) return run.refuse(notRun("no-endpoint"));
    const owner: RunOwner = {
      vm: this.#context.identity.id,
      incarnation: this.#context.identity.incarnation,
    };
    const order = {
      stream,
      key,
      owner,
      model: request.model,
      prompt,
      priority: 5,
    };
    const timeoutMs = request.deadlineAtMs - Date.now();
    const { engines } = this.#context.ports;
    const done = await engines.prefill(prefill, order, { timeoutMs });
    if (done.isErr()) {
      this.#end(run, answer);
      return run.refuse(notRun("no-capacity"));
    }
    run.attachment = engines.start(
      decode,
      { ...order, from: prefill, maxTokens: request.maxTokens },
      {
        timeoutMs,
        sink: (event) => {
          if (event.kind === "started") return;
          if (event.kind === "failed") {
            this.#end(run, answer);
            return run.refuse(mayHaveRun("connection-lost"));
          }
          if (event.kind === "end") this.#end(run, answer);
          run.send(event);
        },
      },
    );
  }

  async #askGrant(
    run: SummaryRun,
    options: { prompt: Prompt; stream: StreamId },
  ): Promise<GrantAnswer> {
    const { request } = run;
    const answer = await this.#context.ports.peers.call(
      this.#options.membership.homeOf(`shard/${request.model}`),
      "grants/request",
      {
        params: {
          key: requestKey(request.workspace, request.request),
          stream: options.stream,
          owner: this.#context.identity.id,
          workspace: request.workspace,
          model: request.model,
          promptTokens: options.prompt.tokens,
          blocks: options.prompt.blocks,
          maxTokens: request.maxTokens,
          firstTokenInMs: 610,
          deadlineInMs: request.deadlineAtMs - Date.now(),
          avoid: [],
          alone: false,
        },
        timeoutMs: PEER_TIMEOUT_MS,
      },
    );
    return answer.unwrapOr(NO_CAPACITY);
  }

  #end(run: SummaryRun, granted: Granted): void {
    const { model } = run.request;
    void this.#context.ports.peers.call(
      this.#options.membership.homeOf(`shard/${model}`),
      "grants/progress",
      {
        params: {
          model,
          grant: granted.grant,
          key: requestKey(run.request.workspace, run.request.request),
          progress: { kind: "ended", generatedTokens: 0 },
        },
        timeoutMs: PEER_TIMEOUT_MS,
      },
    );
  }

  #endpoint(id: EndpointId): Endpoint | undefined {
    return this.#options.configuration.current()?.bodies.endpoints.find((
      endpoint,
    ) => endpoint.id === id);
  }
}

/** One summary on its way. */
class SummaryRun {
  attachment: Attachment | undefined;
  #finished = false;
  #sink: SummarySink;
  #onEnd: () => void;

  constructor(
    readonly request: SummaryRequest,
    sink: SummarySink,
    onEnd: () => void,
  ) {
    this.#sink = sink;
    this.#onEnd = onEnd;
  }

  send(event: Parameters<SummarySink>[0]): void {
    if (this.#finished) return;
    this.#finished = event.kind !== "tokens";
    if (this.#finished) this.#onEnd();
    this.#sink(event);
  }

  refuse(refusal: Refusal): void {
    this.send({ kind: "refused", refusal });
  }

  cancel(): void {
    this.#finished = true;
    this.#onEnd();
    this.attachment?.detach();
  }

  /** The digest that tells a resend from another body under the same key. */
  get bodyDigest() {
    return digest(this.request.prompt);
  }
}
