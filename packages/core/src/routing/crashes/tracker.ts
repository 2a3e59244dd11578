/**
 * Finds requests that crash the endpoints that run them, and refuses them.
 *
 * When an endpoint crashes, the requests that it may just have begun to answer
 * become suspects, with the parts of their prompts. Requests that only happened to
 * run there are answered elsewhere, which clears what they consist of; what remains
 * after several crashes is quarantined. Now and then one request with a quarantined
 * trait is let through as a trial, since the endpoints' software may have changed.
 */
import { type Observer, SILENT_OBSERVER } from "../../common/observe.ts";
import { type NotRun, notRun } from "../../common/verdict.ts";
import type { EndpointGroup } from "../links/types.ts";
import {
  type EndpointEntry,
  type EndpointIncarnation,
  incarnationOf,
  isFromIncarnation,
  type RoutedRequest,
} from "../types.ts";
import { CrashEvidence, type EvidenceListener } from "./evidence.ts";
import { type Culprit, CULPRIT_CRASHES } from "./queries/find_culprits.ts";
import { partTraitsOf, traitsOf, wholeTraitOf } from "./traits.ts";
import {
  type CrashReport,
  type Trait,
  type TraitId,
  WHOLE_REQUEST_POSITION,
} from "./types.ts";

/** A crash is attributed to the connections lost within this time before it was noticed. */
const LOSS_WINDOW_MS = 6_000;
/** How far a loss may be from a crash that another VM reports if the links were lost, too. */
const COINCIDENCE_MS = 500;
/** Delay until an endpoint is checked that lost a connection; others break meanwhile. */
const CHECK_DELAY_MS = 30;
/** Time until the first trial of a culprit; multiplied with each further crash. */
const FIRST_TRIAL_MS = 10_000;
const TRIAL_FACTOR = 4;
const MAX_TRIAL_MS = 10 * 60_000;
/** For how long a trial is kept for a request whose further parts are known to be sound. */
const KEPT_TRIAL_MS = 1_000;
/** How long a trait is refused without asking again whether a trial may take place. */
const DENIAL_MS = 1_000;
const MIN_RETRY_MS = 1_000;

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  observer?: Observer;
  /** Receives changes of the evidence, to pass to other VMs. */
  onChange?: EvidenceListener;
  /** Returns whether an incarnation is still running; undefined if that can't be checked. */
  check?: (entry: EndpointEntry) => Promise<boolean | undefined>;
  /** Returns whether this VM's links work, so that an endpoint refuses connections itself. */
  confirmLinks?: (entry: EndpointEntry) => Promise<boolean>;
  /** Asks for the only trial of a trait in this time; resolves with false if it is refused. */
  claimTrial?: (trait: TraitId, intervalMs: number) => Promise<boolean>;
}

/** Whether a request may be sent. `trial`: only once, without retries. */
export type CrashVerdict = "unsuspected" | "trial" | NotRun;

interface Loss {
  readonly request: RoutedRequest;
  readonly entry: EndpointEntry;
  /** Whether the endpoint had been answering for a while. */
  readonly wasAnswering: boolean;
  /** Whether the answer looked complete. */
  readonly isAnswered: boolean;
  /** Whether the links were lost, too, so that it is no sign of a crash by itself. */
  readonly isUnlinked: boolean;
  readonly atMs: number;
}

/** Tracks lost connections, crashes and suspected requests at this VM. */
export class CrashTracker {
  readonly evidence: CrashEvidence;
  #options: CrashTrackerOptions;
  #losses = new Map<EndpointIncarnation, Loss[]>();
  #checking = new Set<EndpointIncarnation>();
  #deniedUntilMs = new Map<TraitId, number>();

  constructor(options: CrashTrackerOptions = {}) {
    this.#options = options;
    this.evidence = new CrashEvidence((change) => options.onChange?.(change));
  }

  /** Returns the refusal of a request that crashes endpoints, or null. */
  refusalOf(request: RoutedRequest): NotRun | null {
    const [dueAtMs] = this.#findCulprits(request).map(trialDueAtMs)
      .sort((a, b) => b - a);
    if (dueAtMs === undefined) return null;
    const retryAfterMs = Math.max(MIN_RETRY_MS, dueAtMs - performance.now());
    return notRun("quarantined", { retryAfterMs });
  }

  /** Number of crashes that a request as a whole may have caused. */
  crashesOf(request: RoutedRequest): number {
    if (this.evidence.isEmpty) return 0;
    return this.evidence.countSuspicions(wholeTraitOf(request).id);
  }

  /** Decides on a request that has arrived, which may become the trial of its traits. */
  async admit(request: RoutedRequest): Promise<CrashVerdict> {
    const refusal = this.refusalOf(request);
    if (!refusal) return "unsuspected";
    return await this.#claimTrial(request) ? "trial" : refusal;
  }

  /**
   * Records a lost connection, before it is known whether the endpoint crashed. Parts
   * of prompts crash endpoints when the answer begins: if the endpoint had been
   * answering for a while, only the request as a whole may have crashed it.
   */
  noteLost(
    request: RoutedRequest,
    entry: EndpointEntry,
    { wasAnswering = false }: { wasAnswering?: boolean } = {},
  ): void {
    this.#addLoss(request, { entry, isAnswered: false, wasAnswering });
  }

  /**
   * Records an answer that ended with its connection. Whether it is complete shows
   * when the endpoint answers again, or has crashed.
   */
  noteEnded(
    request: RoutedRequest,
    entry: EndpointEntry,
    { wasAnswering = false }: { wasAnswering?: boolean } = {},
  ): void {
    this.#addLoss(request, { entry, isAnswered: true, wasAnswering });
  }

  #addLoss(
    request: RoutedRequest,
    loss: Omit<Loss, "request" | "atMs" | "isUnlinked">,
  ): void {
    const { entry } = loss;
    const endpoint = incarnationOf(entry);
    const losses = this.#recentLosses(endpoint);
    const atMs = performance.now();
    losses.push({ ...loss, request, isUnlinked: false, atMs });
    this.#losses.set(endpoint, losses);
    if (this.evidence.get(endpoint)) return this.noteEnd(entry);
    void this.#check(entry);
  }

  /**
   * Records that an endpoint refuses connections, which means that it has ended unless
   * the links to it are lost.
   */
  async noteRefused(entry: EndpointEntry): Promise<void> {
    if (this.#recentLosses(incarnationOf(entry)).length === 0) return;
    const { confirmLinks } = this.#options;
    if (!confirmLinks || await confirmLinks(entry)) this.noteEnd(entry);
  }

  /**
   * Records that the links to a group of endpoints are lost, so that lost connections
   * are no sign of a crash. If an endpoint crashed at that time all the same, another
   * VM reports it, and what this VM lost there is suspected with the rest.
   */
  discountLosses({ service, stage }: EndpointGroup): void {
    let [endpoints, requests] = [0, 0];
    for (const [endpoint, losses] of this.#losses) {
      const [{ entry }] = losses as [Loss];
      if (entry.service !== service || entry.stage !== stage) continue;
      const unlinked = this.#recentLosses(endpoint).map((loss) => ({
        ...loss,
        isAnswered: false,
        isUnlinked: true,
      }));
      this.#setLosses(endpoint, unlinked);
      endpoints += Number(unlinked.length > 0);
      requests += unlinked.length;
    }
    if (endpoints === 0) return;
    const { observer = SILENT_OBSERVER } = this.#options;
    observer.log({
      event: "losses-discounted",
      service,
      stage: stage ?? undefined,
      endpoints,
      requests,
    });
  }

  /** Records that an endpoint has ended; a draining one has not crashed. */
  noteEnd(entry: EndpointEntry): void {
    const endpoint = incarnationOf(entry);
    const recent = this.#recentLosses(endpoint);
    const losses = recent.filter(({ isUnlinked }) => !isUnlinked);
    const unlinked = recent.filter(({ isUnlinked }) => isUnlinked);
    this.#setLosses(endpoint, unlinked);
    if (entry.state !== "draining") this.#addCrash(entry, losses);
  }

  #addCrash(entry: EndpointEntry, losses: readonly Loss[]): void {
    if (losses.length === 0) return;
    const endpoint = incarnationOf(entry);
    const traits = losses.flatMap(suspectsOf);
    const { observer = SILENT_OBSERVER } = this.#options;
    observer.count("suspicions", "crash");
    observer.log({
      event: "crash-suspected",
      endpoint: entry.id,
      requests: losses.length,
      suspects: [...new Set(traits.map(({ id }) => id))].join(),
    });
    this.evidence.addCrash(endpoint, { traits, atMs: losses[0]!.atMs });
  }

  /** Adds what this VM has lost at the endpoints of the reports, and then the reports. */
  addReports(reports: readonly CrashReport[]): void {
    for (const report of reports) {
      const [loss] = this.#recentLosses(report.endpoint);
      if (!loss || report.refuted) continue;
      this.noteEnd(loss.entry);
      this.#addUnlinked(loss.entry, report);
    }
    this.evidence.addReports(reports);
  }

  #addUnlinked(entry: EndpointEntry, { endpoint, ageMs }: CrashReport): void {
    const crashedAtMs = performance.now() - ageMs;
    const unlinked = this.#recentLosses(endpoint);
    const isNear = ({ atMs }: Loss) =>
      Math.abs(atMs - crashedAtMs) <= COINCIDENCE_MS;
    this.#setLosses(endpoint, unlinked.filter((loss) => !isNear(loss)));
    if (entry.state === "draining") return;
    this.#addCrash(entry, unlinked.filter(isNear));
  }

  /**
   * Records an answer to a call made at `sentAtMs`. If it states another start time than
   * the entry, or none, it may come from an endpoint that has crashed and started again,
   * and doesn't show that the incarnation of the entry was running.
   */
  noteAnswer(
    entry: EndpointEntry,
    { sentAtMs, bornAtMs = null }: {
      sentAtMs: number;
      /** Start time that it states, if any. */
      bornAtMs?: number | null;
    },
  ): void {
    if (isFromIncarnation(entry, bornAtMs)) {
      return this.noteRunning(entry, { sentAtMs });
    }
    if (bornAtMs === null) this.#noteSurvived(entry);
  }

  // The directory replaces or removes the entry of an incarnation that has ended within
  // the window, so that a loss before it was no crash.
  #noteSurvived(entry: EndpointEntry): void {
    const endpoint = incarnationOf(entry);
    const losses = this.#losses.get(endpoint);
    if (!losses) return;
    const recent = this.#recentLosses(endpoint);
    this.#setLosses(endpoint, recent);
    if (this.evidence.get(endpoint)) return;
    for (const loss of losses) {
      if (loss.isAnswered && !recent.includes(loss)) {
        this.noteAnswered(loss.request);
      }
    }
  }

  /** Records that an incarnation has answered a call made at `sentAtMs`, so that it was running. */
  noteRunning(entry: EndpointEntry, { sentAtMs }: { sentAtMs: number }): void {
    const endpoint = incarnationOf(entry);
    const losses = this.#losses.get(endpoint) ?? [];
    this.#setLosses(endpoint, losses.filter(({ atMs }) => atMs >= sentAtMs));
    for (const { request, isAnswered, atMs } of losses) {
      if (isAnswered && atMs < sentAtMs) this.noteAnswered(request);
    }
    const crash = this.evidence.get(endpoint);
    if (crash && crash.atMs < sentAtMs) this.evidence.refute(endpoint);
  }

  /** Records that a request was answered without a crash, which clears its traits. */
  noteAnswered(request: RoutedRequest): void {
    this.evidence.noteAnswered(
      this.evidence.isEmpty ? partTraitsOf(request) : traitsOf(request),
    );
  }

  /** Records that a request has been answered for a while, which clears its parts. */
  noteAnswering(request: RoutedRequest): void {
    this.evidence.noteAnswered(partTraitsOf(request));
  }

  /** Records that a request is being answered, so that its parts rarely crash endpoints. */
  noteBegun(request: RoutedRequest): void {
    this.evidence.noteBegun(partTraitsOf(request));
  }

  async #check(entry: EndpointEntry): Promise<void> {
    const endpoint = incarnationOf(entry);
    const { check } = this.#options;
    if (!check || this.#checking.has(endpoint)) return;
    this.#checking.add(endpoint);
    await new Promise((resolve) => setTimeout(resolve, CHECK_DELAY_MS));
    const sentAtMs = performance.now();
    const running = await check(entry);
    this.#checking.delete(endpoint);
    if (running) this.noteRunning(entry, { sentAtMs });
    if (running === false) void this.noteRefused(entry);
  }

  #findCulprits(request: RoutedRequest): Culprit[] {
    const { culprits } = this.evidence;
    if (culprits.size === 0) return [];
    return traitsOf(request).flatMap(({ id }) => culprits.get(id) ?? []);
  }

  async #claimTrial(request: RoutedRequest): Promise<boolean> {
    const culprits = this.#findCulprits(request);
    const nowMs = performance.now();
    const isDue = culprits.every((culprit) =>
      nowMs >= trialDueAtMs(culprit) + this.#trialDelayMs(request, culprit) &&
      nowMs >= (this.#deniedUntilMs.get(culprit.id) ?? -Infinity)
    );
    if (!isDue || this.#hasOtherSuspects(request, culprits)) return false;
    for (const culprit of culprits) {
      this.#deniedUntilMs.set(culprit.id, nowMs + DENIAL_MS);
    }
    const { claimTrial } = this.#options;
    const granted = await Promise.all(
      culprits.map((culprit) =>
        claimTrial?.(culprit.id, trialIntervalMs(culprit)) ?? true
      ),
    );
    return granted.every(Boolean);
  }

  // Where a part was alone in a crash, requests without another one exist, and their
  // trial doesn't depend on a part that nobody knows.
  #trialDelayMs(
    request: RoutedRequest,
    { position, unaccompanied }: Culprit,
  ): number {
    if (position === WHOLE_REQUEST_POSITION || unaccompanied === 0) return 0;
    const hasUnknown = partTraitsOf(request).some((part) =>
      part.position > position && !this.evidence.culprits.has(part.id) &&
      !this.evidence.wasAnswered(part.id)
    );
    return hasUnknown ? KEPT_TRIAL_MS : 0;
  }

  // A crash in a trial has to say something about the culprits, and not about a more
  // specific trait that is also suspected.
  #hasOtherSuspects(
    request: RoutedRequest,
    culprits: readonly Culprit[],
  ): boolean {
    const positions = culprits.map(({ position }) => position);
    const lowest = Math.min(...positions);
    return traitsOf(request).some(({ id, position }) =>
      position > lowest && !this.evidence.culprits.has(id) &&
      this.evidence.isSuspected(id)
    );
  }

  #setLosses(endpoint: EndpointIncarnation, losses: Loss[]): void {
    if (losses.length > 0) this.#losses.set(endpoint, losses);
    else this.#losses.delete(endpoint);
  }

  #recentLosses(endpoint: EndpointIncarnation): Loss[] {
    const sinceMs = performance.now() - LOSS_WINDOW_MS;
    const losses = this.#losses.get(endpoint) ?? [];
    return losses.filter(({ atMs }) => atMs >= sinceMs);
  }
}

function suspectsOf({ request, wasAnswering }: Loss): readonly Trait[] {
  return wasAnswering ? [wholeTraitOf(request)] : traitsOf(request);
}

function trialIntervalMs({ crashes }: Culprit): number {
  const factor = TRIAL_FACTOR ** Math.max(0, crashes - CULPRIT_CRASHES);
  return Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * factor);
}

function trialDueAtMs(culprit: Culprit): number {
  return culprit.lastCrashAtMs + trialIntervalMs(culprit);
}
