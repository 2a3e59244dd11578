/**
 * Cancels runs at engines. Each cancel is repeated until the engine
 * acknowledges or rejects it, no longer lists the run, or leaves the
 * configuration.
 */
import type { Endpoint } from "../configuration/types.ts";
import type { ConfigurationView } from "../configuration/task.ts";
import type { StreamId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";

const CANCEL_TIMEOUT_MS = 500;
const MIN_RETRY_WAIT_MS = 50;
const MAX_RETRY_WAIT_MS = 800;
/** Consecutive reports without the run after which it counts as ended. */
const REPORTS_WITHOUT_RUN = 2;

/** Options of {@link CancelTracker}. */
export interface CancelTrackerOptions {
  configuration: ConfigurationView;
  /** Whether a cancel without an answer is repeated. */
  repeats: () => boolean;
}

/** Sends cancels and tracks those in progress. */
export class CancelTracker {
  #context: VmContext;
  #options: CancelTrackerOptions;
  #pending = new Set<string>();

  constructor(context: VmContext, options: CancelTrackerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Number of cancels in progress. */
  get pending(): number {
    return this.#pending.size;
  }

  /**
   * Cancels a run at an endpoint. Does nothing when a cancel of this run at
   * this endpoint is already pending.
   */
  cancel(endpoint: Endpoint, stream: StreamId): void {
    const pendingKey = `${endpoint.id} ${stream}`;
    if (this.#pending.has(pendingKey)) return;
    this.#pending.add(pendingKey);
    void this.#repeatCancel(endpoint, stream).finally(() =>
      this.#pending.delete(pendingKey)
    );
  }

  async #repeatCancel(endpoint: Endpoint, stream: StreamId): Promise<void> {
    const { observer, random } = this.#context;
    const startedAtMs = performance.now();
    let absences = 0;
    let waitMs = MIN_RETRY_WAIT_MS;
    while (!await this.#cancelOnce(endpoint, stream)) {
      if (!this.#options.repeats() || !this.#isConfigured(endpoint)) return;
      const listed = await this.#isListed(endpoint, { stream, startedAtMs });
      if (listed !== null) absences = listed ? 0 : absences + 1;
      if (absences >= REPORTS_WITHOUT_RUN) {
        return observer.count("cancels", "not-listed");
      }
      observer.count("retries", "cancel");
      const jitteredMs = waitMs * (0.5 + random());
      await new Promise((resolve) => setTimeout(resolve, jitteredMs));
      waitMs = Math.min(MAX_RETRY_WAIT_MS, waitMs * 2);
    }
    observer.count("cancels", "acknowledged");
  }

  async #cancelOnce(endpoint: Endpoint, stream: StreamId): Promise<boolean> {
    const answer = await this.#context.ports.engines.cancel(endpoint, stream, {
      timeoutMs: CANCEL_TIMEOUT_MS,
      fresh: true,
    });
    return answer.isOk() || answer.error.kind === "rejected";
  }

  /**
   * Returns whether the endpoint's report lists the run; null when there is no
   * report that was taken after the cancel began, at `run.startedAtMs`.
   */
  async #isListed(
    endpoint: Endpoint,
    run: { stream: StreamId; startedAtMs: number },
  ): Promise<boolean | null> {
    const answer = await this.#context.ports.engines.report(endpoint, {
      timeoutMs: CANCEL_TIMEOUT_MS,
      fresh: true,
    });
    if (answer.isErr()) return null;
    const { ageMs, runs } = answer.value;
    if (performance.now() - ageMs <= run.startedAtMs) return null;
    return runs.some((listed) => listed.stream === run.stream);
  }

  #isConfigured(endpoint: Endpoint): boolean {
    const endpoints = this.#options.configuration.current()?.bodies.endpoints;
    return endpoints?.some((other) => other.id === endpoint.id) ?? true;
  }
}
