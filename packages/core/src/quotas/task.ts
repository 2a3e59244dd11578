/** Requests admission of a workspace's requests from its home before they are accepted. */
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

const ADMISSION_TIMEOUT_MS = 500;
const RENEW_INTERVAL_MS = 1_000;
/** Maximum number of waiting requests that one admission request covers. */
const MAX_BATCH_REQUESTS = 64;

/** A request that was admitted, or whose workspace has no quota. */
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

/** A workspace's requests at this VM. */
interface LocalRequests {
  waiting: WaitingRequest[];
  inFlight: number;
  /** Whether an admission request to the home is in progress. */
  admitting: boolean;
  /** Whether the number in flight must be reported to the home even if no request waits. */
  reportDue: boolean;
}

const UNLIMITED: AdmittedRequest = { release() {} };

/** Queues the requests that wait for admission at this VM, and counts those in flight. */
export class QuotasTask implements QuotaAdmission, VmTask {
  readonly handlers: QuotasHandlers;
  #context: VmContext;
  #options: QuotasTaskOptions;
  #requests = new Map<WorkspaceId, LocalRequests>();
  #localHome: QuotasHome;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, options: QuotasTaskOptions) {
    this.#context = context;
    this.#options = options;
    const liveVms = () => this.#liveVms();
    const home = new QuotasHome({
      quotaOf: (workspace) => this.#quotaOf(workspace),
      liveVms,
    });
    this.#localHome = new QuotasHome({
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
      this.#requestsOf(workspace).waiting.push({ tokens, settle });
      void this.#admitWaiting(workspace);
    });
  }

  /**
   * Sends admission requests, one at a time, until no request waits and no report is
   * due. Requests that arrive meanwhile go into the next one.
   */
  async #admitWaiting(workspace: WorkspaceId): Promise<void> {
    const requests = this.#requestsOf(workspace);
    if (requests.admitting) return;
    requests.admitting = true;
    while (requests.waiting.length > 0 || requests.reportDue) {
      const batch = requests.waiting.splice(0, MAX_BATCH_REQUESTS);
      requests.reportDue = false;
      const answer = await this.#requestAdmission(workspace, batch);
      requests.inFlight += answer.admitted;
      batch.forEach((request, index) =>
        this.#settle(request, { workspace, answer, index })
      );
    }
    requests.admitting = false;
    if (requests.inFlight === 0) this.#requests.delete(workspace);
  }

  async #requestAdmission(
    workspace: WorkspaceId,
    batch: readonly WaitingRequest[],
  ): Promise<AdmissionAnswer> {
    const request = {
      workspace,
      incarnation: this.#context.identity.incarnation,
      needs: batch.map((waiting) => waiting.tokens),
      inFlight: this.#requestsOf(workspace).inFlight,
    };
    const home = this.#options.membership.homeOf(`quota/${workspace}`);
    const answer = await this.#context.ports.peers.call(home, "quotas/draw", {
      params: request,
      timeoutMs: ADMISSION_TIMEOUT_MS,
    });
    // While the home is unreachable, each VM admits up to an equal share of the quota.
    return answer.isOk() ? answer.value : this.#localHome.admit(request);
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
        const requests = this.#requestsOf(workspace);
        requests.inFlight -= 1;
        if (this.#quotaOf(workspace)?.inFlight === undefined) return;
        requests.reportDue = true;
        void this.#admitWaiting(workspace);
      },
    };
  }

  /**
   * Reports the requests in flight to the homes of their workspaces: a home forgets
   * numbers that are not renewed, and a new home has none yet.
   */
  #renew(): void {
    for (const [workspace, requests] of this.#requests) {
      const { inFlight } = this.#quotaOf(workspace) ?? {};
      if (inFlight === undefined) continue;
      requests.reportDue = true;
      void this.#admitWaiting(workspace);
    }
  }

  #requestsOf(workspace: WorkspaceId): LocalRequests {
    let requests = this.#requests.get(workspace);
    if (!requests) {
      requests = {
        waiting: [],
        inFlight: 0,
        admitting: false,
        reportDue: false,
      };
      this.#requests.set(workspace, requests);
    }
    return requests;
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
