/**
 * Asks before each run of a request whether it may start, and reports its outcome.
 *
 * Each request hash has a home, the VM that rendezvous hashing picks for it, which
 * decides on its runs. The next VM in that ranking is the second home: a suspect
 * runs only if both agree.
 */
import { wait } from "../common/wait.ts";
import type { Member, MembershipView } from "../membership/types.ts";
import { rankHomes } from "../reports/homes.ts";
import type { EndpointId, WorkspaceId } from "../common/ids.ts";
import { asId } from "../common/ids.ts";
import { digest } from "../common/hash.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { SuspectsHandlers } from "./app.ts";
import { readQuarantines, writeQuarantine } from "./quarantines.ts";
import { SuspectsHome } from "./home.ts";
import { SuspectGuard } from "./guard.ts";
import type {
  Admission,
  RunEnding,
  SuspectHash,
  SuspectRun,
  SuspectRunId,
  SuspectStatusUpdate,
} from "./types.ts";

const ADMIT_TIMEOUT_MS = 250;
const NOTIFY_TIMEOUT_MS = 1_000;
const NOTIFY_ATTEMPTS = 5;
/** How often runs are reported to new homes, and unsaved quarantines are written. */
const MAINTENANCE_INTERVAL_MS = 1_000;
/**
 * VMs of the region are notified of quarantines at once. The periodic read serves
 * the other regions, and makes up for lost notifications.
 */
const QUARANTINE_READ_INTERVAL_MS = 60_000;
/** The home and the second home. */
const HOMES_PER_HASH = 2;
const BUSY_RETRY_MS = 500;

/** Options of {@link SuspectTracker}. */
export interface SuspectTrackerOptions {
  membership: MembershipView;
  /** How long suspicions and quarantines last. */
  quarantineMs: () => number;
}

interface ActiveRun {
  readonly run: SuspectRun;
  /** Id of the VM that was the hash's home at last check. */
  home: string;
  /** Replicas that the run was started on. */
  readonly endpoints: Set<EndpointId>;
}

/**
 * Hashes a request's workspace and body, so that a resend under a new key has
 * the same hash.
 */
export function suspectHash(
  workspace: WorkspaceId,
  body: string,
): SuspectHash {
  return asId(digest(`${workspace}\n${body}`));
}

/**
 * Owns all admitted runs of this VM, suspected or not, and its local view of
 * suspects.
 */
export class SuspectTracker implements VmTask {
  readonly handlers: SuspectsHandlers;
  #context: VmContext;
  #options: SuspectTrackerOptions;
  #home: SuspectsHome;
  #guard: SuspectGuard;
  #activeRuns = new Map<SuspectRunId, ActiveRun>();
  /** Quarantines that the table service has not confirmed yet. */
  #unsaved = new Map<SuspectHash, SuspectStatusUpdate>();
  #runCount = 0;
  #liveMemberIds = "";
  #timers: ReturnType<typeof setInterval>[] = [];

  constructor(context: VmContext, options: SuspectTrackerOptions) {
    this.#context = context;
    this.#options = options;
    this.#home = new SuspectsHome({
      ...options,
      onStatusChange: (update) => {
        this.#countAndLog(update);
        void this.#storeAndBroadcast(update);
      },
    });
    this.#guard = new SuspectGuard(context, options);
    this.handlers = {
      "suspects/admit": ({ run, known }) => {
        if (known) this.#home.applyUpdate(known);
        return this.#home.admit(run);
      },
      "suspects/resume": ({ runs }) => {
        this.#home.resume(runs);
        return null;
      },
      "suspects/end": ({ run, ending }) => {
        this.#home.end(run, ending);
        return null;
      },
      "suspects/spread": ({ news }) => {
        for (const update of news) this.#home.applyUpdate(update);
        return null;
      },
    };
  }

  /** Loads the stored quarantines and starts to refresh them. */
  async start(): Promise<void> {
    this.#timers = [
      setInterval(() => void this.#maintain(), MAINTENANCE_INTERVAL_MS),
      setInterval(
        () => void this.#readQuarantines(),
        QUARANTINE_READ_INTERVAL_MS,
      ),
    ];
    await this.#readQuarantines();
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
  }

  /**
   * Asks the hash's home whether the request may run. If the home can't be reached,
   * returns `busy` for a hash that this VM suspects; one that only the table of
   * suspicions holds may still run isolated.
   */
  async admit(hash: SuspectHash): Promise<Admission> {
    if (this.#home.statusOf(hash) === "convicted") {
      return this.#quarantinedAdmission(hash);
    }
    const { identity, ports } = this.#context;
    this.#runCount += 1;
    const run: SuspectRun = {
      id: asId(`${identity.incarnation}-u${this.#runCount}`),
      hash,
      vm: identity.id,
      incarnation: identity.incarnation,
      alone: false,
    };
    const home = this.#homeOf(hash);
    const answer = await ports.peers.call(home, "suspects/admit", {
      params: { run, known: this.#suspicionUpdateFor(hash) },
      timeoutMs: ADMIT_TIMEOUT_MS,
    });
    const decided = answer.isOk()
      ? await this.#confirmIsolatedRun(answer.value)
      : this.#decideLocally(run);
    const admission = await this.#guard.confirm(decided, answer.isOk());
    if (admission !== decided) this.#applyOverride(decided, admission);
    if (admission.kind === "clear" || admission.kind === "alone") {
      this.#activeRuns.set(run.id, {
        run: admission.run,
        home: home.id,
        endpoints: new Set(),
      });
    }
    return admission;
  }

  /** Records that a run was started on a replica. */
  started(run: SuspectRun, endpoint: EndpointId): void {
    this.#activeRuns.get(run.id)?.endpoints.add(endpoint);
  }

  /** Records that a replica crashed while it held the run. */
  crashed(run: SuspectRun, endpoint: EndpointId): void {
    if (!this.#activeRuns.has(run.id)) return;
    this.#context.observer.count(
      "suspicions",
      run.alone ? "crashed-alone" : "crashed-in-flight",
    );
    this.#end(run, { kind: "crashed", endpoint });
  }

  /** Records that a run produced its complete answer. */
  finished(run: SuspectRun): void {
    this.#end(run, { kind: "finished" });
  }

  /**
   * Records that a run was cancelled or never started, which proves nothing
   * about its body.
   */
  released(run: SuspectRun): void {
    this.#end(run, { kind: "released" });
  }

  /** Runs of this VM that were started on a replica and have not ended. */
  runsAt(endpoint: EndpointId): SuspectRun[] {
    return [...this.#activeRuns.values()]
      .filter((activeRun) => activeRun.endpoints.has(endpoint))
      .map((activeRun) => activeRun.run);
  }

  #end(run: SuspectRun, ending: RunEnding): void {
    if (!this.#activeRuns.delete(run.id)) return;
    // Updates the local view first, so that this VM can't start the request again
    // before its home has replied.
    const standing = run.alone ? "convicted" : "suspected";
    const untilMs = Date.now() + this.#options.quarantineMs();
    if (ending.kind === "crashed") {
      this.#home.applyUpdate({ hash: run.hash, standing, untilMs });
    }
    void this.#guard.recordEnding(run, ending);
    void this.#reportEnd(run, ending);
    if (ending.kind === "crashed") {
      void this.#storeAndBroadcast({ hash: run.hash, standing, untilMs });
    }
  }

  async #reportEnd(run: SuspectRun, ending: RunEnding): Promise<void> {
    const [home, secondHome] = this.#homesOf(run.hash);
    const recipients = run.alone && secondHome ? [home!, secondHome] : [home!];
    await Promise.all(
      recipients.map((member) => this.#reportEndTo(member, { run, ending })),
    );
  }

  async #reportEndTo(
    home: Member,
    params: { run: SuspectRun; ending: RunEnding },
  ): Promise<void> {
    for (let attempt = 1; attempt <= NOTIFY_ATTEMPTS; attempt += 1) {
      const reply = await this.#context.ports.peers.call(home, "suspects/end", {
        params,
        timeoutMs: NOTIFY_TIMEOUT_MS,
        fresh: attempt > 1,
      });
      if (reply.isOk()) return;
      await wait(NOTIFY_TIMEOUT_MS);
      if (this.#options.membership.member(home.id)?.state === "dead") return;
    }
  }

  // Used when the home can't be reached: a suspect may not run, other bodies may.
  #decideLocally(run: SuspectRun): Admission {
    const standing = this.#home.statusOf(run.hash);
    if (standing === "convicted") return this.#quarantinedAdmission(run.hash);
    if (standing === "suspected") {
      return { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
    }
    return this.#home.admit(run);
  }

  // Membership views can differ for a while after a fault, so a suspect runs only if
  // its home and its second home agree.
  async #confirmIsolatedRun(admission: Admission): Promise<Admission> {
    if (admission.kind !== "alone") return admission;
    const { run } = admission;
    const [, secondHome] = this.#homesOf(run.hash);
    if (!secondHome) return admission;
    const answer = await this.#context.ports.peers.call(
      secondHome,
      "suspects/admit",
      {
        params: { run, known: this.#suspicionUpdateFor(run.hash) },
        timeoutMs: ADMIT_TIMEOUT_MS,
        fresh: true,
      },
    );
    if (answer.isOk() && answer.value.kind === "alone") return admission;
    void this.#reportEnd(run, { kind: "released" });
    return answer.isOk() && answer.value.kind === "convicted"
      ? answer.value
      : { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
  }

  // Called when the table of suspicions overrode the decision of the homes, or this
  // VM's own if the home could not be reached.
  #applyOverride(decided: Admission, admission: Admission): void {
    if (!("run" in decided)) return;
    const { run } = decided;
    if (!("run" in admission)) void this.#reportEnd(run, { kind: "released" });
    const standing = admission.kind === "convicted" ? "convicted" : "suspected";
    const untilMs = Date.now() + this.#options.quarantineMs();
    this.#home.applyUpdate({ hash: run.hash, standing, untilMs });
  }

  // A VM that has just become home, such as a new VM, may have missed the update.
  #suspicionUpdateFor(hash: SuspectHash): SuspectStatusUpdate | null {
    const standing = this.#home.statusOf(hash);
    if (standing !== "suspected") return null;
    const untilMs = Date.now() + this.#home.remainingMs(hash);
    return { hash, standing, untilMs };
  }

  #quarantinedAdmission(hash: SuspectHash): Admission {
    return { kind: "convicted", retryAfterMs: this.#home.remainingMs(hash) };
  }

  #countAndLog(update: SuspectStatusUpdate): void {
    const { observer } = this.#context;
    if (update.standing === "convicted") {
      observer.count("convictions", "crashed-alone");
    }
    observer.log({ event: "suspect-standing", level: "warn", ...update });
  }

  async #storeAndBroadcast(update: SuspectStatusUpdate): Promise<void> {
    if (update.standing === "convicted") this.#unsaved.set(update.hash, update);
    const { self } = this.#options.membership;
    const others = this.#options.membership.members().filter((member) =>
      member.id !== self.id && member.region === self.region &&
      member.state !== "dead"
    );
    await Promise.all([
      this.#writeQuarantines(),
      ...others.map((member) => this.#sendUpdate(member, update)),
    ]);
  }

  async #sendUpdate(
    member: Member,
    update: SuspectStatusUpdate,
  ): Promise<void> {
    for (const fresh of [false, true]) {
      const reply = await this.#context.ports.peers.call(
        member,
        "suspects/spread",
        { params: { news: [update] }, timeoutMs: NOTIFY_TIMEOUT_MS, fresh },
      );
      if (reply.isOk()) return;
    }
  }

  async #maintain(): Promise<void> {
    this.#resumeRunsAtNewHomes();
    await this.#writeQuarantines();
  }

  // A new home has no record of the runs that the previous home admitted.
  #resumeRunsAtNewHomes(): void {
    const { self } = this.#options.membership;
    const memberIds = this.#options.membership.members()
      .filter((member) =>
        member.state === "live" && member.region === self.region
      )
      .map((member) => member.id).sort().join(" ");
    if (memberIds === this.#liveMemberIds) return;
    this.#liveMemberIds = memberIds;
    const byHome = new Map<Member, SuspectRun[]>();
    for (const activeRun of this.#activeRuns.values()) {
      const home = this.#homeOf(activeRun.run.hash);
      if (home.id === activeRun.home) continue;
      activeRun.home = home.id;
      byHome.set(home, [...byHome.get(home) ?? [], activeRun.run]);
    }
    for (const [home, runs] of byHome) {
      void this.#context.ports.peers.call(home, "suspects/resume", {
        params: { runs },
        timeoutMs: NOTIFY_TIMEOUT_MS,
      });
    }
  }

  async #writeQuarantines(): Promise<void> {
    for (const { hash, untilMs } of [...this.#unsaved.values()]) {
      const written = await writeQuarantine(this.#context.ports.platform, {
        hash,
        untilMs,
      });
      if (!written) return;
      this.#unsaved.delete(hash);
    }
  }

  async #readQuarantines(): Promise<void> {
    const rows = await readQuarantines(this.#context.ports.platform);
    for (const row of rows) {
      this.#home.applyUpdate({ ...row, standing: "convicted" });
    }
  }

  #homeOf(hash: SuspectHash): Member {
    return this.#options.membership.homeOf(`suspect/${hash}`);
  }

  /** The home and the second home of a hash; only the home if no other VM is available. */
  #homesOf(hash: SuspectHash): Member[] {
    return rankHomes(
      this.#options.membership,
      `suspect/${hash}`,
      HOMES_PER_HASH,
    );
  }
}
