/**
 * Confirms admissions with the table of suspicions where two VMs could both act as
 * home: for isolated runs, and during a network partition of the region.
 */
import { HomeRanking } from "../membership/queries/home.ts";
import type { Member, MembershipView } from "../membership/types.ts";
import type { VmContext } from "../vm/types.ts";
import {
  clearSuspicion,
  lockIsolatedRun,
  readSuspicion,
  recordCrash,
  unlockIsolatedRun,
} from "./suspicions.ts";
import type { Admission, RunEnding, SuspectHash, SuspectRun } from "./types.ts";

const BUSY_RETRY_MS = 500;

/** Options of {@link SuspectGuard}. */
export interface SuspectGuardOptions {
  membership: MembershipView;
  /** How long suspicions and quarantines last. */
  quarantineMs: () => number;
}

/** Owns the reads and writes of the table of suspicions. */
export class SuspectGuard {
  #context: VmContext;
  #options: SuspectGuardOptions;
  #ranking = { ids: "", ranking: new HomeRanking([]) };

  constructor(context: VmContext, options: SuspectGuardOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Confirms or overrides the homes' decision. Returns the same object if the
   * decision stands.
   */
  async confirm(
    admission: Admission,
    homeReached: boolean,
  ): Promise<Admission> {
    if (admission.kind === "alone") {
      return await this.#lock(admission, admission.run);
    }
    if (admission.kind !== "clear") return admission;
    const { run } = admission;
    if (homeReached && !this.#isSubstituteHome(run.hash)) return admission;
    const { platform } = this.#context.ports;
    const suspicion = await readSuspicion(platform, run.hash);
    if (!suspicion) return admission;
    const alone = { ...run, alone: true };
    return await this.#lock({ kind: "alone", run: alone }, alone);
  }

  /** Records a crash, or the end of an isolated run, in the table. */
  async recordEnding(run: SuspectRun, ending: RunEnding): Promise<void> {
    const { platform } = this.#context.ports;
    if (ending.kind === "crashed") {
      const untilMs = Date.now() + this.#options.quarantineMs();
      const { endpoint } = ending;
      return await recordCrash(platform, { run, endpoint, untilMs });
    }
    if (!run.alone) return;
    if (ending.kind === "finished") return await clearSuspicion(platform, run);
    await unlockIsolatedRun(platform, run);
  }

  async #lock(admission: Admission, run: SuspectRun): Promise<Admission> {
    const retryAfterMs = this.#options.quarantineMs();
    const outcome = await lockIsolatedRun(
      this.#context.ports.platform,
      run,
      Date.now() + retryAfterMs,
    );
    // If the table can't be reached either, the homes' decision stands only while
    // every VM of the region is reachable.
    const isLocked = outcome === "locked" ||
      outcome === "unreachable" && this.#unreachable().length === 0;
    if (isLocked) return admission;
    return outcome === "convicted"
      ? { kind: "convicted", retryAfterMs }
      : { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
  }

  /** VMs of the region that are unreachable from this one, or dead. */
  #unreachable(): Member[] {
    return this.#inRegion().filter((member) =>
      member.state === "suspected" || member.state === "dead"
    );
  }

  // Whether another VM would be the hash's home if all were reachable.
  #isSubstituteHome(hash: SuspectHash): boolean {
    if (this.#unreachable().length === 0) return false;
    const key = `suspect/${hash}`;
    const candidates = this.#inRegion().filter((member) =>
      member.state !== "leaving"
    );
    const home = this.#rankingOf(candidates).homeOf(key);
    return home?.id !== this.#options.membership.homeOf(key).id;
  }

  #rankingOf(members: readonly Member[]): HomeRanking {
    const ids = members.map((member) => member.id).join(" ");
    if (ids !== this.#ranking.ids) {
      this.#ranking = { ids, ranking: new HomeRanking(members) };
    }
    return this.#ranking.ranking;
  }

  #inRegion(): Member[] {
    const { self } = this.#options.membership;
    return this.#options.membership.members().filter((member) =>
      member.region === self.region
    );
  }
}
