/** Homes, owners and fake engines on the paused clock. */
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

/** The model of an experiment. */
export const MODEL = "summaries";
const REGION = asId<Region>("region");
const LATENCY_MS = 0.5;
/** Time until the other VMs see that one is gone. */
const DETECTION_MS = 1_500;
/** Time until the runs of a VM that is gone are cancelled at the engines. */
const ORPHAN_MS = 2_500;

/** Options of {@link ExperimentHarness}. */
export interface HarnessOptions {
  deployment: ExperimentDeployment;
  createPolicy: () => GrantPolicy;
  seed: number;
  answerLength: (prompt: Prompt) => number;
  /** Weights of workspaces that differ from 1. */
  workspaceWeights?: Readonly<Record<string, number>>;
}

/** One entry VM of a rig: its homes and the requests that it owns. */
export interface HarnessVm {
  readonly name: string;
  readonly home: GrantsHome;
  readonly owner: Owner;
}

/** All that runs in one experiment. */
export class ExperimentHarness {
  readonly timers = new HostTimers();
  readonly network: FakeNetwork;
  readonly prefills: FakePrefillEngine[] = [];
  readonly decodes: FakeDecodeEngine[] = [];
  readonly vms: HarnessVm[] = [];
  /** Whether a shard's one home decides, or each VM for itself. */
  readonly usesSharedHomes: boolean;
  #options: HarnessOptions;
  #engines = new Map<string, AnyFakeEngine>();
  #handlers = new Map<string, PeerHandlers>();
  #configuration: Configuration;
  #seen: readonly Member[] = [];
  #homes = new Map<string, Member>();

  constructor(options: HarnessOptions) {
    this.#options = options;
    this.usesSharedHomes = options.createPolicy().queuesRequests;
    this.network = new FakeNetwork({
      latencyMs: (from, to) => from === to ? 0 : LATENCY_MS,
      runOn: (host, action) => this.timers.runOn(host, action),
      runDetached: (action) => this.timers.runDetached(action),
    });
    this.timers.attach(this.network);
    const { deployment } = options;
    for (let at = 1; at <= deployment.prefills; at += 1) this.#addPrefill(at);
    for (let at = 1; at <= deployment.decodes; at += 1) this.#addDecode(at);
    this.#configuration = this.#createConfiguration();
    for (let at = 1; at <= deployment.vms; at += 1) this.#addVm(at);
  }

  /** The endpoints of the manifest. */
  get endpoints(): readonly Endpoint[] {
    return this.#configuration.bodies.endpoints;
  }

  /** VMs that are up. */
  get runningVms(): readonly HarnessVm[] {
    return this.vms.filter((vm) => this.network.isUp(vm.name));
  }

  /** Brings a crashed engine back, empty. */
  restartEngine(engine: EndpointId): void {
    this.network.setUp(engine, true);
    this.#engines.get(engine)?.restart();
  }

  /** Kills the VM that is home for the first shard. */
  killHomeVm(): void {
    const [shard] = planShards(this.endpoints, { model: asId(MODEL) });
    const home = this.#homeOf(shardHomeKey(shard!));
    const vm = this.vms.find((one) => one.name === home.id);
    if (!vm) return;
    this.network.setUp(vm.name, false);
    vm.owner.kill();
    this.timers.runDetached(() => {
      setTimeout(() => this.#notice(vm), DETECTION_MS);
      setTimeout(() => this.#cancelOrphans(vm), ORPHAN_MS);
    });
  }

  /** Gives the runtime its clock back. */
  close(): void {
    this.timers.uninstall();
  }

  #notice(gone: HarnessVm): void {
    this.#seen = this.#seen.filter((member) => member.id !== gone.name);
    this.#homes.clear();
    for (const vm of this.runningVms) {
      this.timers.runOn(vm.name, () => vm.owner.registerGrants());
    }
  }

  #cancelOrphans(gone: HarnessVm): void {
    for (const engine of [...this.prefills, ...this.decodes]) {
      for (const run of engine.heldRuns()) {
        if (run.owner.vm === gone.name) engine.cancel(run.stream);
      }
    }
  }

  #homeOf(key: string): Member {
    let home = this.#homes.get(key);
    if (!home) {
      const [name] = rankByRendezvous(key, this.#seen.map((one) => one.id));
      home = this.#seen.find((one) => one.id === name)!;
      this.#homes.set(key, home);
    }
    return home;
  }

  #addPrefill(at: number): void {
    const id = asId<EndpointId>(`prefill-${at}`);
    const engine = new FakePrefillEngine(this.#engineOptions(id));
    this.prefills.push(engine);
    this.#engines.set(id, engine);
    engine.open();
  }

  #addDecode(at: number): void {
    const id = asId<EndpointId>(`decode-${at}`);
    const engine = new FakeDecodeEngine({
      ...this.#engineOptions(id),
      lengthOf: this.#options.answerLength,
    });
    this.decodes.push(engine);
    this.#engines.set(id, engine);
    engine.open();
  }

  #engineOptions(id: EndpointId) {
    return {
      id,
      models: [MODEL],
      figures: this.#options.deployment.profile,
      random: seededRandom(this.#options.seed + this.#engines.size),
      onCrash: () => this.network.setUp(id, false),
    };
  }

  #createConfiguration(): Configuration {
    const { profile: figures, dataCentres, prefillWasteWeight } =
      this.#options.deployment;
    const endpoint = (engine: AnyFakeEngine, at: number): Endpoint =>
      EndpointSchema.parse({
        id: engine.id,
        kind: engine.role,
        address: engine.id,
        dataCentre: dataCentres[at % dataCentres.length],
        model: MODEL,
        slots: figures.decodeSlots,
        memoryPieces: figures.memoryPieces,
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

  #addVm(at: number): void {
    const name = `vm-${at}`;
    const { dataCentres } = this.#options.deployment;
    const identity = {
      id: asId<VmId>(name),
      incarnation: asId<Incarnation>(`${name}-boot`),
      dataCentre: asId<DataCentre>(dataCentres[at % dataCentres.length]!),
      region: REGION,
      callerAddress: name,
      peerAddress: name,
    };
    this.#seen = [...this.#seen, { ...identity, state: "live" }];
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
      random: seededRandom(this.#options.seed * 1_009 + at),
    };
    const membership: MembershipView = {
      self: identity,
      members: () => this.#seen,
      member: (id) => this.#seen.find((one) => one.id === id),
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
          : this.#seen.find((one) => one.id === name) ?? this.#seen[0]!,
      endpoints: this.endpoints,
      planShards: this.usesSharedHomes ? undefined : planSingleShard,
    });
    this.vms.push({ name, home, owner });
  }

  /** The network's port, but with tokens that come without a timer each. */
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
        const host = this.timers;
        host.runDetached(() =>
          setTimeout(() => {
            if (!(engine instanceof FakeDecodeEngine)) return;
            engine.startRun(order, {
              sink: (event) => {
                if (!network.isUp(from)) return;
                // Tokens only count; they set no timers that would need their host.
                if (event.kind === "tokens") sink(event);
                else host.runOn(from, () => sink(event));
              },
              source: (stream) =>
                (source as FakePrefillEngine).transfer(stream),
            });
          }, LATENCY_MS)
        );
        return { detach() {}, pause() {}, resume() {} };
      },
    };
  }
}
