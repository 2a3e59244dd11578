/** The home of request bodies: decides which may run, and which alone. */
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

/** Runs of a body that has not yet finished anywhere, at the same time. */
const MAX_UNPROVEN_RUNS = 2;
/** How long a run still counts after its owner is gone. */
const ORPHAN_MS = 5_000;
const BUSY_RETRY_MS = 250;
const MAX_ENTRIES = 20_000;

/** Options of {@link SuspectsHome}. */
export interface SuspectsHomeOptions {
  membership: MembershipView;
  /** How long suspicions and convictions last. */
  quarantineMs: () => number;
  /** Told of each change of a standing. */
  onStatusChange: (news: SuspectStatusUpdate) => void;
}

interface Entry {
  readonly status: MachineTask<typeof suspectStatusMachine>;
  readonly runs: Map<SuspectRunId, SuspectRun>;
  /** When an owner was first seen to be gone, by run. */
  readonly orphanedAtMs: Map<SuspectRunId, number>;
  untilMs: number;
}

/** Owns what this VM knows of request bodies. */
export class SuspectsHome {
  #options: SuspectsHomeOptions;
  #entries = new Map<SuspectHash, Entry>();

  constructor(options: SuspectsHomeOptions) {
    this.#options = options;
  }

  /** Decides whether a run may start. */
  admit(run: SuspectRun): Admission {
    const entry = this.#entry(run.hash);
    this.#dropOrphans(entry);
    // A repeat of the question after a lost answer gets the same answer.
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

  /** Takes runs over that another home admitted. */
  resume(runs: readonly SuspectRun[]): void {
    for (const run of runs) this.#entry(run.hash).runs.set(run.id, run);
  }

  /** Takes note of a run's end. */
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
    // Trust is news only to those who were told of a suspicion.
    if (standing === "trusted" && before !== "suspected") return;
    this.#options.onStatusChange({
      hash: run.hash,
      standing,
      untilMs: entry.untilMs,
    });
  }

  /** Takes in what another VM or the table knows. */
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

  /** What is known of a hash without asking anybody. */
  statusOf(hash: SuspectHash): "unproven" | SuspectStatusUpdate["standing"] {
    const entry = this.#entries.get(hash);
    if (!entry || this.#isOver(entry)) return "unproven";
    return entry.status.snapshot.value;
  }

  /** How long a hash's standing still lasts. */
  remainingMs(hash: SuspectHash): number {
    const entry = this.#entries.get(hash);
    return entry ? this.#remainingMs(entry) : 0;
  }

  #start(
    entry: Entry,
    how: { run: SuspectRun; alone: boolean; limit: number },
  ): Admission {
    if (entry.runs.size >= how.limit) {
      return { kind: "busy", retryAfterMs: BUSY_RETRY_MS };
    }
    const run = { ...how.run, alone: how.alone };
    entry.runs.set(run.id, run);
    return { kind: how.alone ? "alone" : "clear", run };
  }

  #entry(hash: SuspectHash): Entry {
    const held = this.#entries.get(hash);
    if (held && !this.#isOver(held)) return held;
    const entry: Entry = {
      status: new MachineTask(suspectStatusMachine, {
        input: undefined,
        perform: () => {},
      }),
      runs: held?.runs ?? new Map(),
      orphanedAtMs: held?.orphanedAtMs ?? new Map(),
      untilMs: Date.now() + this.#options.quarantineMs(),
    };
    this.#entries.delete(hash);
    this.#entries.set(hash, entry);
    this.#prune();
    return entry;
  }

  // Bodies that nobody suspects are forgotten first; they only lose their trust.
  #prune(): void {
    if (this.#entries.size <= MAX_ENTRIES) return;
    for (const [hash, entry] of this.#entries) {
      const harmless = entry.runs.size === 0 &&
        ["unproven", "trusted"].includes(entry.status.snapshot.value);
      if (!harmless && !this.#isOver(entry)) continue;
      this.#entries.delete(hash);
      if (this.#entries.size <= MAX_ENTRIES) return;
    }
  }

  #dropOrphans(entry: Entry): void {
    for (const run of [...entry.runs.values()]) {
      if (this.#ownerLives(run)) {
        entry.orphanedAtMs.delete(run.id);
        continue;
      }
      const sinceMs = entry.orphanedAtMs.get(run.id) ?? performance.now();
      entry.orphanedAtMs.set(run.id, sinceMs);
      if (performance.now() - sinceMs < ORPHAN_MS) continue;
      entry.runs.delete(run.id);
      entry.orphanedAtMs.delete(run.id);
    }
  }

  #ownerLives(run: SuspectRun): boolean {
    const member = this.#options.membership.member(run.vm);
    if (!member || member.state === "dead") return false;
    return member.incarnation === null ||
      member.incarnation === run.incarnation;
  }

  #isOver(entry: Entry): boolean {
    return entry.untilMs <= Date.now();
  }

  #remainingMs(entry: Entry): number {
    return Math.max(0, entry.untilMs - Date.now());
  }
}
