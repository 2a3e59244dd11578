/**
 * Decides at a body's home whether a run may start, and whether it must run
 * isolated. The home of a hash is the VM that rendezvous hashing picks for it.
 */
import type { MembershipView } from "../membership/types.ts";
import { MachineTask } from "../common/machine_task.ts";
import { suspectStatusMachine } from "./machine.ts";
import type {
  Admission,
  RunEnding,
  SuspectHash,
  SuspectRun,
  SuspectRunId,
  SuspectStatusUpdate,
} from "./types.ts";

/** Limit of concurrent runs of a body that has not finished anywhere yet. */
const MAX_UNPROVEN_RUNS = 2;
/** How long a run still counts after its owner was lost. */
const ORPHAN_GRACE_MS = 5_000;
const BUSY_RETRY_MS = 250;
const MAX_ENTRIES = 20_000;

/** Options of {@link SuspectsHome}. */
export interface SuspectsHomeOptions {
  membership: MembershipView;
  /** How long suspicions and quarantines last. */
  quarantineMs: () => number;
  /** Called on each status change that other VMs need. */
  onStatusChange: (news: SuspectStatusUpdate) => void;
}

interface Entry {
  readonly status: MachineTask<typeof suspectStatusMachine>;
  readonly runs: Map<SuspectRunId, SuspectRun>;
  /** When the run's owner was first seen to be lost, in ms of `performance.now`. */
  readonly orphanedAtMs: Map<SuspectRunId, number>;
  /** When the status expires, in ms of `Date.now`. */
  untilMs: number;
}

/** Owns this VM's local view of request bodies, and their runs where it is the home. */
export class SuspectsHome {
  #options: SuspectsHomeOptions;
  #entries = new Map<SuspectHash, Entry>();

  constructor(options: SuspectsHomeOptions) {
    this.#options = options;
  }

  /** Decides whether a run may start, and counts it if so. */
  admit(run: SuspectRun): Admission {
    const entry = this.#entry(run.hash);
    this.#dropOrphans(entry);
    // The same run may be asked for again after a lost reply; it must not count twice.
    entry.runs.delete(run.id);
    switch (entry.status.snapshot.value) {
      case "convicted":
        return { kind: "convicted", retryAfterMs: this.#remainingMs(entry) };
      case "suspected":
        return this.#start(entry, { run, alone: true, limit: 1 });
      case "trusted":
        return this.#start(entry, { run, alone: false, limit: Infinity });
      default:
        return this.#start(entry, {
          run,
          alone: false,
          limit: MAX_UNPROVEN_RUNS,
        });
    }
  }

  /** Takes over runs that another home admitted. */
  resume(runs: readonly SuspectRun[]): void {
    for (const run of runs) this.#entry(run.hash).runs.set(run.id, run);
  }

  /** Ends a run and updates the body's status. */
  end(run: SuspectRun, ending: RunEnding): void {
    const entry = this.#entry(run.hash);
    entry.runs.delete(run.id);
    entry.orphanedAtMs.delete(run.id);
    if (ending.kind === "released") return;
    const before = entry.status.snapshot.value;
    entry.status.send(
      ending.kind === "crashed"
        ? { type: "crashed", alone: run.alone }
        : { type: "finished" },
    );
    const standing = entry.status.snapshot.value;
    if (standing === before || standing === "unproven") return;
    entry.untilMs = Date.now() + this.#options.quarantineMs();
    // Other VMs need a trust update only if they were notified of a suspicion.
    if (standing === "trusted" && before !== "suspected") return;
    this.#options.onStatusChange({
      hash: run.hash,
      standing,
      untilMs: entry.untilMs,
    });
  }

  /** Applies a status received from another VM or read from the table. */
  applyUpdate(news: SuspectStatusUpdate): void {
    if (news.untilMs <= Date.now()) return;
    const entry = this.#entry(news.hash);
    const event = {
      suspected: { type: "suspicionSeen" },
      convicted: { type: "convictionSeen" },
      trusted: { type: "trustSeen" },
    } as const;
    entry.status.send(event[news.standing]);
    entry.untilMs = Math.max(entry.untilMs, news.untilMs);
  }

  /** Returns a hash's status in this VM's local view. */
  statusOf(hash: SuspectHash): "unproven" | SuspectStatusUpdate["standing"] {
    const entry = this.#entries.get(hash);
    if (!entry || this.#isExpired(entry)) return "unproven";
    return entry.status.snapshot.value;
  }

  /** Time until a hash's status expires; 0 if this VM has no status of it. */
  remainingMs(hash: SuspectHash): number {
    const entry = this.#entries.get(hash);
    return entry ? this.#remainingMs(entry) : 0;
  }

  #start(
    entry: Entry,
    options: { run: SuspectRun; alone: boolean; limit: number },
  ): Admission {
    if (entry.runs.size >= options.limit) {
      return { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
    }
    const run = { ...options.run, alone: options.alone };
    entry.runs.set(run.id, run);
    return { kind: options.alone ? "alone" : "clear", run };
  }

  #entry(hash: SuspectHash): Entry {
    const existing = this.#entries.get(hash);
    if (existing && !this.#isExpired(existing)) return existing;
    const entry: Entry = {
      status: new MachineTask(suspectStatusMachine, {
        input: undefined,
        perform: () => {},
      }),
      runs: existing?.runs ?? new Map(),
      orphanedAtMs: existing?.orphanedAtMs ?? new Map(),
      untilMs: Date.now() + this.#options.quarantineMs(),
    };
    this.#entries.delete(hash);
    this.#entries.set(hash, entry);
    this.#prune();
    return entry;
  }

  // Evicts only expired entries, and bodies without runs that are neither suspected
  // nor quarantined, for which only their trust is lost.
  #prune(): void {
    if (this.#entries.size <= MAX_ENTRIES) return;
    for (const [hash, entry] of this.#entries) {
      const isEvictable = entry.runs.size === 0 &&
        ["unproven", "trusted"].includes(entry.status.snapshot.value);
      if (!isEvictable && !this.#isExpired(entry)) continue;
      this.#entries.delete(hash);
      if (this.#entries.size <= MAX_ENTRIES) return;
    }
  }

  #dropOrphans(entry: Entry): void {
    for (const run of [...entry.runs.values()]) {
      if (this.#isOwnerRunning(run)) {
        entry.orphanedAtMs.delete(run.id);
        continue;
      }
      const sinceMs = entry.orphanedAtMs.get(run.id) ?? performance.now();
      entry.orphanedAtMs.set(run.id, sinceMs);
      if (performance.now() - sinceMs < ORPHAN_GRACE_MS) continue;
      entry.runs.delete(run.id);
      entry.orphanedAtMs.delete(run.id);
    }
  }

  #isOwnerRunning(run: SuspectRun): boolean {
    const member = this.#options.membership.member(run.vm);
    if (!member || member.state === "dead") return false;
    return member.incarnation === null ||
      member.incarnation === run.incarnation;
  }

  #isExpired(entry: Entry): boolean {
    return entry.untilMs <= Date.now();
  }

  #remainingMs(entry: Entry): number {
    return Math.max(0, entry.untilMs - Date.now());
  }
}
