/** Assembles the tasks of one VM. */
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
import { createPlacementHandlers } from "../routing/placement/handlers.ts";
import {
  createOriginHandlers,
  OriginMemory,
} from "../routing/stream_origins.ts";
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
import { InProgressCounter } from "./in_progress.ts";
import { GracefulShutdown, type ShutdownOutcome } from "./graceful_shutdown.ts";
import type { ForcedShutdownReason } from "./shutdown_machine.ts";
import type { Refusal } from "../common/verdict.ts";
import type { VmContext, VmPolicies } from "./types.ts";

const DEFAULT_QUARANTINE_MS = 3_600_000;
const DEFAULT_ADDRESS_TTL_MS = 10_000;

/**
 * How long a new VM waits for its configuration before it starts probing, which
 * makes it visible to its peers.
 */
const INITIAL_CONFIGURATION_WAIT_MS = 500;

/** One entry VM: its tasks and the methods that its peers can call. */
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
  /** Entry point of callers' requests. */
  readonly gate: RequestGate;
  /** Work that a graceful shutdown waits for. */
  readonly inProgress: InProgressCounter;
  #shutdown: GracefulShutdown;
  #grants: GrantsHome;

  constructor(baseContext: VmContext, policies: VmPolicies = {}) {
    const inProgress = new InProgressCounter(() => this.#shutdown.checkIdle());
    const context: VmContext = { ...baseContext, inProgress };
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
        if (peer) configuration.handleNotice(configurationVersion, peer);
      },
      policies: policies.membership,
    });
    const deployment = () => configuration.current()?.bodies.deployment;
    this.#shutdown = new GracefulShutdown(context, {
      membership,
      inProgress,
      otherWorkCount: () => this.calls.inProgress,
      openRequestCount: () => this.gate.openRequestCount,
      addressTtlMs: () => deployment()?.addressTtlMs ?? DEFAULT_ADDRESS_TTL_MS,
      policies: policies.stop,
    });
    this.suspects = new SuspectTracker(context, {
      membership,
      quarantineMs: () => deployment()?.convictionMs ?? DEFAULT_QUARANTINE_MS,
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
        handleNotice: (version, from) =>
          configuration.handleNotice(version, from),
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
        "routing/crash-evidence": () => ({ reports: [] }),
        "routing/crash-trial": () => ({ granted: false }),
        "routing/permit": ({ known }) => ({
          granted: false,
          retryAfterMs: 0,
          known,
        }),
        "routing/limit-ended": () => null,
        "routing/credit": () => null,
        "routing/credit-handed-over": () => null,
        "routing/take-stages": () => ({ taken: false }),
        "routing/check-links": () => Promise.resolve({ reached: null }),
        "routing/ordered": () => null,
        ...createPlacementHandlers(new PlacementHome()),
        ...createOriginHandlers(new OriginMemory()),
        "routing/demand": () => NO_DEMAND,
      }).handlers,
      ...createSummariesApp(this.summaries.handlers).handlers,
    };
  }

  /** Starts the tasks in the order of their dependencies. */
  async start(): Promise<void> {
    await this.membership.seed();
    // Peers assign keys to this VM as soon as they have seen it, but it can't
    // serve them before it has a configuration.
    const configured = this.configuration.start();
    await Promise.race([configured, wait(INITIAL_CONFIGURATION_WAIT_MS)]);
    // While the platform is down, the configuration comes from peers, and the
    // probes show which peers are reachable.
    await this.membership.start();
    await configured;
    this.quotas.start();
    this.orders.start();
    this.#shutdown.start();
    this.reports.start();
    this.calls.start();
    await this.suspects.start();
    this.summaries.start();
  }

  /** Starts a graceful shutdown. The tasks run until `stop` is called. */
  leave(): Promise<ShutdownOutcome> {
    return this.#shutdown.begin();
  }

  /** True once a graceful shutdown refuses new work. */
  get refusesWork(): boolean {
    return this.#shutdown.refusesWork;
  }

  /** Ends a graceful shutdown at once and aborts the open requests. */
  forceShutdown(reason: ForcedShutdownReason): void {
    if (this.#shutdown.force(reason)) this.gate.abortOpenRequests();
  }

  /** Stops the tasks in reverse order. */
  stop(): void {
    this.#shutdown.stop();
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
