/** Serves the summaries whose callers are connected to this VM. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { MembershipView, ViewChanges } from "../membership/types.ts";
import type { ReportsView } from "../reports/types.ts";
import type { RetryBudget } from "../retries/budget.ts";
import { asId, type RequestKey, type StreamId } from "../common/ids.ts";
import { mayHaveRun, notRun } from "../common/verdict.ts";
import type { SuspectTracker } from "../suspects/tracker.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { SummariesHandlers } from "./app.ts";
import { CancelTracker } from "./cancels.ts";
import { HandoverTracker } from "./handovers.ts";
import { FreezeDetector } from "./freeze_detector.ts";
import { GrantsClient } from "./grants_client.ts";
import { SummariesHome } from "./home.ts";
import { summaryDigest, summaryKey } from "./keys.ts";
import { SUMMARY_POLICIES, type SummaryPolicies } from "./policies.ts";
import { Registrar } from "./registrar.ts";
import { SummaryRun } from "./run.ts";
import { OrphanSweep } from "./sweep.ts";
import type { SummaryHandle, SummaryRequest, SummarySink } from "./types.ts";

const TICK_INTERVAL_MS = 50;

/** Options of {@link SummariesTask}. */
export interface SummariesTaskOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
  viewChanges: ViewChanges;
  reports: ReportsView;
  suspects: SuspectTracker;
  retries: RetryBudget;
  policies?: Partial<SummaryPolicies>;
}

/** Runs summaries from their registration to the last token. */
export class SummariesTask implements VmTask {
  readonly handlers: SummariesHandlers;
  #context: VmContext;
  #options: SummariesTaskOptions;
  #policies: SummaryPolicies;
  #runs = new Map<RequestKey, SummaryRun>();
  #streamCount = 0;
  #home: SummariesHome;
  #registrar: Registrar;
  #grants: GrantsClient;
  #cancels: CancelTracker;
  #handovers: HandoverTracker;
  #orphanSweep: OrphanSweep;
  #freezeDetector: FreezeDetector;
  #timer: ReturnType<typeof setInterval> | undefined;
  #removeListener = () => {};

  constructor(context: VmContext, options: SummariesTaskOptions) {
    const { configuration, membership, reports } = options;
    this.#context = context;
    this.#options = options;
    this.#policies = { ...SUMMARY_POLICIES, ...options.policies };
    this.#registrar = new Registrar(context, { configuration, membership });
    this.#grants = new GrantsClient(context, { configuration, membership });
    this.#cancels = new CancelTracker(context, {
      configuration,
      repeats: this.#policies.repeatsCancel,
    });
    this.#handovers = new HandoverTracker(context, {
      cancels: this.#cancels,
      holdsStream: (stream) =>
        [...this.#runs.values()].some((run) => run.holdsStream(stream)),
    });
    this.#home = new SummariesHome({
      onReplaced: (older, newer) => {
        const owner = membership.member(older.owner.vm);
        const { key, epoch, run } = newer;
        if (!owner) return;
        const stream = run?.stream ?? null;
        void this.#registrar.requestHandover(owner, { key, epoch, stream });
      },
    });
    this.#orphanSweep = new OrphanSweep(context, {
      configuration,
      membership,
      reports,
      registrar: this.#registrar,
      cancels: this.#cancels,
      isOrphan: this.#policies.isOrphan,
    });
    this.#freezeDetector = new FreezeDetector({
      isFreeze: this.#policies.isFreeze,
      onFreeze: (gapMs) => this.#onFreeze(gapMs),
    });
    this.handlers = this.#createHandlers();
  }

  /** Number of summaries and cancels in progress. */
  get inProgress(): number {
    return this.#runs.size + this.#cancels.pending;
  }

  start(): void {
    this.#home.start();
    this.#orphanSweep.start();
    this.#removeListener = this.#options.viewChanges.onChange(() =>
      this.#registerAgain()
    );
  }

  stop(): void {
    this.#removeListener();
    this.#stopTimers();
    this.#handovers.stop();
    this.#orphanSweep.stop();
    this.#home.stop();
  }

  /**
   * Starts a summary, or switches the one that runs under the same key to this
   * connection. The sink isn't called before this method returns.
   */
  submit(request: SummaryRequest, sink: SummarySink): SummaryHandle {
    this.#freezeDetector.check();
    const key = summaryKey(request);
    const running = this.#runs.get(key);
    if (running && running.bodyDigest !== summaryDigest(request)) {
      return this.#refuse(key, { sink, reason: "key-reused" });
    }
    // A VM that has just started has no endpoints yet and no other VMs in view.
    if (!this.#options.configuration.current()) {
      return this.#refuse(key, { sink, reason: "no-configuration" });
    }
    if (running && this.#policies.takesOver()) {
      running.reconnect(request, sink);
      return this.#createHandle(running);
    }
    return this.#createHandle(this.#startRun(request, sink));
  }

  /**
   * Cancels a summary, as requested by an operator. Returns false when this VM
   * does not own it.
   */
  cancel(key: RequestKey): boolean {
    const matchingRuns = [...this.#runs.values()].filter((run) =>
      run.matchesKey(key)
    );
    const refusal = mayHaveRun("cancelled");
    for (const run of matchingRuns) run.send({ type: "refused", refusal });
    return matchingRuns.length > 0;
  }

  #refuse(
    key: RequestKey,
    options: { sink: SummarySink; reason: "key-reused" | "no-configuration" },
  ): SummaryHandle {
    const { sink, reason } = options;
    this.#context.observer.count("refusals", reason);
    // The sink is called only after the caller has received the handle.
    queueMicrotask(() => sink({ kind: "refused", refusal: notRun(reason) }));
    return { key, cancel() {}, pause() {}, resume() {} };
  }

  #startRun(request: SummaryRequest, sink: SummarySink): SummaryRun {
    const { configuration, suspects, retries } = this.#options;
    const run = new SummaryRun(request, {
      context: this.#context,
      configuration,
      registrar: this.#registrar,
      grants: this.#grants,
      cancels: this.#cancels,
      handovers: this.#handovers,
      suspects,
      retries,
      policies: this.#policies,
      freezeDetector: this.#freezeDetector,
      nextStreamId: () => this.#nextStreamId(),
      onClosed: (closed) => {
        if (this.#runs.get(closed.key) !== closed) return;
        this.#runs.delete(closed.key);
        if (this.#runs.size === 0) this.#stopTimers();
      },
      sink,
    });
    if (this.#runs.size === 0) this.#startTimers();
    this.#runs.set(run.key, run);
    return run;
  }

  #createHandle(run: SummaryRun): SummaryHandle {
    const { connectionNumber } = run;
    const ifCurrent = (action: () => void) => () => {
      this.#freezeDetector.check();
      if (run.connectionNumber === connectionNumber) action();
    };
    return {
      key: run.key,
      cancel: ifCurrent(() => run.disconnect()),
      pause: ifCurrent(() => run.pause()),
      resume: ifCurrent(() => run.resume()),
    };
  }

  #createHandlers(): SummariesHandlers {
    return {
      "summaries/register": (params) => this.#home.register(params),
      "summaries/find": ({ key }) => ({ registration: this.#home.find(key) }),
      "summaries/locate": ({ engineKey }) => ({
        run: this.#orphanSweep.locate(engineKey),
      }),
      "summaries/hand-over": ({ key, epoch, stream }) => {
        this.#freezeDetector.check();
        const run = this.#policies.takesOver()
          ? this.#runs.get(key)
          : undefined;
        return { registration: run?.handOver(epoch, stream) ?? null };
      },
      "summaries/cancel": ({ key }) => ({ known: this.cancel(key) }),
      "summaries/alive": () => ({
        incarnation: this.#context.identity.incarnation,
      }),
    };
  }

  /** Starts the timers, which run only while there are summaries. */
  #startTimers(): void {
    this.#freezeDetector.start();
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  #stopTimers(): void {
    this.#freezeDetector.stop();
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = this.#freezeDetector.check();
    for (const run of [...this.#runs.values()]) run.tick(nowMs);
  }

  /**
   * Registers all summaries and grants again: a new view may change their
   * homes, and a new home needs the registrations.
   */
  #registerAgain(): void {
    this.#freezeDetector.check();
    for (const run of [...this.#runs.values()]) run.registerAgain();
    this.#grants.registerAgain();
  }

  #onFreeze(gapMs: number): void {
    this.#context.observer.log({ event: "vm-frozen", level: "warn", gapMs });
    for (const run of [...this.#runs.values()]) run.send({ type: "frozen" });
  }

  #nextStreamId() {
    this.#streamCount += 1;
    return asId<StreamId>(
      `${this.#context.identity.incarnation}-s${this.#streamCount}`,
    );
  }
}
