/** Owns the summaries whose callers are connected to this VM. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { MembershipView, ViewChanges } from "../membership/types.ts";
import type { ReportsView } from "../reports/types.ts";
import type { RetryBudget } from "../retries/budget.ts";
import { asId, type RequestKey, type StreamId } from "../common/ids.ts";
import { mayHaveRun, notRun } from "../common/verdict.ts";
import type { SuspectTracker } from "../suspects/tracker.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { SummariesHandlers } from "./app.ts";
import { CancelBook } from "./cancels.ts";
import { HandOverBook } from "./hand_overs.ts";
import { FreezeWatch } from "./freeze_watch.ts";
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
  #streams = 0;
  #home: SummariesHome;
  #registrar: Registrar;
  #grants: GrantsClient;
  #cancels: CancelBook;
  #handOvers: HandOverBook;
  #sweep: OrphanSweep;
  #watch: FreezeWatch;
  #timer: ReturnType<typeof setInterval> | undefined;
  #removeListener = () => {};

  constructor(context: VmContext, options: SummariesTaskOptions) {
    const { configuration, membership, reports } = options;
    this.#context = context;
    this.#options = options;
    this.#policies = { ...SUMMARY_POLICIES, ...options.policies };
    this.#registrar = new Registrar(context, { configuration, membership });
    this.#grants = new GrantsClient(context, { configuration, membership });
    this.#cancels = new CancelBook(context, {
      configuration,
      repeats: this.#policies.repeatsCancel,
    });
    this.#handOvers = new HandOverBook(context, {
      cancels: this.#cancels,
      holds: (stream) =>
        [...this.#runs.values()].some((run) => run.holds(stream)),
    });
    this.#home = new SummariesHome({
      onReplaced: (older, newer) => {
        const owner = membership.member(older.owner.vm);
        const { key, epoch, run } = newer;
        if (!owner) return;
        const stream = run?.stream ?? null;
        void this.#registrar.handOver(owner, { key, epoch, stream });
      },
    });
    this.#sweep = new OrphanSweep(context, {
      configuration,
      membership,
      reports,
      registrar: this.#registrar,
      cancels: this.#cancels,
      isOrphan: this.#policies.isOrphan,
    });
    this.#watch = new FreezeWatch({
      isFreeze: this.#policies.isFreeze,
      onFreeze: (gapMs) => this.#onFreeze(gapMs),
    });
    this.handlers = this.#createHandlers();
  }

  /** Summaries in progress, and cancels that are not yet acknowledged. */
  get inProgress(): number {
    return this.#runs.size + this.#cancels.pending;
  }

  start(): void {
    this.#home.start();
    this.#sweep.start();
    this.#removeListener = this.#options.viewChanges.onChange(() =>
      this.#registerAgain()
    );
  }

  stop(): void {
    this.#removeListener();
    this.#sleep();
    this.#handOvers.stop();
    this.#sweep.stop();
    this.#home.stop();
  }

  /** Starts a summary, or attaches to the one that runs under the same key. The sink is called later only. */
  submit(request: SummaryRequest, sink: SummarySink): SummaryHandle {
    this.#watch.check();
    const key = summaryKey(request);
    const running = this.#runs.get(key);
    if (running && running.bodyDigest !== summaryDigest(request)) {
      return this.#refuse(key, { sink, reason: "key-reused" });
    }
    // A VM that has just started knows neither endpoints nor the other VMs.
    if (!this.#options.configuration.current()) {
      return this.#refuse(key, { sink, reason: "no-configuration" });
    }
    if (running && this.#policies.takesOver()) {
      running.reconnect(request, sink);
      return this.#handleOf(running);
    }
    return this.#handleOf(this.#begin(request, sink));
  }

  /** Cancels a summary on an operator's order; false when this VM does not own it. */
  cancel(key: RequestKey): boolean {
    const named = [...this.#runs.values()].filter((run) => run.hasName(key));
    const refusal = mayHaveRun("cancelled");
    for (const run of named) run.send({ type: "refused", refusal });
    return named.length > 0;
  }

  #refuse(
    key: RequestKey,
    options: { sink: SummarySink; reason: "key-reused" | "no-configuration" },
  ): SummaryHandle {
    const { sink, reason } = options;
    this.#context.observer.count("refusals", reason);
    // Nobody is told before it holds the handle.
    queueMicrotask(() => sink({ kind: "refused", refusal: notRun(reason) }));
    return { key, cancel() {}, pause() {}, resume() {} };
  }

  #begin(request: SummaryRequest, sink: SummarySink): SummaryRun {
    const { configuration, suspects, retries } = this.#options;
    const run = new SummaryRun(request, {
      context: this.#context,
      configuration,
      registrar: this.#registrar,
      grants: this.#grants,
      cancels: this.#cancels,
      handOvers: this.#handOvers,
      suspects,
      retries,
      policies: this.#policies,
      watch: this.#watch,
      nextStream: () => this.#nextStream(),
      onClosed: (closed) => {
        if (this.#runs.get(closed.key) !== closed) return;
        this.#runs.delete(closed.key);
        if (this.#runs.size === 0) this.#sleep();
      },
      sink,
    });
    if (this.#runs.size === 0) this.#wake();
    this.#runs.set(run.key, run);
    return run;
  }

  #handleOf(run: SummaryRun): SummaryHandle {
    const { connection } = run;
    const ifServed = (action: () => void) => () => {
      this.#watch.check();
      if (run.connection === connection) action();
    };
    return {
      key: run.key,
      cancel: ifServed(() => run.leave()),
      pause: ifServed(() => run.pause()),
      resume: ifServed(() => run.resume()),
    };
  }

  #createHandlers(): SummariesHandlers {
    return {
      "summaries/register": (params) => this.#home.register(params),
      "summaries/find": ({ key }) => ({ registration: this.#home.find(key) }),
      "summaries/locate": ({ engineKey }) => ({
        run: this.#sweep.locate(engineKey),
      }),
      "summaries/hand-over": ({ key, epoch, stream }) => {
        this.#watch.check();
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

  /** Nothing is watched while nothing runs. */
  #wake(): void {
    this.#watch.start();
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  #sleep(): void {
    this.#watch.stop();
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = this.#watch.check();
    for (const run of [...this.#runs.values()]) run.tick(nowMs);
  }

  /** Homes move with the view; a new home must know what runs here. */
  #registerAgain(): void {
    this.#watch.check();
    for (const run of [...this.#runs.values()]) run.registerAgain();
    this.#grants.registerAgain();
  }

  #onFreeze(gapMs: number): void {
    this.#context.observer.log({ event: "vm-frozen", level: "warn", gapMs });
    for (const run of [...this.#runs.values()]) run.send({ type: "frozen" });
  }

  #nextStream() {
    this.#streams += 1;
    return asId<StreamId>(
      `${this.#context.identity.incarnation}-s${this.#streams}`,
    );
  }
}
