/** Test harness of an experiment: VMs and fake engines on a simulated clock. */
import {
  asId,
  type Configuration,
  type DataCentre,
  DeploymentSchema,
  type Endpoint,
  type EndpointId,
  type EndpointRef,
  EndpointSchema,
  type EnginePort,
  type GrantPolicy,
  GrantsHome,
  type Incarnation,
  type Member,
  type MembershipView,
  type PeerHandlers,
  planShards,
  planSingleShard,
  type Prompt,
  rankByRendezvous,
  type Region,
  shardHomeKey,
  type ShardPlan,
  SILENT_OBSERVER,
  type VmContext,
  type VmId,
  type VmPorts,
  WorkspaceSchema,
} from "@teaselvalve/core";
import {
  type AnyFakeEngine,
  createFakeEnginePort,
  createFakePeerPort,
  FakeDecodeEngine,
  FakeNetwork,
  FakePrefillEngine,
  seededRandom,
} from "@teaselvalve/fakes";
import { HostTimers } from "../world/host_timers.ts";
import type { ExperimentDeployment } from "./deployments.ts";
import { Owner } from "./owner.ts";

/** The only model that the engines of an experiment serve. */
export const MODEL = "summaries";
const REGION = asId<Region>("region");
const NETWORK_LATENCY_MS = 0.5;
/** Time until the other VMs detect the loss of a VM. */
const DETECTION_MS = 1_500;
/** Time until the runs of a lost VM are cancelled at the engines. */
const ORPHAN_CANCEL_MS = 2_500;

/** Options of {@link ExperimentHarness}. */
export interface HarnessOptions {
  deployment: ExperimentDeployment;
  createPolicy: () => GrantPolicy;
  seed: number;
  answerLength: (prompt: Prompt) => number;
  /** Weights of the workspaces whose weight differs from 1. */
  workspaceWeights?: Readonly<Record<string, number>>;
}

/** A VM of the harness: the grants of the shards whose home it is, and the requests that it owns. */
export interface HarnessVm {
  readonly name: string;
  readonly home: GrantsHome;
  readonly owner: Owner;
}

/**
 * Runs the VMs, engines, network and clock of one experiment.
 *
 * The home of a shard is the VM that rendezvous hashing picks for its key.
 */
export class ExperimentHarness {
  readonly timers = new HostTimers();
  readonly network: FakeNetwork;
  readonly prefills: FakePrefillEngine[] = [];
  readonly decodes: FakeDecodeEngine[] = [];
  readonly vms: HarnessVm[] = [];
  /** Whether the home of each shard decides on grants, or each VM on its own. */
  readonly usesSharedHomes: boolean;
  #options: HarnessOptions;
  #engines = new Map<string, AnyFakeEngine>();
  #handlers = new Map<string, PeerHandlers>();
  #configuration: Configuration;
  #members: readonly Member[] = [];
  #homes = new Map<string, Member>();

  constructor(options: HarnessOptions) {
    this.#options = options;
    this.usesSharedHomes = options.createPolicy().queuesRequests;
    this.network = new FakeNetwork({
      latencyMs: (from, to) => from === to ? 0 : NETWORK_LATENCY_MS,
      runOn: (host, action) => this.timers.runOn(host, action),
      runDetached: (action) => this.timers.runDetached(action),
    });
    this.timers.setNetwork(this.network);
    const { deployment } = options;
    for (let i = 1; i <= deployment.prefills; i += 1) this.#addPrefill(i);
    for (let i = 1; i <= deployment.decodes; i += 1) this.#addDecode(i);
    this.#configuration = this.#createConfiguration();
    for (let i = 1; i <= deployment.vms; i += 1) this.#addVm(i);
  }

  /** The endpoints of the active manifest. */
  get endpoints(): readonly Endpoint[] {
    return this.#configuration.bodies.endpoints;
  }

  /** VMs that have not been killed. */
  get runningVms(): readonly HarnessVm[] {
    return this.vms.filter((vm) => this.network.isUp(vm.name));
  }

  /** Restarts a crashed engine with empty state. */
  restartEngine(engine: EndpointId): void {
    this.network.setUp(engine, true);
    this.#engines.get(engine)?.restart();
  }

  /** Kills the home VM of the first shard. */
  killHomeVm(): void {
    const [shard] = planShards(this.endpoints, { model: asId(MODEL) });
    const home = this.#homeOf(shardHomeKey(shard!));
    const vm = this.vms.find((vm) => vm.name === home.id);
    if (!vm) return;
    this.network.setUp(vm.name, false);
    vm.owner.kill();
    this.timers.runDetached(() => {
      setTimeout(() => this.#removeMember(vm), DETECTION_MS);
      setTimeout(() => this.#cancelOrphans(vm), ORPHAN_CANCEL_MS);
    });
  }

  /** Restores the real clock. */
  close(): void {
    this.timers.uninstall();
  }

  #removeMember(lostVm: HarnessVm): void {
    this.#members = this.#members.filter((member) => member.id !== lostVm.name);
    this.#homes.clear();
    for (const vm of this.runningVms) {
      this.timers.runOn(vm.name, () => vm.owner.registerGrants());
    }
  }

  #cancelOrphans(lostVm: HarnessVm): void {
    for (const engine of [...this.prefills, ...this.decodes]) {
      for (const run of engine.heldRuns()) {
        if (run.owner.vm === lostVm.name) engine.cancel(run.stream);
      }
    }
  }

  #homeOf(key: string): Member {
    let home = this.#homes.get(key);
    if (!home) {
      const [name] = rankByRendezvous(
        key,
        this.#members.map((member) => member.id),
      );
      home = this.#members.find((member) => member.id === name)!;
      this.#homes.set(key, home);
    }
    return home;
  }

  #addPrefill(index: number): void {
    const id = asId<EndpointId>(`prefill-${index}`);
    const engine = new FakePrefillEngine(this.#engineOptions(id));
    this.prefills.push(engine);
    this.#engines.set(id, engine);
    engine.open();
  }

  #addDecode(index: number): void {
    const id = asId<EndpointId>(`decode-${index}`);
    const engine = new FakeDecodeEngine({
      ...this.#engineOptions(id),
      answerLength: this.#options.answerLength,
    });
    this.decodes.push(engine);
    this.#engines.set(id, engine);
    engine.open();
  }

  #engineOptions(id: EndpointId) {
    return {
      id,
      models: [MODEL],
      profile: this.#options.deployment.profile,
      random: seededRandom(this.#options.seed + this.#engines.size),
      onCrash: () => this.network.setUp(id, false),
    };
  }

  #createConfiguration(): Configuration {
    const { profile, dataCentres, prefillWasteWeight } =
      this.#options.deployment;
    const endpoint = (engine: AnyFakeEngine, index: number): Endpoint =>
      EndpointSchema.parse({
        id: engine.id,
        kind: engine.role,
        address: engine.id,
        dataCentre: dataCentres[index % dataCentres.length],
        model: MODEL,
        slots: profile.decodeSlots,
        memoryPieces: profile.kvBlocks,
      });
    return {
      head: { version: 1, scopes: {} },
      bodies: {
        deployment: DeploymentSchema.parse({
          name: this.#options.deployment.name,
          prefillWasteWeight,
        }),
        workspaces: Object.entries(this.#options.workspaceWeights ?? {}).map((
          [id, weight],
        ) => WorkspaceSchema.parse({ id, weight })),
        endpoints: [
          ...this.prefills.map(endpoint),
          ...this.decodes.map(endpoint),
        ],
        roles: [],
      },
    };
  }

  #addVm(index: number): void {
    const name = `vm-${index}`;
    const { dataCentres } = this.#options.deployment;
    const identity = {
      id: asId<VmId>(name),
      incarnation: asId<Incarnation>(`${name}-boot`),
      dataCentre: asId<DataCentre>(dataCentres[index % dataCentres.length]!),
      region: REGION,
      callerAddress: name,
      peerAddress: name,
    };
    this.#members = [...this.#members, { ...identity, state: "live" }];
    const context: VmContext = {
      identity,
      ports: {
        engines: this.#enginePort(name),
        peers: createFakePeerPort({
          network: this.network,
          from: name,
          handlers: this.#handlers,
        }),
      } as VmPorts,
      observer: SILENT_OBSERVER,
      random: seededRandom(this.#options.seed * 1_009 + index),
    };
    const membership: MembershipView = {
      self: identity,
      members: () => this.#members,
      member: (id) => this.#members.find((member) => member.id === id),
      homeOf: (key) => this.#homeOf(key),
    };
    const home = new GrantsHome(context, {
      configuration: { current: () => this.#configuration },
      membership,
      policy: this.#options.createPolicy(),
      planShards: this.usesSharedHomes ? planShards : planSingleShard,
    });
    this.#handlers.set(name, { ...home.handlers } as unknown as PeerHandlers);
    const owner = new Owner({
      context,
      homeOf: (shard: ShardPlan) =>
        this.usesSharedHomes
          ? this.#homeOf(shardHomeKey(shard))
          : this.#members.find((member) => member.id === name) ??
            this.#members[0]!,
      endpoints: this.endpoints,
      planShards: this.usesSharedHomes ? undefined : planSingleShard,
    });
    this.vms.push({ name, home, owner });
  }

  /** Engine port of the fake network, except that tokens arrive without a timer each. */
  #enginePort(from: string): EnginePort {
    const { network } = this;
    const port = createFakeEnginePort({
      network,
      from,
      engines: this.#engines,
    });
    return {
      ...port,
      start: (endpoint: EndpointRef, order, { sink }) => {
        const engine = this.#engines.get(endpoint.address);
        const source = this.#engines.get(order.from.address);
        const timers = this.timers;
        timers.runDetached(() =>
          setTimeout(() => {
            if (!(engine instanceof FakeDecodeEngine)) return;
            engine.startRun(order, {
              sink: (event) => {
                if (!network.isUp(from)) return;
                // Tokens are only counted and set no timers, so they need not run on their host.
                if (event.kind === "tokens") sink(event);
                else timers.runOn(from, () => sink(event));
              },
              fetchExport: (stream) =>
                (source as FakePrefillEngine).transfer(stream),
            });
          }, NETWORK_LATENCY_MS)
        );
        return { detach() {}, pause() {}, resume() {} };
      },
    };
  }
}
