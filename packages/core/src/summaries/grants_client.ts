/** Asks shard homes for grants and tells them how the runs go on. */
import type {
  GrantAnswer,
  GrantProgress,
  GrantRequest,
} from "../grants/types.ts";
import type { MembershipView } from "../membership/types.ts";
import { rankShardHomes } from "../reports/shards.ts";
import type { GrantId, ModelName, RequestKey } from "../shared/ids.ts";
import type { VmContext } from "../vm/types.ts";

const TELL_TIMEOUT_MS = 500;
/** Added to the time that a home may take for its answer. */
const ANSWER_MARGIN_MS = 500;

/** Where a grant is known. */
export interface GrantRef {
  readonly model: ModelName;
  readonly grant: GrantId;
  readonly key: RequestKey;
}

/** Speaks to the homes of pool shards. */
export class GrantsClient {
  #context: VmContext;
  #membership: MembershipView;

  constructor(context: VmContext, membership: MembershipView) {
    this.#context = context;
    this.#membership = membership;
  }

  /** Asks the home, or the next in turn where it can't be reached; null when none answers. */
  async ask(request: GrantRequest): Promise<GrantAnswer | null> {
    const timeoutMs = Math.max(0, request.firstTokenInMs) + ANSWER_MARGIN_MS;
    for (const home of rankShardHomes(this.#membership, request.model)) {
      const answer = await this.#context.ports.peers.call(
        home,
        "grants/request",
        { params: request, timeoutMs, fresh: true },
      );
      if (answer.isOk()) return answer.value;
      this.withdraw(request.model, request.key);
    }
    return null;
  }

  /** Drops a request that still waits. */
  withdraw(model: ModelName, key: RequestKey): void {
    for (const home of rankShardHomes(this.#membership, model).slice(0, 1)) {
      void this.#context.ports.peers.call(home, "grants/withdraw", {
        params: { model, key },
        timeoutMs: TELL_TIMEOUT_MS,
        fresh: true,
      });
    }
  }

  /** Tells how a run goes on. */
  tell(ref: GrantRef, progress: GrantProgress): void {
    void this.#tell(ref, progress);
  }

  async #tell(ref: GrantRef, progress: GrantProgress): Promise<void> {
    const isLast = progress.kind === "ended" || progress.kind === "failed";
    for (const fresh of isLast ? [false, true] : [false]) {
      const [home] = rankShardHomes(this.#membership, ref.model);
      const answer = await this.#context.ports.peers.call(
        home!,
        "grants/progress",
        { params: { ...ref, progress }, timeoutMs: TELL_TIMEOUT_MS, fresh },
      );
      if (answer.isOk()) return;
    }
  }
}
