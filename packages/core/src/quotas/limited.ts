/** Requires admission under the workspace's quota before a call or a summary is submitted. */
import type { CallsTask } from "../calls/task.ts";
import { CHARACTERS_PER_TOKEN } from "../summaries/prompt.ts";
import type { SummariesTask } from "../summaries/task.ts";
import type {
  SummaryEvent,
  SummaryHandle,
  SummaryRequest,
  SummarySink,
} from "../summaries/types.ts";
import { requestKey } from "../common/ids.ts";
import {
  type NotRun,
  notRun,
  type Refusal,
  refuse,
} from "../common/verdict.ts";
import type { AdmittedRequest, QuotaAdmission } from "./task.ts";

/** Wraps the submission of calls so that each is admitted first; calls cost no tokens. */
export function limitCalls(
  calls: Pick<CallsTask, "submit">,
  quotas: QuotaAdmission,
): Pick<CallsTask, "submit"> {
  return {
    async submit(call, connection) {
      if (!quotas.isLimited(call.workspace)) {
        return await calls.submit(call, connection);
      }
      const admitted = await quotas.admit(call.workspace, 0);
      if (admitted.isErr()) return refuse(withUnknownAttempts(admitted.error));
      return await calls.submit(call, connection).finally(() =>
        admitted.value.release()
      );
    },
  };
}

/** Options of {@link limitSummaries}. */
export interface LimitSummariesOptions {
  quotas: QuotaAdmission;
  /** Called for each summary that is not admitted. */
  countRefusal: (reason: Refusal["reason"]) => void;
}

/**
 * Wraps the submission of summaries so that each is admitted first, for its
 * prompt's tokens plus the maximum it may generate.
 */
export function limitSummaries(
  summaries: Pick<SummariesTask, "submit">,
  { quotas, countRefusal }: LimitSummariesOptions,
): Pick<SummariesTask, "submit"> {
  return {
    submit(request, sink) {
      if (!quotas.isLimited(request.workspace)) {
        return summaries.submit(request, sink);
      }
      const summary = new LimitedSummary(request, sink);
      void quotas.admit(request.workspace, tokensOf(request)).then((result) =>
        result.match(
          (admitted) => summary.start(summaries, admitted),
          (refusal) => {
            countRefusal(refusal.reason);
            summary.refuse(refusal);
          },
        )
      );
      return summary;
    },
  };
}

/** Handle of a summary that waits for admission or was admitted. */
class LimitedSummary implements SummaryHandle {
  readonly key: SummaryHandle["key"];
  #request: SummaryRequest;
  #sink: SummarySink;
  #handle: SummaryHandle | undefined;
  #admitted: AdmittedRequest | undefined;
  #cancelled = false;
  #paused = false;

  constructor(request: SummaryRequest, sink: SummarySink) {
    this.key = requestKey(request.workspace, request.request);
    this.#request = request;
    this.#sink = sink;
  }

  start(
    summaries: Pick<SummariesTask, "submit">,
    admitted: AdmittedRequest,
  ): void {
    if (this.#cancelled) return admitted.release();
    this.#admitted = admitted;
    this.#handle = summaries.submit(
      this.#request,
      (event) => this.#receive(event),
    );
    if (this.#paused) this.#handle.pause();
  }

  refuse(refusal: NotRun): void {
    if (this.#cancelled) return;
    this.#sink({ kind: "refused", refusal: withUnknownAttempts(refusal) });
  }

  cancel(): void {
    this.#cancelled = true;
    this.#handle?.cancel();
    this.#admitted?.release();
  }

  pause(): void {
    this.#paused = true;
    this.#handle?.pause();
  }

  resume(): void {
    this.#paused = false;
    this.#handle?.resume();
  }

  #receive(event: SummaryEvent): void {
    if (event.kind !== "tokens") this.#admitted?.release();
    this.#sink(event);
  }
}

function tokensOf(request: SummaryRequest): number {
  const promptTokens = Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN);
  return promptTokens + request.maxTokens;
}

// Earlier attempts under the same key aren't looked up before admission, so their
// outcome is unknown.
function withUnknownAttempts({ reason, retryAfterMs }: NotRun): NotRun {
  return notRun(reason, { retryAfterMs, earlierAttempts: "unknown" });
}
