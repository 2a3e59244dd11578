/** Remembers which homes have not answered lately, so that they aren't called for a while. */
import type { VmId } from "../../common/ids.ts";

/** Calls in a row without an answer after which a home counts as silent. */
const SILENT_CALLS = 3;
/** How long a silent home is not called again. */
const HOME_COOLDOWN_MS = 1_000;

/** The outcomes of one VM's calls to homes. */
export class SilentHomes {
  #cooldownUntilMs = new Map<VmId, number>();
  #unansweredCalls = new Map<VmId, number>();

  /** Whether a home may be called now. */
  mayAnswer(home: VmId): boolean {
    return (this.#cooldownUntilMs.get(home) ?? 0) <= performance.now();
  }

  /** Records the outcome of a call; returns the number of calls in a row without an answer. */
  note(home: VmId, { answered }: { answered: boolean }): number {
    const calls = answered ? 0 : (this.#unansweredCalls.get(home) ?? 0) + 1;
    this.#unansweredCalls.set(home, calls);
    if (calls >= SILENT_CALLS) {
      this.#cooldownUntilMs.set(home, performance.now() + HOME_COOLDOWN_MS);
    }
    return calls;
  }
}
