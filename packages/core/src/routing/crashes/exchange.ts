/**
 * Spreads the evidence on crashes among the VMs. Changes go to a few VMs at once,
 * which pass on what is new to them; VMs that were missed, or started later, notice
 * by the hash of the evidence in membership probes, and fetch what they lack.
 */
import type { VmId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { shuffle } from "../../common/shuffle.ts";
import { findOthers } from "../../membership/queries/find_others.ts";
import type { Member, MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointIncarnation } from "../types.ts";
import type { EvidenceChange } from "./evidence.ts";
import type { CrashTracker } from "./tracker.ts";
import type { CrashReport, TraitId } from "./types.ts";

/** Delay until a change is sent, in which further requests are lost in the same crash. */
const FIRST_BATCH_MS = 20;
/** Minimum time between two batches. */
const BATCH_MS = 100;
/** VMs to which a VM passes on what is new to it. */
const FANOUT = 4;
const REPORT_TIMEOUT_MS = 500;
/** A home answers within a few milliseconds; the caller of a trial waits for it. */
const TRIAL_TIMEOUT_MS = 80;

/** Options of {@link CrashExchange}. */
export interface CrashExchangeOptions {
  membership: Pick<MembershipView, "self" | "members" | "homeOf">;
  peers: PeerPort;
  observer: Observer;
  random: () => number;
  /** Evidence of this VM. */
  tracker: () => CrashTracker;
}

/** Peer methods for crashes. */
export interface CrashHandlers {
  /** Adds the reports of another VM to the evidence. */
  "routing/crashes": (
    params: {
      reports: readonly CrashReport[];
      /** The VM that sends the reports; for the log. */
      from?: VmId;
    },
  ) => null;
  /** Returns the reports that the calling VM lacks; `digests` describes what it has. */
  "routing/crash-evidence": (
    params: { digests: Readonly<Record<string, number>> },
  ) => { reports: readonly CrashReport[] };
  /** Lets the calling VM send one request with a quarantined trait, once in `intervalMs`. */
  "routing/crash-trial": (
    params: { trait: TraitId; intervalMs: number },
  ) => { granted: boolean };
}

/** Sends, receives and fetches evidence, and grants trials. */
export class CrashExchange {
  /** Peer methods backed by this VM's evidence. */
  readonly handlers: CrashHandlers;
  #options: CrashExchangeOptions;
  #changed = new Set<EndpointIncarnation>();
  #timer: ReturnType<typeof setTimeout> | undefined;
  #sentAtMs = -Infinity;
  #fetching = false;
  #trialsAtMs = new Map<TraitId, number>();
  #quarantined: ReadonlySet<TraitId> = new Set();

  constructor(options: CrashExchangeOptions) {
    this.#options = options;
    this.handlers = {
      "routing/crashes": ({ reports, from }) => {
        this.#addReports(reports, from);
        return null;
      },
      "routing/crash-evidence": ({ digests }) => ({
        reports: options.tracker().evidence.reportsFor(digests),
      }),
      "routing/crash-trial": ({ trait, intervalMs }) => ({
        granted: this.#grantTrial(trait, intervalMs),
      }),
    };
  }

  /**
   * Logs what has changed, and passes it on to other VMs, also where it came from
   * another VM.
   */
  announce({ endpoints, culprits }: EvidenceChange): void {
    this.#logQuarantines(culprits);
    if (endpoints.size === 0) return;
    for (const endpoint of endpoints) this.#changed.add(endpoint);
    const dueInMs = this.#sentAtMs + BATCH_MS - performance.now();
    this.#timer ??= setTimeout(
      () => this.#send(),
      Math.max(FIRST_BATCH_MS, dueInMs),
    );
  }

  /** Fetches evidence from a VM whose hash differs. */
  async compare(peer: Member, hash: number): Promise<void> {
    const tracker = this.#options.tracker();
    const { evidence } = tracker;
    if (hash === evidence.hash || this.#fetching) return;
    this.#fetching = true;
    const answer = await this.#options.peers.call(
      peer,
      "routing/crash-evidence",
      {
        params: { digests: evidence.digests() },
        timeoutMs: REPORT_TIMEOUT_MS,
      },
    );
    this.#fetching = false;
    if (answer.isOk()) this.#addReports(answer.value.reports, peer.id);
  }

  /** Asks the home of a trait for its next trial; false if the home doesn't answer. */
  async claimTrial(trait: TraitId, intervalMs: number): Promise<boolean> {
    const { membership, peers, observer } = this.#options;
    const home = membership.homeOf(`crash-trial/${trait}`);
    const granted = home.id === membership.self.id
      ? this.#grantTrial(trait, intervalMs)
      : await peers.call(home, "routing/crash-trial", {
        params: { trait, intervalMs },
        timeoutMs: TRIAL_TIMEOUT_MS,
      }).then((answer) => answer.isOk() && answer.value.granted);
    observer.log({ event: "quarantine-trial", trait, home: home.id, granted });
    return granted;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #logQuarantines(culprits: EvidenceChange["culprits"]): void {
    const { observer } = this.#options;
    for (const [trait, { crashes }] of culprits) {
      if (this.#quarantined.has(trait)) continue;
      observer.count("convictions", "began");
      observer.log({
        event: "quarantine-began",
        level: "warn",
        trait,
        crashes,
      });
    }
    const { evidence } = this.#options.tracker();
    for (const trait of this.#quarantined) {
      if (culprits.has(trait)) continue;
      observer.count("convictions", "ended");
      observer.log({
        event: "quarantine-ended",
        trait,
        ...evidence.countCrashes(trait),
      });
    }
    this.#quarantined = new Set(culprits.keys());
  }

  #send(): void {
    this.#timer = undefined;
    this.#sentAtMs = performance.now();
    const { membership, peers, tracker } = this.#options;
    const reports = tracker().evidence.reports(this.#changed);
    this.#changed = new Set();
    for (const peer of this.#randomPeers()) {
      void peers.call(peer, "routing/crashes", {
        params: { reports, from: membership.self.id },
        timeoutMs: REPORT_TIMEOUT_MS,
      });
    }
  }

  #addReports(reports: readonly CrashReport[], from: VmId | undefined): void {
    const { tracker, observer } = this.#options;
    const { evidence } = tracker();
    for (const report of reports) {
      const suspects = evidence.newSuspects(report);
      if (suspects.length === 0) continue;
      observer.log({
        event: "crash-reported",
        endpoint: report.endpoint,
        from,
        ageMs: report.ageMs,
        suspects: suspects.join(),
      });
    }
    tracker().addReports(reports);
  }

  #grantTrial(trait: TraitId, intervalMs: number): boolean {
    const nowMs = performance.now();
    if (nowMs < (this.#trialsAtMs.get(trait) ?? -Infinity) + intervalMs) {
      return false;
    }
    this.#trialsAtMs.set(trait, nowMs);
    return true;
  }

  #randomPeers(): Member[] {
    const { membership, random } = this.#options;
    return shuffle(findOthers(membership), random).slice(0, FANOUT);
  }
}
