/** Puts the tasks of one VM together. */
import { wait } from "../common/wait.ts";
import { createCallsApp } from "../calls/app.ts";
import { CallsTask } from "../calls/task.ts";
import { createConfigurationApp } from "../configuration/app.ts";
import { ConfigurationTask } from "../configuration/task.ts";
import { createGrantsApp } from "../grants/app.ts";
import { GrantsHome } from "../grants/home.ts";
import { createMembershipApp } from "../membership/app.ts";
import { MembershipTask } from "../membership/task.ts";
import { OrdersTask } from "../orders/task.ts";
import { createRoutingApp } from "../routing/app.ts";
import { createPlacementHandlers } from "../routing/placement/client.ts";
import { PlacementHome } from "../routing/placement/home.ts";
import { NO_DEMAND } from "../routing/stages/demand.ts";
import type { PeerHandlers } from "../peers/types.ts";
import { createQuotasApp } from "../quotas/app.ts";
import { limitCalls, limitSummaries } from "../quotas/limited.ts";
import { QuotasTask } from "../quotas/task.ts";
import { ReportsTask } from "../reports/task.ts";
import { createSummariesApp } from "../summaries/app.ts";
import { fetchIncarnation } from "../summaries/liveness.ts";
import { SummariesTask } from "../summaries/task.ts";
import { RetryBudget } from "../retries/budget.ts";
import { createSuspectsApp } from "../suspects/app.ts";
import { SuspectTracker } from "../suspects/tracker.ts";
import { RequestGate } from "./request_gate.ts";
import { InProgressCount } from "./in_progress.ts";
import { PlannedStop, type StopOutcome } from "./planned_stop.ts";
import type { CutReason } from "./stop_machine.ts";
import type { Refusal } from "../common/verdict.ts";
import type { VmContext, VmPolicies } from "./types.ts";

const DEFAULT_CONVICTION_MS = 3_600_000;
const DEFAULT_ADDRESS_TTL_MS = 10_000;

/** How long a new VM stays unknown to others while it reads its configuration. */
const FIRST_READ_MS = 500;

/** One entry VM: its tasks and the methods that its peers may call. */
export class Vm {
  readonly context: VmContext;
  readonly membership: MembershipTask;
  readonly configuration: ConfigurationTask;
  readonly suspects: SuspectTracker;
  readonly retries: RetryBudget;
  readonly orders: OrdersTask;
  readonly quotas: QuotasTask;
  readonly calls: CallsTask;
  readonly reports: ReportsTask;
  readonly summaries: SummariesTask;
  readonly peerHandlers: PeerHandlers;
  /** Where callers' requests enter. */
  readonly gate: RequestGate;
  /** Work that a planned stop waits for. */
  readonly inProgress: InProgressCount;
  #plannedStop: PlannedStop;
  #grants: GrantsHome;

  constructor(given: VmContext, policies: VmPolicies = {}) {
    const inProgress = new InProgressCount(() => this.#plannedStop.idle());
    const context: VmContext = { ...given, inProgress };
    this.context = context;
    this.inProgress = inProgress;
    const configuration: ConfigurationTask = new ConfigurationTask(context, {
      members: () => this.membership.members(),
      awaitMembers: (limitMs) => this.membership.awaitListed(limitMs),
      policies: policies.configuration,
    });
    const membership: MembershipTask = new MembershipTask(context, {
      configurationVersion: () => configuration.version(),
      onProbe: ({ from, configurationVersion }) => {
        const peer = membership.member(from);
        if (peer) configuration.noticeVersion(configurationVersion, peer);
      },
      policies: policies.membership,
    });
    const deployment = () => configuration.current()?.bodies.deployment;
    this.#plannedStop = new PlannedStop(context, {
      membership,
      inProgress,
      otherWork: () => this.calls.inProgress,
      openRequests: () => this.gate.openCount,
      addressTtlMs: () => deployment()?.addressTtlMs ?? DEFAULT_ADDRESS_TTL_MS,
      policies: policies.stop,
    });
    this.suspects = new SuspectTracker(context, {
      membership,
      quarantineMs: () => deployment()?.convictionMs ?? DEFAULT_CONVICTION_MS,
    });
    this.retries = new RetryBudget(context, {
      share: () => deployment()?.retryBudgetShare ?? 0,
    });
    const grants = new GrantsHome(context, { configuration, membership });
    this.configuration = configuration;
    this.membership = membership;
    this.#grants = grants;
    this.orders = new OrdersTask(context, {
      configuration,
      membership,
      policies: policies.orders,
    });
    this.quotas = new QuotasTask(context, { configuration, membership });
    this.reports = new ReportsTask(context, {
      configuration,
      membership,
      isReachable: async (member) =>
        await fetchIncarnation(context.ports.peers, member) !== null,
    });
    this.calls = new CallsTask(context, {
      configuration,
      membership,
      retries: this.retries,
      policies: policies.calls,
    });
    this.summaries = new SummariesTask(context, {
      configuration,
      membership,
      viewChanges: membership,
      reports: this.reports,
      suspects: this.suspects,
      retries: this.retries,
      policies: policies.summaries,
    });
    const countRefusal = (reason: Refusal["reason"]) =>
      context.observer.count("refusals", reason);
    this.gate = new RequestGate({
      calls: limitCalls(this.calls, this.quotas),
      summaries: limitSummaries(this.summaries, {
        quotas: this.quotas,
        countRefusal,
      }),
      countRefusal,
      inProgress,
      refusesWork: () => this.refusesWork,
    });
    this.peerHandlers = {
      ...createMembershipApp({
        answerProbe: (probe) => membership.answerProbe(probe),
        probeIndirect: (target) => membership.probeIndirect(target),
      }).handlers,
      ...createConfigurationApp({
        answerFetch: (after) => configuration.answerFetch(after),
        version: () => configuration.version(),
        noticeVersion: (version, from) =>
          configuration.noticeVersion(version, from),
        holdVersion: (version, from) =>
          configuration.holdVersion(version, from),
      }).handlers,
      ...createCallsApp({
        awaitOutcome: (params) => this.calls.awaitOutcome(params),
      }).handlers,
      ...createQuotasApp(this.quotas.handlers).handlers,
      ...createGrantsApp(grants.handlers).handlers,
      ...createSuspectsApp(this.suspects.handlers).handlers,
      // A VM that routes by the manifest has no routing table of its own.
      ...createRoutingApp({
        "routing/table": () => ({ table: null }),
        "routing/endpoints": () => ({ entries: null }),
        "routing/crashes": () => null,
        "routing/ordered": () => null,
        ...createPlacementHandlers(new PlacementHome()),
        "routing/demand": () => NO_DEMAND,
      }).handlers,
      ...createSummariesApp(this.summaries.handlers).handlers,
    };
  }

  /** Starts the tasks, what others depend on first. */
  async start(): Promise<void> {
    await this.membership.seed();
    // The others give this VM keys as soon as they know it, and it can't serve them before it is configured.
    const configured = this.configuration.start();
    await Promise.race([configured, wait(FIRST_READ_MS)]);
    // With the platform down it is the probes that tell which peers can be asked.
    await this.membership.start();
    await configured;
    this.quotas.start();
    this.orders.start();
    this.#plannedStop.start();
    this.reports.start();
    this.calls.start();
    await this.suspects.start();
    this.summaries.start();
  }

  /** Leaves the deployment without cutting off work; the tasks run until `stop`. */
  leave(): Promise<StopOutcome> {
    return this.#plannedStop.begin();
  }

  /** True once a planned stop lets no new work in. */
  get refusesWork(): boolean {
    return this.#plannedStop.refusesWork;
  }

  /** Ends a planned stop before its work is done. */
  cutStop(reason: CutReason): void {
    if (this.#plannedStop.cut(reason)) this.gate.cutOff();
  }

  /** Stops the tasks in reverse order. */
  stop(): void {
    this.#plannedStop.stop();
    this.summaries.stop();
    this.suspects.stop();
    this.reports.stop();
    this.#grants.stop();
    this.calls.stop();
    this.orders.stop();
    this.quotas.stop();
    this.configuration.stop();
    this.membership.stop();
  }
}
