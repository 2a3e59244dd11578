/**
 * Entry point of callers' requests: counts them as work in progress, refuses
 * them once the VM drains and aborts those that are open at a forced shutdown.
 */
import type { CallsTask } from "../calls/task.ts";
import type { CallVerdict } from "../calls/types.ts";
import { requestKey } from "../common/ids.ts";
import { mayHaveRun, notRun, type Refusal, refuse } from "../common/verdict.ts";
import type { SummariesTask } from "../summaries/task.ts";
import type {
  SummaryEvent,
  SummaryHandle,
  SummaryRequest,
  SummarySink,
} from "../summaries/types.ts";
import type { InProgressCounter } from "./in_progress.ts";

const ABORTED = mayHaveRun("cut-by-stop");
// This VM did not run the request. It no longer looks up the outcome of an
// earlier attempt at another VM.
const STOPPING = notRun("stopping", { earlierAttempts: "unknown" });

/** Options of {@link RequestGate}. */
export interface RequestGateOptions {
  calls: Pick<CallsTask, "submit">;
  summaries: Pick<SummariesTask, "submit">;
  inProgress: InProgressCounter;
  refusesWork: () => boolean;
  /**
   * Called for each summary that is refused here. Refused calls are counted
   * where they are answered.
   */
  countRefusal: (reason: Refusal["reason"]) => void;
}

/** Admits requests and can abort the open ones. */
export class RequestGate {
  #options: RequestGateOptions;
  #abortCallbacks = new Set<() => void>();

  constructor(options: RequestGateOptions) {
    this.#options = options;
  }

  /** Runs one call, or refuses it once the VM accepts no more work. */
  submitCall(
    ...submission: Parameters<CallsTask["submit"]>
  ): Promise<CallVerdict> {
    const { calls, inProgress, refusesWork } = this.#options;
    if (refusesWork()) return Promise.resolve(refuse(STOPPING));
    const endTracking = inProgress.track();
    return new Promise((resolve, reject) => {
      const abort = () => resolve(refuse(ABORTED));
      this.#abortCallbacks.add(abort);
      calls.submit(...submission).then(resolve, reject).finally(() => {
        this.#abortCallbacks.delete(abort);
        endTracking();
      });
    });
  }

  /**
   * Starts a summary or attaches to a running one; refuses the request once the
   * VM accepts no more work.
   */
  submitSummary(request: SummaryRequest, sink: SummarySink): SummaryHandle {
    const { summaries, inProgress, refusesWork, countRefusal } = this.#options;
    if (refusesWork()) {
      countRefusal(STOPPING.reason);
      sink({ kind: "refused", refusal: STOPPING });
      const key = requestKey(request.workspace, request.request);
      return { key, cancel() {}, pause() {}, resume() {} };
    }
    const endTracking = inProgress.track();
    let ended = false;
    const end = () => {
      ended = true;
      this.#abortCallbacks.delete(abort);
      endTracking();
    };
    const handle = summaries.submit(request, (event: SummaryEvent) => {
      if (ended) return;
      sink(event);
      if (event.kind !== "tokens") end();
    });
    // A hoisted function, since `end` uses it when a request is refused before
    // `submit` returns.
    function abort(): void {
      if (!ended) {
        countRefusal(ABORTED.reason);
        sink({ kind: "refused", refusal: ABORTED });
      }
      end();
      handle.cancel();
    }
    if (!ended) this.#abortCallbacks.add(abort);
    return {
      key: handle.key,
      pause: () => handle.pause(),
      resume: () => handle.resume(),
      cancel() {
        handle.cancel();
        end();
      },
    };
  }

  /** Number of requests that have no final answer yet. */
  get openRequestCount(): number {
    return this.#abortCallbacks.size;
  }

  /** Refuses all open requests as `cut-by-stop` and cancels open summaries. */
  abortOpenRequests(): void {
    for (const abort of [...this.#abortCallbacks]) abort();
  }
}
