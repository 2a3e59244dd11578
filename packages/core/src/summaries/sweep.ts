/** Frees streams whose owner VM is gone and whose caller did not come back. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import type { MembershipView } from "../membership/types.ts";
import type { HeldRun, RunOwner } from "../ports/engines.ts";
import type { ReceivedReport, ReportsView } from "../reports/types.ts";
import type { RequestKey, StreamId } from "../common/ids.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import { fetchIncarnation } from "./liveness.ts";
import type { ListedRun } from "./app.ts";
import type { CancelTracker } from "./cancels.ts";
import { summaryKeyFromEngineKey } from "./keys.ts";
import type { Registrar } from "./registrar.ts";

const SWEEP_INTERVAL_MS = 500;
/** Owners asked in one sweep, those missing from the view first. */
const MAX_OWNERS_ASKED = 20;
const INDIRECT_PROBES = 2;
const INDIRECT_TIMEOUT_MS = 700;
const DEFAULT_ADOPTION_MS = 2_000;
/** Listings that no report confirms are forgotten after this time. */
const LISTING_KEPT_MS = 10_000;

/** Options of {@link OrphanSweep}. */
export interface OrphanSweepOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
  reports: ReportsView;
  registrar: Registrar;
  cancels: CancelTracker;
  /** Whether a stream whose owner has been gone for a time is cancelled. */
  isOrphan: (goneForMs: number, adoptionMs: number) => boolean;
}

interface Listing {
  readonly endpoint: Endpoint;
  readonly run: HeldRun;
  /** When the first report that listed it under this owner was taken. */
  readonly firstTakenAtMs: number;
  readonly lastTakenAtMs: number;
}

interface OwnerRecord {
  readonly owner: RunOwner;
  aliveAtMs: number;
  askedAtMs: number;
  gone: boolean;
}

/** Owns what the reports of this VM's shards list, and who was found gone. */
export class OrphanSweep implements VmTask {
  #context: VmContext;
  #options: OrphanSweepOptions;
  #listings = new Map<string, Listing>();
  #owners = new Map<string, OwnerRecord>();
  /** When streams were cancelled here; older reports may still list them. */
  #cancelled = new Map<StreamId, number>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #removeListener = () => {};
  #busy = false;

  constructor(context: VmContext, options: OrphanSweepOptions) {
    this.#context = context;
    this.#options = options;
  }

  start(): void {
    this.#removeListener = this.#options.reports.onReport((received) =>
      this.#take(received)
    );
    this.#timer = setInterval(() => void this.#sweep(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    this.#removeListener();
    clearInterval(this.#timer);
  }

  /** Finds the run that decode replicas list under a key. */
  locate(key: RequestKey): ListedRun | null {
    for (const { endpoint, run } of this.#listings.values()) {
      if (run.key !== key || endpoint.kind !== "decode") continue;
      const { id, address } = endpoint;
      const { stream, owner } = run;
      return { stream, owner, decode: { id, address } };
    }
    return null;
  }

  #take({ endpoint, report, takenAtMs }: ReceivedReport): void {
    const listed = new Set<string>();
    for (const run of report.runs) {
      const name = `${endpoint.id} ${run.stream}`;
      listed.add(name);
      const before = this.#listings.get(name);
      if (before && before.lastTakenAtMs >= takenAtMs) continue;
      const sameOwner = before?.run.owner.incarnation === run.owner.incarnation;
      this.#listings.set(name, {
        endpoint,
        run,
        firstTakenAtMs: sameOwner ? before!.firstTakenAtMs : takenAtMs,
        lastTakenAtMs: takenAtMs,
      });
    }
    for (const [name, listing] of this.#listings) {
      const gone = listing.endpoint.id === endpoint.id && !listed.has(name) &&
        listing.lastTakenAtMs < takenAtMs;
      if (gone) this.#listings.delete(name);
    }
  }

  async #sweep(): Promise<void> {
    if (this.#busy) return;
    this.#busy = true;
    this.#forgetOld();
    await this.#askOwners();
    await Promise.all(
      [...this.#listings.values()].filter((one) => this.#isOrphan(one)).map((
        one,
      ) => this.#cancelOrphan(one)),
    );
    this.#busy = false;
  }

  #isOrphan(listing: Listing): boolean {
    const { run, firstTakenAtMs, lastTakenAtMs } = listing;
    const owner = this.#owners.get(run.owner.incarnation);
    if (!owner?.gone) return false;
    if (lastTakenAtMs <= (this.#cancelled.get(run.stream) ?? -Infinity)) {
      return false;
    }
    const adoptionMs = this.#options.configuration.current()?.bodies.deployment
      .adoptionMs ?? DEFAULT_ADOPTION_MS;
    const sinceMs = Math.max(firstTakenAtMs, owner.aliveAtMs);
    return this.#options.isOrphan(performance.now() - sinceMs, adoptionMs);
  }

  async #cancelOrphan({ endpoint, run }: Listing): Promise<void> {
    // Reports lag: the caller may have resumed at another VM since.
    const known = await this.#options.registrar.find(
      summaryKeyFromEngineKey(run.key),
    );
    const adopted = known?.run?.stream === run.stream &&
      known.state === "running" &&
      known.owner.incarnation !== run.owner.incarnation;
    if (adopted && await this.#answers(known.owner)) return;
    this.#context.observer.count("cancels", "orphan");
    this.#context.observer.log({
      event: "orphan-cancelled",
      level: "warn",
      stream: run.stream,
      endpoint: endpoint.id,
      owner: run.owner.vm,
    });
    this.#cancelled.set(run.stream, performance.now());
    this.#options.cancels.cancel(endpoint, run.stream);
  }

  async #askOwners(): Promise<void> {
    for (const { run } of this.#listings.values()) {
      const { owner } = run;
      if (this.#owners.has(owner.incarnation)) continue;
      this.#owners.set(owner.incarnation, {
        owner,
        aliveAtMs: -Infinity,
        askedAtMs: -Infinity,
        gone: false,
      });
    }
    const { membership } = this.#options;
    const missing = (one: OwnerRecord) =>
      membership.member(one.owner.vm)?.state === "live" ? 1 : 0;
    const due = [...this.#owners.values()]
      .sort((a, b) => missing(a) - missing(b) || a.askedAtMs - b.askedAtMs)
      .slice(0, MAX_OWNERS_ASKED);
    await Promise.all(due.map(async (record) => {
      record.askedAtMs = performance.now();
      record.gone = !await this.#answers(record.owner);
      if (!record.gone) record.aliveAtMs = performance.now();
    }));
  }

  /** Asks on a fresh connection, then through others in case only this path is cut. */
  async #answers(owner: RunOwner): Promise<boolean> {
    const { membership } = this.#options;
    const member = membership.member(owner.vm);
    if (!member) return false;
    const { peers } = this.#context.ports;
    const incarnation = await fetchIncarnation(peers, member);
    if (incarnation) return incarnation === owner.incarnation;
    const others = membership.members().filter((one) =>
      one.state === "live" && one.id !== member.id &&
      one.id !== membership.self.id
    ).slice(0, INDIRECT_PROBES);
    const answers = await Promise.all(
      others.map((other) =>
        peers.call(other, "membership/probe-indirect", {
          params: { target: member.id },
          timeoutMs: INDIRECT_TIMEOUT_MS,
          fresh: true,
        })
      ),
    );
    return answers.some((answer) => answer.isOk() && answer.value.reached);
  }

  #forgetOld(): void {
    const nowMs = performance.now();
    for (const [name, listing] of this.#listings) {
      if (nowMs - listing.lastTakenAtMs > LISTING_KEPT_MS) {
        this.#listings.delete(name);
      }
    }
    const listed = new Set(
      [...this.#listings.values()].map((one) => one.run.owner.incarnation),
    );
    for (const incarnation of this.#owners.keys()) {
      const known = [...listed].some((one) => one === incarnation);
      if (!known) this.#owners.delete(incarnation);
    }
    for (const [stream, atMs] of this.#cancelled) {
      if (nowMs - atMs > LISTING_KEPT_MS) this.#cancelled.delete(stream);
    }
  }
}
