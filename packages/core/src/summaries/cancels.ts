/** Cancels runs at engines until each engine has acknowledged, or no longer lists the run. */
import type { Endpoint } from "../configuration/types.ts";
import type { ConfigurationView } from "../configuration/task.ts";
import type { StreamId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";

const CANCEL_TIMEOUT_MS = 500;
const FIRST_WAIT_MS = 50;
const LONGEST_WAIT_MS = 800;
/** Reports in a row without the run after which it counts as gone. */
const REPORTS_WITHOUT_RUN = 2;

/** Options of {@link CancelTracker}. */
export interface CancelTrackerOptions {
  configuration: ConfigurationView;
  /** Whether a cancel is repeated until it is acknowledged. */
  repeats: () => boolean;
}

/** Owns the cancels that are not yet acknowledged. */
export class CancelTracker {
  #context: VmContext;
  #options: CancelTrackerOptions;
  #pending = new Set<string>();

  constructor(context: VmContext, options: CancelTrackerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Cancels that still wait for an acknowledgement. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Cancels a run at an endpoint; a cancel under way is not doubled. */
  cancel(endpoint: Endpoint, stream: StreamId): void {
    const name = `${endpoint.id} ${stream}`;
    if (this.#pending.has(name)) return;
    this.#pending.add(name);
    void this.#repeat(endpoint, stream).finally(() =>
      this.#pending.delete(name)
    );
  }

  async #repeat(endpoint: Endpoint, stream: StreamId): Promise<void> {
    const { observer, random } = this.#context;
    const sinceMs = performance.now();
    let absent = 0;
    let waitMs = FIRST_WAIT_MS;
    while (!await this.#cancelOnce(endpoint, stream)) {
      if (!this.#options.repeats() || !this.#isConfigured(endpoint)) return;
      const listed = await this.#isListed(endpoint, { stream, sinceMs });
      if (listed !== null) absent = listed ? 0 : absent + 1;
      if (absent >= REPORTS_WITHOUT_RUN) {
        return observer.count("cancels", "not-listed");
      }
      observer.count("retries", "cancel");
      const spreadMs = waitMs * (0.5 + random());
      await new Promise((resolve) => setTimeout(resolve, spreadMs));
      waitMs = Math.min(LONGEST_WAIT_MS, waitMs * 2);
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

  /** Null where no report tells. */
  async #isListed(
    endpoint: Endpoint,
    run: { stream: StreamId; sinceMs: number },
  ): Promise<boolean | null> {
    const answer = await this.#context.ports.engines.report(endpoint, {
      timeoutMs: CANCEL_TIMEOUT_MS,
      fresh: true,
    });
    if (answer.isErr()) return null;
    const { ageMs, runs } = answer.value;
    if (performance.now() - ageMs <= run.sinceMs) return null;
    return runs.some((one) => one.stream === run.stream);
  }

  #isConfigured(endpoint: Endpoint): boolean {
    const endpoints = this.#options.configuration.current()?.bodies.endpoints;
    return endpoints?.some((one) => one.id === endpoint.id) ?? true;
  }
}
