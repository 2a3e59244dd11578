/**
 * Finds out whether this VM has lost its links to endpoints that other VMs reach.
 *
 * When calls to a group of endpoints fail one after the other, the VM checks some of
 * them itself and asks other VMs. An endpoint that answers another VM and not this one
 * at the same time shows that the links are lost, until an endpoint answers this VM
 * again. Endpoints that answer nobody have failed themselves, and another VM could not
 * serve requests either.
 */
import type { EndpointId, ServiceName } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { shuffle } from "../../common/shuffle.ts";
import { findOthers } from "../../membership/queries/find_others.ts";
import type {
  Member,
  MembershipView,
  ViewChanges,
} from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointEntry } from "../types.ts";
import { findServedVm } from "./served_vm.ts";
import {
  EndpointChecks,
  type EndpointChecksOptions,
} from "./endpoint_checks.ts";
import { GroupLinks } from "./group_links.ts";
import type { LinkEvidence } from "./observed_port.ts";
import type { EndpointGroup, LinkHandlers } from "./types.ts";

/** Failed sends in a row, none answered in between, after which the links are checked. */
const FAILURES_TO_CHECK = 2;
/** An endpoint answers a check within a few milliseconds, unless it is overloaded. */
const CHECK_TIMEOUT_MS = 300;
/** Other VMs that are asked first; the more of them have no links, the more are asked. */
const FIRST_ASKED_VMS = 3;
const ASKED_VMS_FACTOR = 3;
/** Timeout of a VM that checks endpoints for another one; shorter than that one's own check. */
const CHECK_FOR_OTHERS_MS = 150;
const ASK_TIMEOUT_MS = 400;
/** How long an answer to any call spares a check for another VM, and a check a further one. */
const KNOWN_ANSWER_MS = 500;
/** Endpoints that both VMs call to confirm a loss; one may fail in between. */
const MAX_CONFIRMATIONS = 3;
/** Minimum time from a check that found no loss until the next one; doubles from the third in a row on. */
const CHECK_INTERVAL_MS = 500;
const MAX_CHECK_INTERVAL_MS = 2_000;
/** How often a lost link is tried again; spread, as many VMs may have lost theirs together. */
const RETRY_MS = { min: 350, max: 650 };
const RETRIED_ENDPOINTS = 2;

/** Called when links to a service's endpoints are lost, and when they are back. */
export type LinkListener = (group: EndpointGroup, isLost: boolean) => void;

/** An endpoint that answers another VM. */
interface Witness {
  readonly peer: Member;
  readonly endpoint: EndpointId;
}

/** Options of {@link LinkMonitor}. */
export interface LinkMonitorOptions extends EndpointChecksOptions {
  membership: Pick<MembershipView, "self" | "members"> & ViewChanges;
  peers: PeerPort;
  observer: Observer;
  /** Whether an endpoint limits or pauses requests, so that it can't be checked at will. */
  isLimited?: (entry: EndpointEntry) => boolean;
}

/** The links of this VM to all groups of endpoints. */
export class LinkMonitor implements LinkEvidence {
  /** Peer methods backed by this VM's links. */
  readonly handlers: LinkHandlers;
  #options: LinkMonitorOptions;
  #checks: EndpointChecks;
  #groups = new Map<string, GroupLinks>();
  #listeners: LinkListener[] = [];

  constructor(options: LinkMonitorOptions) {
    this.#options = options;
    this.#checks = new EndpointChecks(options);
    options.membership.onChange(() => this.#noteViewChange());
    this.handlers = {
      "routing/check-links": async (
        { service, stage, endpoint, failedAgoMs },
      ) => {
        const group = { service, stage };
        if (!failedAgoMs) {
          return { reached: await this.#checkForOthers(group, endpoint) };
        }
        const { state, sends } = this.#linksOf(group);
        return {
          reached: null,
          answered: state === "lost" ? [] : sends.answeredSince(failedAgoMs),
        };
      },
    };
  }

  onChange(listener: LinkListener): void {
    this.#listeners.push(listener);
  }

  /** Whether this VM can't use a service for which other VMs have links. */
  isLost(service: ServiceName): boolean {
    return this.#groupsOf(service).some(({ state }) => state === "lost");
  }

  /** Number of endpoint groups to which the links are lost. */
  get lostGroups(): number {
    return [...this.#groups.values()]
      .filter(({ state }) => state === "lost").length;
  }

  /** Waits until the checks of a service that are in progress have ended. */
  async settled(service: ServiceName): Promise<void> {
    await Promise.all(this.#groupsOf(service).map(({ check }) => check));
  }

  /**
   * Returns whether the links to an endpoint's group work, so that its refusal of a
   * connection is its own.
   */
  async confirmLinks(entry: EndpointEntry): Promise<boolean> {
    const links = this.#linksOf(entry);
    this.#startCheck(links);
    await links.check;
    return links.state !== "lost";
  }

  noteAnswer(entry: EndpointEntry, sentAtMs: number): void {
    const links = this.#linksOf(entry);
    links.noteAnswered(entry.id, sentAtMs);
    if (sentAtMs > links.lastFailedSendMs) links.resetFailures();
    if (links.state === "linked" || sentAtMs < links.changedAtMs) return;
    this.#noteLinked(links, entry);
  }

  noteFailure(entry: EndpointEntry, sentAtMs: number): void {
    const links = this.#linksOf(entry);
    if (sentAtMs < links.answeredSendMs) return;
    links.noteFailed(entry.id, sentAtMs);
    const isDue = links.failures >= FAILURES_TO_CHECK &&
      performance.now() >= links.nextCheckAtMs;
    if (links.state === "linked" && isDue) this.#startCheck(links);
  }

  stop(): void {
    for (const { retryTimer } of this.#groups.values()) {
      clearTimeout(retryTimer);
    }
  }

  #groupsOf(service: ServiceName): GroupLinks[] {
    return [...this.#groups.values()].filter(({ group }) =>
      group.service === service
    );
  }

  #linksOf({ service, stage }: EndpointGroup): GroupLinks {
    const key = `${service} ${stage ?? ""}`;
    const existing = this.#groups.get(key);
    if (existing) return existing;
    const links = new GroupLinks({ service, stage });
    this.#groups.set(key, links);
    return links;
  }

  #startCheck(links: GroupLinks): void {
    if (links.state !== "linked" || links.check) return;
    const nowMs = performance.now();
    links.changedAtMs = nowMs;
    links.machine.send({ type: "suspected" });
    const failedForMs = nowMs - Math.min(nowMs, links.firstFailedSendMs);
    links.check = this.#check(links, failedForMs).finally(() => {
      links.check = null;
    });
  }

  async #check(links: GroupLinks, failedForMs: number): Promise<void> {
    const onAnswer = (entry: EndpointEntry) => this.#noteLinked(links, entry);
    const confirmed = this.#findWitness(links.group).then((witness) =>
      witness && this.#confirmLoss(links, witness)
    );
    const answers = await this.#checks.checkSome(links, {
      timeoutMs: CHECK_TIMEOUT_MS,
      onAnswer,
    });
    if (links.state !== "checking") return;
    // Without an endpoint that could be checked nothing is known of the links, unless
    // requests show it.
    const reachedBy = answers === "none" && await confirmed ||
      await this.#findServedVm(links);
    if (links.state !== "checking") return;
    if (reachedBy) {
      return this.#noteLost(links, { failedForMs, reachedBy });
    }
    links.machine.send({ type: "notLost" });
    this.#endCheck(links, {
      outcome: answers === "unknown" ? "unchecked" : "endpoints-silent",
    });
  }

  /**
   * Returns the other VM if an endpoint answers it that doesn't answer this one, both
   * calling it at once. An endpoint that has failed since is replaced by another one.
   */
  async #confirmLoss(
    links: GroupLinks,
    { peer, endpoint: first }: Witness,
  ): Promise<Member | null> {
    let endpoint = first;
    for (let round = 0; round < MAX_CONFIRMATIONS; round += 1) {
      const record = this.#options.endpoints().get(endpoint);
      if (!record) return null;
      const [own, reached] = await Promise.all([
        this.#checks.check(links, record.entry, CHECK_TIMEOUT_MS),
        this.#ask(peer, { ...links.group, endpoint }),
      ]);
      if (own) this.#noteLinked(links, record.entry);
      if (own !== false || reached === null) return null;
      if (reached === endpoint) return peer;
      endpoint = reached;
    }
    return null;
  }

  // Checks need permits where endpoints name limits, and other VMs may have them all.
  async #findServedVm(links: GroupLinks): Promise<Member | null> {
    const { membership, peers, random, isLimited } = this.#options;
    const usable = this.#checks.usable(links.group);
    if (!usable.some(({ entry }) => isLimited?.(entry))) return null;
    const others = shuffle(findOthers(membership), random);
    return await findServedVm(links, { usable, others, peers });
  }

  /** Finds a VM that an endpoint of the group answers; null if there is none. */
  async #findWitness(group: EndpointGroup): Promise<Witness | null> {
    const { membership, random } = this.#options;
    // A VM that leaves serves for some time, and may be the only one with links.
    const others = (["live", "leaving"] as const).flatMap((state) =>
      shuffle(findOthers(membership, state), random)
    );
    for (let count = FIRST_ASKED_VMS; others.length > 0;) {
      const witnesses = await Promise.all(
        others.splice(0, count).map(async (peer) => {
          const endpoint = await this.#ask(peer, { ...group, endpoint: null });
          return endpoint === null ? null : { peer, endpoint };
        }),
      );
      const witness = witnesses.find((found) => found !== null);
      if (witness) return witness;
      count *= ASKED_VMS_FACTOR;
    }
    return null;
  }

  async #ask(
    peer: Member,
    params: EndpointGroup & { endpoint: EndpointId | null },
  ): Promise<EndpointId | null> {
    const answer = await this.#options.peers.call(peer, "routing/check-links", {
      params,
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return answer.isOk() ? answer.value.reached : null;
  }

  async #checkForOthers(
    group: EndpointGroup,
    endpoint: EndpointId | null,
  ): Promise<EndpointId | null> {
    const links = this.#linksOf(group);
    if (links.state === "lost") return null;
    if (endpoint !== null) {
      const record = this.#options.endpoints().get(endpoint);
      const answers = record &&
        await this.#checks.check(links, record.entry, CHECK_FOR_OTHERS_MS);
      if (answers) return endpoint;
      return await this.#findAnswering(links);
    }
    const nowMs = performance.now();
    const knownSinceMs = nowMs - KNOWN_ANSWER_MS;
    if (links.answeredSendMs >= knownSinceMs) return links.answeredBy;
    if (links.sharedCheck && links.sharedCheck.atMs >= knownSinceMs) {
      return await links.sharedCheck.reached;
    }
    const reached = this.#findAnswering(links);
    links.sharedCheck = { atMs: nowMs, reached };
    return await reached;
  }

  async #findAnswering(links: GroupLinks): Promise<EndpointId | null> {
    const timeoutMs = CHECK_FOR_OTHERS_MS;
    const answers = await this.#checks.checkSome(links, { timeoutMs });
    return answers === "answered" ? links.answeredBy : null;
  }

  #noteLost(
    links: GroupLinks,
    { failedForMs, reachedBy }: { failedForMs: number; reachedBy: Member },
  ): void {
    links.machine.send({ type: "lost" });
    links.changedAtMs = performance.now();
    this.#log(links, {
      event: "links-lost",
      failures: links.failures,
      failedForMs: Math.round(failedForMs),
      reachedBy: reachedBy.id,
    });
    this.#retryLater(links);
    this.#notify(links, true);
    // Links to the other groups are likely to be lost as well.
    for (const group of this.#checks.knownGroups()) {
      this.#startCheck(this.#linksOf(group));
    }
  }

  #noteLinked(links: GroupLinks, answered: EndpointEntry | null): void {
    const { state, changedAtMs } = links;
    if (state === "linked") return;
    clearTimeout(links.retryTimer);
    links.resetFailures();
    links.machine.send({ type: "answered" });
    if (state === "checking") {
      return this.#endCheck(links, { outcome: "linked" });
    }
    this.#log(links, {
      event: "links-back",
      endpoint: answered?.id,
      lostForMs: Math.round(performance.now() - changedAtMs),
    });
    // What failed here was no fault of the endpoints.
    for (const record of this.#checks.usable(links.group)) record.endEjection();
    this.#notify(links, false);
  }

  #endCheck(links: GroupLinks, { outcome }: { outcome: string }): void {
    links.resetFailures();
    links.emptyChecks = outcome === "linked" ? 0 : links.emptyChecks + 1;
    const intervalMs = Math.min(
      MAX_CHECK_INTERVAL_MS,
      CHECK_INTERVAL_MS * 2 ** Math.max(0, links.emptyChecks - 2),
    );
    links.nextCheckAtMs = performance.now() + intervalMs;
    this.#log(links, { event: "links-checked", level: "debug", outcome });
  }

  // A VM that was not there before may have links.
  #noteViewChange(): void {
    for (const links of this.#groups.values()) {
      if (links.emptyChecks === 0) continue;
      links.emptyChecks = 0;
      links.nextCheckAtMs = performance.now();
    }
  }

  #retryLater(links: GroupLinks): void {
    const delayMs = RETRY_MS.min +
      (RETRY_MS.max - RETRY_MS.min) * this.#options.random();
    links.retryTimer = setTimeout(() => void this.#retry(links), delayMs);
  }

  async #retry(links: GroupLinks): Promise<void> {
    await this.#checks.checkSome(links, {
      timeoutMs: CHECK_TIMEOUT_MS,
      count: RETRIED_ENDPOINTS,
      onAnswer: (entry) => this.#noteLinked(links, entry),
    });
    if (links.state !== "lost") return;
    // Nothing is lost with links to a stage that no endpoint has.
    if (this.#checks.usable(links.group).length === 0) {
      return this.#noteLinked(links, null);
    }
    this.#retryLater(links);
  }

  #notify({ group }: GroupLinks, isLost: boolean): void {
    for (const listener of this.#listeners) listener(group, isLost);
  }

  #log(
    { group }: GroupLinks,
    { event, ...fields }: Parameters<Observer["log"]>[0],
  ): void {
    const { observer } = this.#options;
    observer.count("link_changes", String(fields.outcome ?? event));
    observer.log({
      event,
      service: group.service,
      stage: group.stage ?? undefined,
      ...fields,
    });
  }
}
