/** Asks before each run whether a request may run, and tells what became of it. */
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
const TELL_TIMEOUT_MS = 1_000;
const TELL_ATTEMPTS = 5;
const UPKEEP_INTERVAL_MS = 1_000;
/** Convictions reach the VMs that are up by news; the rows are for what the news missed. */
const READ_INTERVAL_MS = 60_000;
/** A home and the witness of its runs alone. */
const HOMES = 2;
const BUSY_RETRY_MS = 500;

/** Options of {@link SuspectTracker}. */
export interface SuspectTrackerOptions {
  membership: MembershipView;
  /** How long suspicions and convictions last. */
  quarantineMs: () => number;
}

interface HeldRun {
  readonly run: SuspectRun;
  home: string;
  readonly endpoints: Set<EndpointId>;
}

/** Hashes a request as callers send it again under new keys. */
export function suspectHash(
  workspace: WorkspaceId,
  body: string,
): SuspectHash {
  return asId(digest(`${workspace}\n${body}`));
}

/** Owns the runs of this VM and what it knows of suspects. */
export class SuspectTracker implements VmTask {
  readonly handlers: SuspectsHandlers;
  #context: VmContext;
  #options: SuspectTrackerOptions;
  #home: SuspectsHome;
  #guard: SuspectGuard;
  #held = new Map<SuspectRunId, HeldRun>();
  #unwritten = new Map<SuspectHash, SuspectStatusUpdate>();
  #runsCounted = 0;
  #view = "";
  #timers: ReturnType<typeof setInterval>[] = [];

  constructor(context: VmContext, options: SuspectTrackerOptions) {
    this.#context = context;
    this.#options = options;
    this.#home = new SuspectsHome({
      ...options,
      onStatusChange: (news) => {
        this.#countNews(news);
        void this.#announce(news);
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
        for (const one of news) this.#home.applyUpdate(one);
        return null;
      },
    };
  }

  /** Learns the convictions and keeps them up to date. */
  async start(): Promise<void> {
    this.#timers = [
      setInterval(() => void this.#keepUp(), UPKEEP_INTERVAL_MS),
      setInterval(() => void this.#readConvictions(), READ_INTERVAL_MS),
    ];
    await this.#readConvictions();
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
  }

  /** Asks the hash's home whether the request may run. */
  async admit(hash: SuspectHash): Promise<Admission> {
    if (this.#home.statusOf(hash) === "convicted") {
      return this.#convicted(hash);
    }
    const { identity, ports } = this.#context;
    this.#runsCounted += 1;
    const run: SuspectRun = {
      id: asId(`${identity.incarnation}-u${this.#runsCounted}`),
      hash,
      vm: identity.id,
      incarnation: identity.incarnation,
      alone: false,
    };
    const home = this.#homeOf(hash);
    const answer = await ports.peers.call(home, "suspects/admit", {
      params: { run, known: this.#knownOf(hash) },
      timeoutMs: ADMIT_TIMEOUT_MS,
    });
    const decided = answer.isOk()
      ? await this.#confirmAlone(answer.value)
      : this.#decideAlone(run);
    const admission = await this.#guard.confirm(decided, answer.isOk());
    if (admission !== decided) this.#correct(decided, admission);
    if (admission.kind === "clear" || admission.kind === "alone") {
      this.#held.set(run.id, {
        run: admission.run,
        home: home.id,
        endpoints: new Set(),
      });
    }
    return admission;
  }

  /** Notes that a run was started at a replica. */
  started(run: SuspectRun, endpoint: EndpointId): void {
    this.#held.get(run.id)?.endpoints.add(endpoint);
  }

  /** Notes that a replica crashed while it held the run. */
  crashed(run: SuspectRun, endpoint: EndpointId): void {
    if (!this.#held.has(run.id)) return;
    this.#context.observer.count(
      "suspicions",
      run.alone ? "crashed-alone" : "crashed-in-flight",
    );
    this.#end(run, { kind: "crashed", endpoint });
  }

  /** Notes that a run gave its whole answer. */
  finished(run: SuspectRun): void {
    this.#end(run, { kind: "finished" });
  }

  /** Notes that a run ended without proof: it was cancelled or never started. */
  released(run: SuspectRun): void {
    this.#end(run, { kind: "released" });
  }

  /** Runs of this VM that a replica holds. */
  runsAt(endpoint: EndpointId): SuspectRun[] {
    return [...this.#held.values()]
      .filter((held) => held.endpoints.has(endpoint))
      .map((held) => held.run);
  }

  #end(run: SuspectRun, ending: RunEnding): void {
    if (!this.#held.delete(run.id)) return;
    // The own book learns at once, so that this VM can't start it again meanwhile.
    const standing = run.alone ? "convicted" : "suspected";
    const untilMs = Date.now() + this.#options.quarantineMs();
    if (ending.kind === "crashed") {
      this.#home.applyUpdate({ hash: run.hash, standing, untilMs });
    }
    void this.#guard.recordEnding(run, ending);
    void this.#tellHome(run, ending);
    if (ending.kind === "crashed") {
      void this.#announce({ hash: run.hash, standing, untilMs });
    }
  }

  async #tellHome(run: SuspectRun, ending: RunEnding): Promise<void> {
    const [home, witness] = this.#homesOf(run.hash);
    const told = run.alone && witness ? [home!, witness] : [home!];
    await Promise.all(told.map((one) => this.#tellOf(one, { run, ending })));
  }

  async #tellOf(
    home: Member,
    params: { run: SuspectRun; ending: RunEnding },
  ): Promise<void> {
    for (let attempt = 1; attempt <= TELL_ATTEMPTS; attempt += 1) {
      const told = await this.#context.ports.peers.call(home, "suspects/end", {
        params,
        timeoutMs: TELL_TIMEOUT_MS,
        fresh: attempt > 1,
      });
      if (told.isOk()) return;
      await wait(TELL_TIMEOUT_MS);
      if (this.#options.membership.member(home.id)?.state === "dead") return;
    }
  }

  // The home is not reached: an unsuspected body may run, a suspect may not.
  #decideAlone(run: SuspectRun): Admission {
    const standing = this.#home.statusOf(run.hash);
    if (standing === "convicted") return this.#convicted(run.hash);
    if (standing === "suspected") {
      return { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
    }
    return this.#home.admit(run);
  }

  // Views differ for a while after a fault: a suspect runs only if two homes agree.
  async #confirmAlone(admission: Admission): Promise<Admission> {
    if (admission.kind !== "alone") return admission;
    const { run } = admission;
    const [, witness] = this.#homesOf(run.hash);
    if (!witness) return admission;
    const answer = await this.#context.ports.peers.call(
      witness,
      "suspects/admit",
      {
        params: { run, known: this.#knownOf(run.hash) },
        timeoutMs: ADMIT_TIMEOUT_MS,
        fresh: true,
      },
    );
    if (answer.isOk() && answer.value.kind === "alone") return admission;
    void this.#tellHome(run, { kind: "released" });
    return answer.isOk() && answer.value.kind === "convicted"
      ? answer.value
      : { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
  }

  // The table knew more than the homes that were reached.
  #correct(decided: Admission, admission: Admission): void {
    if (!("run" in decided)) return;
    const { run } = decided;
    if (!("run" in admission)) void this.#tellHome(run, { kind: "released" });
    const standing = admission.kind === "convicted" ? "convicted" : "suspected";
    const untilMs = Date.now() + this.#options.quarantineMs();
    this.#home.applyUpdate({ hash: run.hash, standing, untilMs });
  }

  // A VM that has just become home, as a new one has, may not have heard the news.
  #knownOf(hash: SuspectHash): SuspectStatusUpdate | null {
    const standing = this.#home.statusOf(hash);
    if (standing !== "suspected") return null;
    const untilMs = Date.now() + this.#home.remainingMs(hash);
    return { hash, standing, untilMs };
  }

  #convicted(hash: SuspectHash): Admission {
    return { kind: "convicted", retryAfterMs: this.#home.remainingMs(hash) };
  }

  #countNews(news: SuspectStatusUpdate): void {
    const { observer } = this.#context;
    if (news.standing === "convicted") {
      observer.count("convictions", "crashed-alone");
    }
    observer.log({ event: "suspect-standing", level: "warn", ...news });
  }

  async #announce(news: SuspectStatusUpdate): Promise<void> {
    if (news.standing === "convicted") this.#unwritten.set(news.hash, news);
    const { self } = this.#options.membership;
    const others = this.#options.membership.members().filter((member) =>
      member.id !== self.id && member.region === self.region &&
      member.state !== "dead"
    );
    await Promise.all([
      this.#writeConvictions(),
      ...others.map((member) => this.#spread(member, news)),
    ]);
  }

  async #spread(member: Member, news: SuspectStatusUpdate): Promise<void> {
    for (const fresh of [false, true]) {
      const told = await this.#context.ports.peers.call(
        member,
        "suspects/spread",
        { params: { news: [news] }, timeoutMs: TELL_TIMEOUT_MS, fresh },
      );
      if (told.isOk()) return;
    }
  }

  async #keepUp(): Promise<void> {
    this.#resumeAtNewHomes();
    await this.#writeConvictions();
  }

  // A new home knows nothing of the runs that the old one admitted.
  #resumeAtNewHomes(): void {
    const { self } = this.#options.membership;
    const view = this.#options.membership.members()
      .filter((one) => one.state === "live" && one.region === self.region)
      .map((one) => one.id).sort().join(" ");
    if (view === this.#view) return;
    this.#view = view;
    const byHome = new Map<Member, SuspectRun[]>();
    for (const held of this.#held.values()) {
      const home = this.#homeOf(held.run.hash);
      if (home.id === held.home) continue;
      held.home = home.id;
      byHome.set(home, [...byHome.get(home) ?? [], held.run]);
    }
    for (const [home, runs] of byHome) {
      void this.#context.ports.peers.call(home, "suspects/resume", {
        params: { runs },
        timeoutMs: TELL_TIMEOUT_MS,
      });
    }
  }

  async #writeConvictions(): Promise<void> {
    for (const { hash, untilMs } of [...this.#unwritten.values()]) {
      const written = await writeQuarantine(this.#context.ports.platform, {
        hash,
        untilMs,
      });
      if (!written) return;
      this.#unwritten.delete(hash);
    }
  }

  async #readConvictions(): Promise<void> {
    const rows = await readQuarantines(this.#context.ports.platform);
    for (const row of rows) {
      this.#home.applyUpdate({ ...row, standing: "convicted" });
    }
  }

  #homeOf(hash: SuspectHash): Member {
    return this.#options.membership.homeOf(`suspect/${hash}`);
  }

  /** The home and its witness. */
  #homesOf(hash: SuspectHash): Member[] {
    return rankHomes(this.#options.membership, `suspect/${hash}`, HOMES);
  }
}
