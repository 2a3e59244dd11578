/** Cancels streams whose owner VM was lost and whose caller did not resume. */
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
/**
 * Owners probed in one sweep; those that aren't live in the view come first.
 */
const MAX_OWNERS_PROBED = 20;
const INDIRECT_PROBES = 2;
const INDIRECT_TIMEOUT_MS = 700;
const DEFAULT_TAKEOVER_MS = 2_000;
/** Listings that no report confirms are dropped after this time. */
const LISTING_RETENTION_MS = 10_000;

/** Options of {@link OrphanSweep}. */
export interface OrphanSweepOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
  reports: ReportsView;
  registrar: Registrar;
  cancels: CancelTracker;
  /**
   * Whether to cancel a stream, given the time since its owner was lost and the
   * time that the caller has to resume the stream at another VM.
   */
  isOrphan: (ownerLostForMs: number, takeoverMs: number) => boolean;
}

/**
 * A run that load reports list; times are in milliseconds of `performance.now`.
 */
interface Listing {
  readonly endpoint: Endpoint;
  readonly run: HeldRun;
  /** When the first report that lists the run under this owner was taken. */
  readonly firstTakenAtMs: number;
  readonly lastTakenAtMs: number;
}

/** Liveness of an owner; times are in milliseconds of `performance.now`. */
interface OwnerRecord {
  readonly owner: RunOwner;
  reachableAtMs: number;
  probedAtMs: number;
  isLost: boolean;
}

/**
 * Keeps the runs that the load reports of this VM's shards list, and probes
 * their owners.
 */
export class OrphanSweep implements VmTask {
  #context: VmContext;
  #options: OrphanSweepOptions;
  #listings = new Map<string, Listing>();
  #owners = new Map<string, OwnerRecord>();
  /**
   * When streams were cancelled by this VM; older reports may still list them.
   */
  #cancelled = new Map<StreamId, number>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #removeListener = () => {};
  #isSweeping = false;

  constructor(context: VmContext, options: OrphanSweepOptions) {
    this.#context = context;
    this.#options = options;
  }

  start(): void {
    this.#removeListener = this.#options.reports.onReport((received) =>
      this.#recordReport(received)
    );
    this.#timer = setInterval(() => void this.#sweep(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    this.#removeListener();
    clearInterval(this.#timer);
  }

  /** Finds the run that decode replicas list under an engine's key. */
  locate(key: RequestKey): ListedRun | null {
    for (const { endpoint, run } of this.#listings.values()) {
      if (run.key !== key || endpoint.kind !== "decode") continue;
      const { id, address } = endpoint;
      const { stream, owner } = run;
      return { stream, owner, decode: { id, address } };
    }
    return null;
  }

  #recordReport({ endpoint, report, takenAtMs }: ReceivedReport): void {
    const listed = new Set<string>();
    for (const run of report.runs) {
      const listingKey = `${endpoint.id} ${run.stream}`;
      listed.add(listingKey);
      const before = this.#listings.get(listingKey);
      if (before && before.lastTakenAtMs >= takenAtMs) continue;
      const sameOwner = before?.run.owner.incarnation === run.owner.incarnation;
      this.#listings.set(listingKey, {
        endpoint,
        run,
        firstTakenAtMs: sameOwner ? before!.firstTakenAtMs : takenAtMs,
        lastTakenAtMs: takenAtMs,
      });
    }
    for (const [listingKey, listing] of this.#listings) {
      const isUnlisted = listing.endpoint.id === endpoint.id &&
        !listed.has(listingKey) &&
        listing.lastTakenAtMs < takenAtMs;
      if (isUnlisted) this.#listings.delete(listingKey);
    }
  }

  async #sweep(): Promise<void> {
    if (this.#isSweeping) return;
    this.#isSweeping = true;
    this.#dropExpired();
    await this.#probeOwners();
    await Promise.all(
      [...this.#listings.values()].filter((listing) => this.#isOrphan(listing))
        .map((listing) => this.#cancelOrphan(listing)),
    );
    this.#isSweeping = false;
  }

  #isOrphan(listing: Listing): boolean {
    const { run, firstTakenAtMs, lastTakenAtMs } = listing;
    const owner = this.#owners.get(run.owner.incarnation);
    if (!owner?.isLost) return false;
    if (lastTakenAtMs <= (this.#cancelled.get(run.stream) ?? -Infinity)) {
      return false;
    }
    const takeoverMs = this.#options.configuration.current()?.bodies.deployment
      .adoptionMs ?? DEFAULT_TAKEOVER_MS;
    const lostAtMs = Math.max(firstTakenAtMs, owner.reachableAtMs);
    return this.#options.isOrphan(performance.now() - lostAtMs, takeoverMs);
  }

  async #cancelOrphan({ endpoint, run }: Listing): Promise<void> {
    // Reports lag behind: the caller may have resumed at another VM since.
    const known = await this.#options.registrar.find(
      summaryKeyFromEngineKey(run.key),
    );
    const takenOver = known?.run?.stream === run.stream &&
      known.state === "running" &&
      known.owner.incarnation !== run.owner.incarnation;
    if (takenOver && await this.#isRunning(known.owner)) return;
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

  async #probeOwners(): Promise<void> {
    for (const { run } of this.#listings.values()) {
      const { owner } = run;
      if (this.#owners.has(owner.incarnation)) continue;
      this.#owners.set(owner.incarnation, {
        owner,
        reachableAtMs: -Infinity,
        probedAtMs: -Infinity,
        isLost: false,
      });
    }
    const { membership } = this.#options;
    const liveRank = (record: OwnerRecord) =>
      membership.member(record.owner.vm)?.state === "live" ? 1 : 0;
    const due = [...this.#owners.values()]
      .sort((a, b) => liveRank(a) - liveRank(b) || a.probedAtMs - b.probedAtMs)
      .slice(0, MAX_OWNERS_PROBED);
    await Promise.all(due.map(async (record) => {
      record.probedAtMs = performance.now();
      record.isLost = !await this.#isRunning(record.owner);
      if (!record.isLost) record.reachableAtMs = performance.now();
    }));
  }

  /**
   * Returns whether the owner is running. Probes it over a new connection, and
   * then through other VMs, as only the path from this VM may be broken.
   */
  async #isRunning(owner: RunOwner): Promise<boolean> {
    const { membership } = this.#options;
    const member = membership.member(owner.vm);
    if (!member) return false;
    const { peers } = this.#context.ports;
    const incarnation = await fetchIncarnation(peers, member);
    if (incarnation) return incarnation === owner.incarnation;
    const others = membership.members().filter((other) =>
      other.state === "live" && other.id !== member.id &&
      other.id !== membership.self.id
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

  #dropExpired(): void {
    const nowMs = performance.now();
    for (const [listingKey, listing] of this.#listings) {
      if (nowMs - listing.lastTakenAtMs > LISTING_RETENTION_MS) {
        this.#listings.delete(listingKey);
      }
    }
    const listedOwners = new Set(
      [...this.#listings.values()].map((listing) =>
        listing.run.owner.incarnation
      ),
    );
    for (const incarnation of this.#owners.keys()) {
      const known = [...listedOwners].some((other) => other === incarnation);
      if (!known) this.#owners.delete(incarnation);
    }
    for (const [stream, atMs] of this.#cancelled) {
      if (nowMs - atMs > LISTING_RETENTION_MS) this.#cancelled.delete(stream);
    }
  }
}
