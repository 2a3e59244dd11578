/** Where requests of callers enter a VM: counted, refused while it stops, cut off at its end. */
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

const CUT_OFF = mayHaveRun("cut-by-stop");
// This VM did not run it; what an earlier attempt elsewhere did is not looked up any more.
const STOPPING = notRun("stopping", { earlierAttempts: "unknown" });

/** Options of {@link RequestGate}. */
export interface RequestGateOptions {
  calls: Pick<CallsTask, "submit">;
  summaries: Pick<SummariesTask, "submit">;
  inProgress: InProgressCounter;
  refusesWork: () => boolean;
  /** Told of each summary that is refused here; refused calls are counted by who answers them. */
  countRefusal: (reason: Refusal["reason"]) => void;
}

/** Admits requests and keeps what it takes to end them. */
export class RequestGate {
  #options: RequestGateOptions;
  #cuts = new Set<() => void>();

  constructor(options: RequestGateOptions) {
    this.#options = options;
  }

  /** Runs one call, unless the VM is stopping. */
  submitCall(
    ...submission: Parameters<CallsTask["submit"]>
  ): Promise<CallVerdict> {
    const { calls, inProgress, refusesWork } = this.#options;
    if (refusesWork()) return Promise.resolve(refuse(STOPPING));
    const end = inProgress.track();
    return new Promise((resolve, reject) => {
      const cut = () => resolve(refuse(CUT_OFF));
      this.#cuts.add(cut);
      calls.submit(...submission).then(resolve, reject).finally(() => {
        this.#cuts.delete(cut);
        end();
      });
    });
  }

  /** Starts a summary, or attaches to one that runs, unless the VM is stopping. */
  submitSummary(request: SummaryRequest, sink: SummarySink): SummaryHandle {
    const { summaries, inProgress, refusesWork, countRefusal } = this.#options;
    if (refusesWork()) {
      countRefusal(STOPPING.reason);
      sink({ kind: "refused", refusal: STOPPING });
      const key = requestKey(request.workspace, request.request);
      return { key, cancel() {}, pause() {}, resume() {} };
    }
    const endCount = inProgress.track();
    let ended = false;
    const end = () => {
      ended = true;
      this.#cuts.delete(cut);
      endCount();
    };
    const handle = summaries.submit(request, (event: SummaryEvent) => {
      if (ended) return;
      sink(event);
      if (event.kind !== "tokens") end();
    });
    // Hoisted, as a request may be refused before `submit` returns its handle.
    function cut(): void {
      if (!ended) {
        countRefusal(CUT_OFF.reason);
        sink({ kind: "refused", refusal: CUT_OFF });
      }
      end();
      handle.cancel();
    }
    if (!ended) this.#cuts.add(cut);
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

  /** Requests that have no final answer yet. */
  get openRequestCount(): number {
    return this.#cuts.size;
  }

  /** Tells all whose requests are in progress that they are cut off. */
  abortOpenRequests(): void {
    for (const cut of [...this.#cuts]) cut();
  }
}
