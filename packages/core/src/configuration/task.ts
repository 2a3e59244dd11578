/** Keeps the active configuration current: polls the head, commits manifests, exchanges changes with peers. */
import type { Result } from "neverthrow";
import type { Member } from "../membership/types.ts";
import type { StoreFailure } from "../ports/platform.ts";
import type { Digest } from "../common/ids.ts";
import { type Effect, MachineTask } from "../common/machine_task.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { FetchAnswer, VersionHolder } from "./app.ts";
import { ChangeLog } from "./change_log.ts";
import {
  commitManifest,
  type CommittedManifest,
  type SubmitOptions,
  type SubmitPolicies,
} from "./commands/submit.ts";
import { fetchNewer } from "./fetch.ts";
import { replicateToHolders } from "./holders.ts";
import {
  type ConfigurationEffect,
  configurationMachine,
  type ConfigurationSource,
  type IsNewer,
} from "./machine.ts";
import {
  findMaxVersion,
  listActiveVersions,
  queryVersions,
  samplePeers,
} from "./peer_versions.ts";
import { checkManifest } from "./queries/check.ts";
import { diffVersions, type VersionDifference } from "./queries/diff.ts";
import { listHistory } from "./queries/history.ts";
import { showVersion } from "./queries/show.ts";
import { type HeadRow, readHead } from "./store.ts";
import { findToken, type TokenEntry } from "./token_index.ts";
import type {
  ActiveVersion,
  Configuration,
  ConfigurationChange,
  HistoryEntry,
  ManifestCheck,
  SubmissionOutcome,
} from "./types.ts";

const POLL_INTERVAL_MS = 1_000;
const HOLD_TIMEOUT_MS = 1_200;
const CATCH_UP_TIMEOUT_MS = 3_000;
const NOTICE_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
/** Peers that are notified immediately of a newly activated version. */
const NOTIFIED_PEERS = 4;
/** Peers queried if the head or its objects can't be read. */
const POLLED_PEERS = 2;

/** Access to the active configuration; null before the first one. */
export interface ConfigurationView {
  current(): Configuration | null;
}

/** Safeguards and choices that tests and benchmarks can change. */
export interface ConfigurationPolicies extends SubmitPolicies {
  isNewer: IsNewer;
  /** Fetches only snapshots, as a baseline for measurements. */
  snapshotsOnly: boolean;
}

/** What the submitter of a manifest may change; everything if `allowedWorkspaces` is absent. */
export type Submitter = Pick<SubmitOptions, "allowedWorkspaces">;

/** Options of {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  members: () => readonly Member[];
  /** Waits for a platform VM list that includes this VM; false if none arrives in time. */
  awaitMembers: (limitMs: number) => Promise<boolean>;
  policies?: Partial<ConfigurationPolicies>;
}

const DEFAULT_POLICIES: ConfigurationPolicies = {
  keepsSubmissionRow: true,
  checksBaseVersions: true,
  isNewer: (offered, active) => offered > active,
  snapshotsOnly: false,
};

/** Owns the active configuration of this VM. */
export class ConfigurationTask implements ConfigurationView, VmTask {
  #context: VmContext;
  #options: ConfigurationTaskOptions;
  #policies: ConfigurationPolicies;
  #machine: MachineTask<typeof configurationMachine>;
  #current: Configuration | null = null;
  #changeLog = new ChangeLog();
  #listeners = new Set<() => void>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #polling: Promise<void> | null = null;

  constructor(context: VmContext, options: ConfigurationTaskOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_POLICIES, ...options.policies };
    this.#machine = new MachineTask(configurationMachine, {
      input: { isNewer: this.#policies.isNewer },
      perform: (effect) => this.#perform(effect),
    });
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS);
    await this.poll();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  current(): Configuration | null {
    return this.#current;
  }

  /** The active version; 0 if there is none. */
  version(): number {
    return this.#current?.head.version ?? 0;
  }

  /** Calls a listener after each activated version, until the returned function is called. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Finds a token in the active configuration by its hash. */
  findToken(hash: Digest): TokenEntry | undefined {
    return this.#current ? findToken(this.#current, hash) : undefined;
  }

  /** Reads the head and activates a newer configuration; queries peers if the head can't be read. */
  async poll(): Promise<number> {
    this.#polling ??= this.#pollOnce().finally(() => (this.#polling = null));
    await this.#polling;
    return this.version();
  }

  /** Handles a notice that a peer holds a version. */
  handleNotice(version: number, from: VersionHolder): void {
    // A VM without a configuration first compares the versions of several peers, in `poll`.
    if (this.#current) this.#notePeerVersion(version, from);
  }

  /** Fetches a version that a peer committed, before the peer confirms it; returns the version then active. */
  async holdVersion(version: number, from: VersionHolder): Promise<number> {
    this.#notePeerVersion(version, from);
    await this.#waitForVersion(version, HOLD_TIMEOUT_MS);
    return this.version();
  }

  /** Answers a peer's fetch: the changes after a version, a snapshot, or nothing newer. */
  answerFetch(after: number): FetchAnswer {
    const current = this.#current;
    if (!current || !this.#policies.isNewer(current.head.version, after)) {
      return { kind: "current", version: this.version() };
    }
    const batch = after > 0 ? this.#changeLog.listAfter(after) : null;
    return batch && batch.changes.length > 0
      ? { kind: "changes", ...batch }
      : { kind: "snapshot", configuration: current };
  }

  /** Validates and commits a manifest, and replicates it to other VMs. */
  async submit(
    submission: unknown,
    submitter: Submitter = {},
  ): Promise<SubmissionOutcome> {
    const outcome = await commitManifest(submission, {
      ...this.#submitOptions(submitter),
      vm: this.#context.identity.id,
    });
    this.#context.observer.count("configuration_changes", outcome.kind);
    if (outcome.kind !== "committed") return outcome;
    return await this.#replicate(outcome);
  }

  /** Returns what a manifest would change, without submitting it. */
  check(
    submission: unknown,
    submitter: Submitter = {},
  ): Promise<ManifestCheck> {
    return checkManifest(submission, this.#submitOptions(submitter));
  }

  /** Queries every member VM for its active version. */
  activeVersions(): Promise<ActiveVersion[]> {
    return listActiveVersions(this.#options.members(), {
      self: this.#context.identity.id,
      version: this.version(),
      peers: this.#context.ports.peers,
    });
  }

  /** Lists committed versions, newest first. */
  history(
    options: { limit: number },
  ): Promise<Result<HistoryEntry[], StoreFailure>> {
    return listHistory(this.#context.ports.platform, options);
  }

  /** Reads the configuration of one version; null if the version doesn't exist. */
  show(version: number): Promise<Result<Configuration | null, StoreFailure>> {
    const { platform } = this.#context.ports;
    return showVersion(platform, { version, held: this.#current });
  }

  /** Describes the differences between two versions; null if one doesn't exist. */
  diff(
    options: { from: number; to: number },
  ): Promise<Result<VersionDifference | null, StoreFailure>> {
    const { platform } = this.#context.ports;
    return diffVersions(platform, { ...options, held: this.#current });
  }

  #submitOptions(submitter: Submitter) {
    return {
      ...submitter,
      platform: this.#context.ports.platform,
      policies: this.#policies,
      catchUp: (row: HeadRow) => this.#catchUp(row),
    };
  }

  async #replicate(committed: CommittedManifest): Promise<SubmissionOutcome> {
    const { version, created } = committed;
    if (created) {
      this.#machine.send({
        type: "obtained",
        configuration: created.configuration,
        changes: [created.change],
      });
    } else {
      await this.poll();
      await this.#waitForVersion(version, CATCH_UP_TIMEOUT_MS);
    }
    const pending = { kind: "pending", retryAfterMs: RETRY_AFTER_MS } as const;
    if (this.version() < version) return { ...pending, version, holders: 0 };
    const { identity, ports } = this.#context;
    const { enough, holders, dataCentres } = await replicateToHolders({
      version,
      self: { ...identity, state: "live" },
      members: this.#options.members,
      awaitMembers: this.#options.awaitMembers,
      peers: ports.peers,
    });
    return enough
      ? { kind: "accepted", version, holders, holderDataCentres: dataCentres }
      : { ...pending, version, holders };
  }

  async #catchUp(row: HeadRow): Promise<Configuration | null> {
    const { version } = row.head;
    if (this.version() < version) {
      this.#notePlatformVersion(version);
      await this.#waitForVersion(version, CATCH_UP_TIMEOUT_MS);
    }
    return this.#current;
  }

  async #pollOnce(): Promise<void> {
    const row = await readHead(this.#context.ports.platform);
    if (row.isOk()) {
      const { version } = row.value.head;
      this.#notePlatformVersion(version);
      if (version > this.version()) {
        await this.#waitForVersion(version, CATCH_UP_TIMEOUT_MS);
      }
      // The table may answer while the object store doesn't.
      if (version > this.version()) await this.#pollPeers({ atLeast: version });
      return;
    }
    this.#context.observer.count("store_failures", "configuration-head");
    if (this.#current) return await this.#pollPeers({ atLeast: 0 });
    await this.#startFromPeers();
  }

  async #pollPeers(options: { atLeast: number }): Promise<void> {
    const { peers } = this.#context.ports;
    const { versions } = await queryVersions(this.#sample(POLLED_PEERS), peers);
    for (const { peer, version } of versions) {
      if (version >= options.atLeast) this.#notePeerVersion(version, peer);
    }
  }

  // Several VMs hold an accepted version, so one of many queried peers has a recent one.
  async #startFromPeers(): Promise<void> {
    const { identity, ports, random, observer } = this.#context;
    const { highest, answers } = await findMaxVersion(this.#options.members(), {
      self: identity.id,
      random,
      peers: ports.peers,
    });
    if (!highest || this.#current) return;
    observer.log({
      event: "configuration-from-peers",
      level: "warn",
      version: highest.version,
      peers: answers,
    });
    this.#notePeerVersion(highest.version, highest.peer);
  }

  #notePeerVersion(version: number, from: VersionHolder): void {
    const { id, peerAddress } = from;
    this.#machine.send({
      type: "noticed",
      version,
      source: { kind: "peer", id, peerAddress },
    });
  }

  #notePlatformVersion(version: number): void {
    this.#machine.send({
      type: "noticed",
      version,
      source: { kind: "platform" },
    });
  }

  #perform(effect: Effect): void {
    const { type, params } = effect as ConfigurationEffect;
    switch (type) {
      case "fetch":
        void this.#fetch(params.source);
        break;
      case "activate":
        this.#activate(params);
        break;
    }
  }

  async #fetch(source: ConfigurationSource): Promise<void> {
    const { platform, peers } = this.#context.ports;
    const fetched = await fetchNewer(source, {
      platform,
      peers,
      held: this.#current,
      snapshotsOnly: this.#policies.snapshotsOnly,
    });
    this.#machine.send(
      fetched.isOk()
        ? { type: "obtained", ...fetched.value, source }
        : { type: "failed", source },
    );
  }

  #activate(params: {
    configuration: Configuration;
    changes: readonly ConfigurationChange[];
  }): void {
    const { configuration, changes } = params;
    const { observer } = this.#context;
    this.#current = configuration;
    if (changes.length === 0) this.#changeLog.clear();
    for (const change of changes) this.#changeLog.add(change);
    observer.count("configuration_changes", "in-force");
    observer.log({
      event: "configuration-in-force",
      version: configuration.head.version,
    });
    for (const listener of [...this.#listeners]) listener();
    this.#notifyPeers();
  }

  /** Notifies a few peers immediately, as probes alone would spread a version more slowly. */
  #notifyPeers(): void {
    const { id, peerAddress } = this.#context.identity;
    for (const peer of this.#sample(NOTIFIED_PEERS)) {
      void this.#context.ports.peers.call(peer, "configuration/notice", {
        params: { version: this.version(), holder: { id, peerAddress } },
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
    }
  }

  #sample(count: number): Member[] {
    const { identity, random } = this.#context;
    const members = this.#options.members();
    return samplePeers(members, { self: identity.id, random, count });
  }

  #waitForVersion(version: number, limitMs: number): Promise<void> {
    if (this.version() >= version) return Promise.resolve();
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        removeListener();
        resolve();
      };
      const check = () => {
        if (this.version() >= version) end();
      };
      const timer = setTimeout(end, limitMs);
      const removeListener = this.onChange(check);
    });
  }
}
