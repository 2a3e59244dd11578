/** Requests admission from a workspace's home before a request is accepted. */
import { err, ok, type Result } from "neverthrow";
import type { ConfigurationView } from "../configuration/task.ts";
import { findWorkspace } from "../configuration/token_index.ts";
import type { Quota } from "../configuration/types.ts";
import type { MembershipView } from "../membership/types.ts";
import type { WorkspaceId } from "../common/ids.ts";
import { type NotRun, notRun } from "../common/verdict.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { AdmissionAnswer, QuotasHandlers } from "./app.ts";
import { QuotasHome } from "./home.ts";

const DRAW_TIMEOUT_MS = 500;
const RENEW_INTERVAL_MS = 1_000;
/** Maximum number of requests in one draw. */
const MAX_BATCH_REQUESTS = 64;

/** An admitted request. */
export interface AdmittedRequest {
  /** Stops counting the request as in flight; further calls do nothing. */
  release(): void;
}

/** Checks quotas before a request uses any resources. */
export interface QuotaAdmission {
  /** Whether a workspace has a quota. */
  isLimited(workspace: WorkspaceId): boolean;
  /** Admits a request of this many tokens, or refuses it as `quota-exceeded`. */
  admit(
    workspace: WorkspaceId,
    tokens: number,
  ): Promise<Result<AdmittedRequest, NotRun>>;
}

/** Options of {@link QuotasTask}. */
export interface QuotasTaskOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
}

interface WaitingRequest {
  readonly tokens: number;
  readonly settle: (result: Result<AdmittedRequest, NotRun>) => void;
}

interface LocalAccount {
  waiting: WaitingRequest[];
  inFlight: number;
  drawing: boolean;
  /** Whether to send the home the number in flight, as requests ended or the report needs renewal. */
  reportDue: boolean;
}

const UNLIMITED: AdmittedRequest = { release() {} };

/** Queues the requests that wait for admission at this VM, and counts those in flight. */
export class QuotasTask implements QuotaAdmission, VmTask {
  readonly handlers: QuotasHandlers;
  #context: VmContext;
  #options: QuotasTaskOptions;
  #accounts = new Map<WorkspaceId, LocalAccount>();
  #fallback: QuotasHome;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, options: QuotasTaskOptions) {
    this.#context = context;
    this.#options = options;
    const liveVms = () => this.#liveVms();
    const home = new QuotasHome({
      quotaOf: (workspace) => this.#quotaOf(workspace),
      liveVms,
    });
    this.#fallback = new QuotasHome({
      quotaOf: (workspace) => this.#equalShare(workspace),
      liveVms: () => 1,
    });
    this.handlers = { "quotas/draw": (request) => home.admit(request) };
  }

  start(): void {
    this.#timer = setInterval(() => this.#renew(), RENEW_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  isLimited(workspace: WorkspaceId): boolean {
    return this.#quotaOf(workspace) !== undefined;
  }

  admit(
    workspace: WorkspaceId,
    tokens: number,
  ): Promise<Result<AdmittedRequest, NotRun>> {
    if (!this.#quotaOf(workspace)) return Promise.resolve(ok(UNLIMITED));
    return new Promise((settle) => {
      this.#accountOf(workspace).waiting.push({ tokens, settle });
      void this.#drawAll(workspace);
    });
  }

  /** Draws until no request waits and no report is due; later arrivals join the next draw. */
  async #drawAll(workspace: WorkspaceId): Promise<void> {
    const account = this.#accountOf(workspace);
    if (account.drawing) return;
    account.drawing = true;
    while (account.waiting.length > 0 || account.reportDue) {
      const batch = account.waiting.splice(0, MAX_BATCH_REQUESTS);
      account.reportDue = false;
      const answer = await this.#draw(workspace, batch);
      account.inFlight += answer.admitted;
      batch.forEach((request, index) =>
        this.#settle(request, { workspace, answer, index })
      );
    }
    account.drawing = false;
    if (account.inFlight === 0) this.#accounts.delete(workspace);
  }

  async #draw(
    workspace: WorkspaceId,
    batch: readonly WaitingRequest[],
  ): Promise<AdmissionAnswer> {
    const request = {
      workspace,
      incarnation: this.#context.identity.incarnation,
      needs: batch.map((waiting) => waiting.tokens),
      inFlight: this.#accountOf(workspace).inFlight,
    };
    const home = this.#options.membership.homeOf(`quota/${workspace}`);
    const answer = await this.#context.ports.peers.call(home, "quotas/draw", {
      params: request,
      timeoutMs: DRAW_TIMEOUT_MS,
    });
    // While the home is unreachable, each VM admits up to an equal share of the quota.
    return answer.isOk() ? answer.value : this.#fallback.admit(request);
  }

  #settle(
    request: WaitingRequest,
    options: { workspace: WorkspaceId; answer: AdmissionAnswer; index: number },
  ): void {
    const { workspace, answer, index } = options;
    if (index < answer.admitted) {
      return request.settle(ok(this.#createAdmitted(workspace)));
    }
    const retryAfterMs = answer.retryAfterMs[index - answer.admitted];
    request.settle(err(notRun("quota-exceeded", { retryAfterMs })));
  }

  #createAdmitted(workspace: WorkspaceId): AdmittedRequest {
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        const account = this.#accountOf(workspace);
        account.inFlight -= 1;
        if (this.#quotaOf(workspace)?.inFlight === undefined) return;
        account.reportDue = true;
        void this.#drawAll(workspace);
      },
    };
  }

  /** Reports the requests in flight, so that new homes receive them and others keep them from expiring. */
  #renew(): void {
    for (const [workspace, account] of this.#accounts) {
      const { inFlight } = this.#quotaOf(workspace) ?? {};
      if (inFlight === undefined) continue;
      account.reportDue = true;
      void this.#drawAll(workspace);
    }
  }

  #accountOf(workspace: WorkspaceId): LocalAccount {
    let account = this.#accounts.get(workspace);
    if (!account) {
      account = { waiting: [], inFlight: 0, drawing: false, reportDue: false };
      this.#accounts.set(workspace, account);
    }
    return account;
  }

  #quotaOf(workspace: WorkspaceId): Quota | undefined {
    const configuration = this.#options.configuration.current();
    const quota = configuration && findWorkspace(configuration, workspace)
      ?.quota;
    const isLimited = quota &&
      (quota.requestsPerSecond || quota.tokensPerSecond || quota.inFlight);
    return isLimited ? quota : undefined;
  }

  #equalShare(workspace: WorkspaceId): Quota | undefined {
    const quota = this.#quotaOf(workspace);
    if (!quota) return undefined;
    const vms = this.#liveVms();
    const share = (amount: number | undefined) => amount && amount / vms;
    return {
      requestsPerSecond: share(quota.requestsPerSecond),
      tokensPerSecond: share(quota.tokensPerSecond),
      inFlight: quota.inFlight &&
        Math.max(1, Math.floor(quota.inFlight / vms)),
    };
  }

  #liveVms(): number {
    const { self } = this.#options.membership;
    const live = this.#options.membership.members().filter((member) =>
      member.state === "live" && member.region === self.region
    );
    return Math.max(1, live.length);
  }
}
