/** Holds the configuration in force: polls the head, accepts manifests, exchanges changes with peers. */
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
  findHighestVersion,
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
const HOLD_WAIT_MS = 1_200;
const CATCH_UP_MS = 3_000;
const NOTICE_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
/** Peers that are told at once of a version put in force. */
const NOTICED_PEERS = 4;
/** Peers asked in place of a head that can't be read. */
const ASKED_PEERS = 2;

/** Reads the configuration in force. */
export interface ConfigurationView {
  current(): Configuration | null;
}

/** Parts that a test can leave out or replace. */
export interface ConfigurationPolicies extends SubmitPolicies {
  isNewer: IsNewer;
  /** Fetches whole snapshots only, to measure against. */
  snapshotsOnly: boolean;
}

/** What the submitter of a manifest may change; everything where it says nothing. */
export type Submitter = Pick<SubmitOptions, "allowedWorkspaces">;

/** Options of {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  members: () => readonly Member[];
  /** Waits until the members are those that the platform lists; false where that takes too long. */
  awaitMembers: (limitMs: number) => Promise<boolean>;
  policies?: Partial<ConfigurationPolicies>;
}

const DEFAULT_POLICIES: ConfigurationPolicies = {
  keepsSubmissionRow: true,
  checksBaseVersions: true,
  isNewer: (offered, inForce) => offered > inForce,
  snapshotsOnly: false,
};

/** Owns the configuration in force on this VM. */
export class ConfigurationTask implements ConfigurationView, VmTask {
  #context: VmContext;
  #options: ConfigurationTaskOptions;
  #policies: ConfigurationPolicies;
  #holding: MachineTask<typeof configurationMachine>;
  #current: Configuration | null = null;
  #log = new ChangeLog();
  #listeners = new Set<() => void>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #polling: Promise<void> | null = null;

  constructor(context: VmContext, options: ConfigurationTaskOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_POLICIES, ...options.policies };
    this.#holding = new MachineTask(configurationMachine, {
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

  /** The version in force; 0 when there is none. */
  version(): number {
    return this.#current?.head.version ?? 0;
  }

  /** Calls a listener after each version put in force, until the returned function is called. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Finds the token with a digest in the configuration in force. */
  findToken(hash: Digest): TokenEntry | undefined {
    return this.#current ? findToken(this.#current, hash) : undefined;
  }

  /** Reads the head and puts a newer configuration in force; asks peers when it can't be read. */
  async poll(): Promise<number> {
    this.#polling ??= this.#pollOnce().finally(() => (this.#polling = null));
    await this.#polling;
    return this.version();
  }

  /** Told by membership that a peer holds another version. */
  handleNotice(version: number, from: VersionHolder): void {
    // A VM without a configuration hears several peers before it takes one of theirs.
    if (this.#current) this.#noticePeer(version, from);
  }

  /** Holds a version just committed by a peer before it answers, where the peer can give it in time. */
  async holdVersion(version: number, from: VersionHolder): Promise<number> {
    this.#noticePeer(version, from);
    await this.#waitForVersion(version, HOLD_WAIT_MS);
    return this.version();
  }

  /** Answers what follows a version. */
  answerFetch(after: number): FetchAnswer {
    const current = this.#current;
    if (!current || !this.#policies.isNewer(current.head.version, after)) {
      return { kind: "current", version: this.version() };
    }
    const batch = after > 0 ? this.#log.listAfter(after) : null;
    return batch && batch.changes.length > 0
      ? { kind: "changes", ...batch }
      : { kind: "snapshot", configuration: current };
  }

  /** Checks, commits and spreads a manifest. */
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
    return await this.#spread(outcome);
  }

  /** Tells what a manifest would do, without submitting it. */
  check(
    submission: unknown,
    submitter: Submitter = {},
  ): Promise<ManifestCheck> {
    return checkManifest(submission, this.#submitOptions(submitter));
  }

  /** Asks every VM in view for the version that it has in force. */
  activeVersions(): Promise<ActiveVersion[]> {
    return listActiveVersions(this.#options.members(), {
      self: this.#context.identity.id,
      version: this.version(),
      peers: this.#context.ports.peers,
    });
  }

  /** Lists accepted versions, newest first. */
  history(
    options: { limit: number },
  ): Promise<Result<HistoryEntry[], StoreFailure>> {
    return listHistory(this.#context.ports.platform, options);
  }

  /** Reads the configuration of one version; null where there never was one. */
  show(version: number): Promise<Result<Configuration | null, StoreFailure>> {
    const { platform } = this.#context.ports;
    return showVersion(platform, { version, held: this.#current });
  }

  /** Describes the difference between two versions. */
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

  async #spread(committed: CommittedManifest): Promise<SubmissionOutcome> {
    const { version, created: made } = committed;
    if (made) {
      this.#holding.send({
        type: "obtained",
        configuration: made.configuration,
        changes: [made.change],
      });
    } else {
      await this.poll();
      await this.#waitForVersion(version, CATCH_UP_MS);
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
      this.#noticePlatform(version);
      await this.#waitForVersion(version, CATCH_UP_MS);
    }
    return this.#current;
  }

  async #pollOnce(): Promise<void> {
    const row = await readHead(this.#context.ports.platform);
    if (row.isOk()) {
      const { version } = row.value.head;
      this.#noticePlatform(version);
      if (version > this.version()) {
        await this.#waitForVersion(version, CATCH_UP_MS);
      }
      // The table may answer while the object store doesn't.
      if (version > this.version()) await this.#askPeers({ atLeast: version });
      return;
    }
    this.#context.observer.count("store_failures", "configuration-head");
    if (this.#current) return await this.#askPeers({ atLeast: 0 });
    await this.#takeHighestOfPeers();
  }

  async #askPeers(options: { atLeast: number }): Promise<void> {
    const { peers } = this.#context.ports;
    const { versions: heard } = await queryVersions(
      this.#drawPeers(ASKED_PEERS),
      peers,
    );
    for (const { peer, version } of heard) {
      if (version >= options.atLeast) this.#noticePeer(version, peer);
    }
  }

  // A version that was accepted is held by several VMs, and one of many asked knows a recent one.
  async #takeHighestOfPeers(): Promise<void> {
    const { identity, ports, random, observer } = this.#context;
    const { highest, answerCount: heard } = await findHighestVersion(
      this.#options.members(),
      {
        self: identity.id,
        random,
        peers: ports.peers,
      },
    );
    if (!highest || this.#current) return;
    observer.log({
      event: "configuration-from-peers",
      level: "warn",
      version: highest.version,
      peers: heard,
    });
    this.#noticePeer(highest.version, highest.peer);
  }

  #noticePeer(version: number, from: VersionHolder): void {
    const { id, peerAddress } = from;
    this.#holding.send({
      type: "noticed",
      version,
      source: { kind: "peer", id, peerAddress },
    });
  }

  #noticePlatform(version: number): void {
    this.#holding.send({
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
      case "putInForce":
        this.#putInForce(params);
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
    this.#holding.send(
      fetched.isOk()
        ? { type: "obtained", ...fetched.value, source }
        : { type: "failed", source },
    );
  }

  #putInForce(params: {
    configuration: Configuration;
    changes: readonly ConfigurationChange[];
  }): void {
    const { configuration, changes } = params;
    const { observer } = this.#context;
    this.#current = configuration;
    if (changes.length === 0) this.#log.clear();
    for (const change of changes) this.#log.add(change);
    observer.count("configuration_changes", "in-force");
    observer.log({
      event: "configuration-in-force",
      version: configuration.head.version,
    });
    for (const listener of [...this.#listeners]) listener();
    this.#tellPeers();
  }

  /** Tells a few peers at once, so that a version spreads faster than by probes alone. */
  #tellPeers(): void {
    const { id, peerAddress } = this.#context.identity;
    for (const peer of this.#drawPeers(NOTICED_PEERS)) {
      void this.#context.ports.peers.call(peer, "configuration/notice", {
        params: { version: this.version(), holder: { id, peerAddress } },
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
    }
  }

  #drawPeers(count: number): Member[] {
    const { identity, random } = this.#context;
    const members = this.#options.members();
    return samplePeers(members, { self: identity.id, random, count });
  }

  #waitForVersion(version: number, limitMs: number): Promise<void> {
    if (this.version() >= version) return Promise.resolve();
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        unlisten();
        resolve();
      };
      const check = () => {
        if (this.version() >= version) end();
      };
      const timer = setTimeout(end, limitMs);
      const unlisten = this.onChange(check);
    });
  }
}
