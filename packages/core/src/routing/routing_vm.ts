/**
 * One VM that routes requests by host and path. The home of a key (a placement
 * shard, or the stages of a service) is the VM that rendezvous hashing picks.
 */
import type { EndpointId, VmId } from "../common/ids.ts";
import { BusyVms } from "../directory/busy_vms.ts";
import { shuffle } from "../common/shuffle.ts";
import type { Refusal } from "../common/verdict.ts";
import { wait } from "../common/wait.ts";
import { StallWatch } from "../common/stall_watch.ts";
import { findOthers } from "../membership/queries/find_others.ts";
import { CreditTask } from "../quotas/credit/task.ts";
import { MembershipTask } from "../membership/task.ts";
import type { Member, MembershipContext } from "../membership/types.ts";
import { createMembershipApp, type Probe } from "../membership/app.ts";
import { createRoutingApp } from "./app.ts";
import { CallQueues } from "./call_queue.ts";
import { NO_TIMES } from "./context.ts";
import { EndpointGuard } from "./endpoint_guard.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import { PlacementClient } from "./placement/client.ts";
import { createPlacementHandlers } from "./placement/handlers.ts";
import { Forwarder } from "./links/forwarder.ts";
import type { Hop } from "./links/types.ts";
import { OriginRecord } from "./origin_record.ts";
import { PlacementHome } from "./placement/home.ts";
import { OutputEstimates } from "./output_estimates.ts";
import { PrefillDelays } from "./prefill_delays.ts";
import { PrefillTimes } from "./prefill_times.ts";
import {
  describeEndpoint,
  describeVms,
  type LocalRoutingView,
} from "./queries/local_view.ts";
import { longestRunMs } from "./queries/longest_run.ts";
import { Router } from "./router.ts";
import { ServiceBudget } from "./service_budget.ts";
import {
  ANSWER_MARGIN_MS,
  DEFAULT_BOUNDS,
  DEFAULT_CONFIG_MS,
  planEndpointReads,
  planTableReads,
} from "./store_reads.ts";
import { SharedOrigins } from "./stream_origins.ts";
import {
  PEER_FETCH_LIMIT_MS,
  PEER_FETCH_TIMEOUT_MS,
  TableExchange,
} from "./table_exchange.ts";
import { StopGate, type StopOptions } from "./stop_gate.ts";
import { TableFeed } from "./table_feed.ts";
import type { RoutingVmOptions } from "./routing_vm_options.ts";
import { OrderWatch } from "./stages/order_watch.ts";
import { ServiceStages } from "./stages/service_stages.ts";
import {
  type EndpointChange,
  type EndpointEntry,
  fitsService,
  type RoutingTable,
} from "./types.ts";
import { Authenticator } from "./workspaces/authenticator.ts";
import { TableAge } from "./workspaces/table_age.ts";

/** Delay that batches endpoint changes; far below the time allowed to stop using a draining endpoint. */
const ENDPOINTS_BATCH_MS = 400;
/** How often a VM without an endpoint list requests one from another VM. */
const PEER_POLL_INTERVAL_MS = 500;
/** How often requests that arrived before the tables check for them. */
const READY_CHECK_MS = 15;
/** Maximum VMs notified of a stage order. */
const ORDER_NOTICE_VMS = 100;
/**
 * Time over which VMs spread what they write again after the store has come back from a
 * copy, so that all of them together stay within its rate.
 */
const REWRITE_SPREAD_MS = 1_500;
/**
 * Calls in turns are worse for callers where replicas pause: with pauses of 600 ms, the
 * model's p99 rose from 75 to 92 ms at 71 VMs.
 */
const DEFAULT_BALANCE = { engines: true, calls: false };
/** VMs rarely change and notify each other; the platform's list only serves VMs without any contact. */
const LIST_INTERVAL_MS = 10_000;

/** Creates, starts and stops the components of one routing VM. */
export class RoutingVm {
  readonly membership: MembershipTask;
  readonly endpoints: EndpointRegistry;
  readonly router: Router;
  readonly authenticator: Authenticator;
  readonly peerHandlers;
  #options: RoutingVmOptions;
  #feeds: readonly Pick<
    TableFeed<unknown>,
    "start" | "stop" | "hurry" | "ageMs" | "asOfMs" | "isFailing"
  >[];
  #guard: EndpointGuard;
  #credit: CreditTask;
  #placement: PlacementClient;
  #endpointsKnown = false;
  #peerPollTimer: ReturnType<typeof setInterval> | undefined;
  #prefillTimes = new PrefillTimes();
  #outputs = new OutputEstimates();
  #tables: TableExchange;
  #tableAge: TableAge;
  #stages: ServiceStages;
  #originRecord: OriginRecord;
  #rewriteTimer: ReturnType<typeof setTimeout> | undefined;
  #stopListening: () => void;
  #stallWatch: StallWatch;
  #stopGate = new StopGate();
  #busyVms = new BusyVms();
  #stopTimer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: RoutingVmOptions) {
    this.#options = options;
    const { identity, ports, observer, random } = options;
    const { balance = () => DEFAULT_BALANCE } = options;
    const context: MembershipContext = {
      identity,
      ports: { platform: ports.store, peers: ports.peers },
      observer,
      random,
    };
    this.membership = new MembershipTask(context, {
      configurationVersion: () => this.#tables.version,
      evidenceHash: () => this.#guard.evidenceHash,
      isBusy: () => this.#isBusy,
      checksHops: true,
      onProbe: (probe) => this.#compareWith(probe),
      contacts: options.contacts,
      listIntervalMs: LIST_INTERVAL_MS,
    });
    this.#tables = new TableExchange({
      membership: this.membership,
      peers: ports.peers,
      table: () => this.router.table,
      probe: (vm) => this.membership.probeIndirect(vm),
      setTable: (table, setOptions) => this.#setTable(table, setOptions),
      isStoreFailing: () => this.#feeds[0]!.isFailing,
    });
    this.#tableAge = this.#createTableAge();
    this.authenticator = new Authenticator({ age: this.#tableAge, observer });
    this.#credit = new CreditTask({
      membership: this.membership,
      peers: ports.peers,
      observer,
    });
    this.#guard = new EndpointGuard({
      membership: this.membership,
      peers: ports.peers,
      calls: ports.calls,
      crashTable: ports.crashes,
      endpoints: () => this.endpoints,
      healthPathOf: (service) =>
        this.router.service(service)?.healthPath ?? null,
      observer,
      random,
    });
    this.endpoints = new EndpointRegistry(
      observer,
      (entry) => this.#guard.noteEndpointEnd(entry),
      {
        bounds: options.bounds ?? DEFAULT_BOUNDS,
        isUsable: (entry) =>
          fitsService(entry, this.router.service(entry.service)),
      },
    );
    const placementHome = new PlacementHome();
    this.#originRecord = new OriginRecord({
      vm: identity.id,
      table: ports.origins,
      endpoints: () => this.endpoints.entries(),
      readEndpoints: async (readOptions) => {
        const read = await ports.endpoints.readAll(readOptions);
        return read.map(({ items }) =>
          items.flatMap(({ entry }) => entry ? [entry] : [])
        );
      },
      vmCount: () => this.#liveCount(),
      observer,
    });
    const origins = new SharedOrigins({
      membership: this.membership,
      peers: ports.peers,
      record: this.#originRecord,
    });
    this.#placement = new PlacementClient({
      endpoints: this.endpoints,
      membership: this.membership,
      peers: ports.peers,
      prefillTimes: this.#prefillTimes,
      outputs: this.#outputs,
      observer,
      random,
      isBalancing: () => balance().engines,
    });
    const orderWatch = new OrderWatch({
      port: this.#guard.calls,
      onBusy: (endpoint, forMs) => this.#announceOrder(endpoint, forMs),
      observer,
    });
    this.router = new Router({
      dataCentre: identity.dataCentre,
      endpoints: this.endpoints,
      budget: new ServiceBudget({
        limits: options.budget,
        vmCount: () => this.#liveCount(),
      }),
      callQueues: new CallQueues(),
      placement: this.#placement,
      prefillTimes: this.#prefillTimes,
      prefillDelays: new PrefillDelays(),
      outputs: this.#outputs,
      crashes: this.#guard.crashes,
      origins,
      credit: this.#credit,
      forwarding: new Forwarder({
        membership: this.membership,
        links: this.#guard.links,
        port: ports.forward((endpoint, notice) =>
          this.#guard.noteForwarded(endpoint, notice)
        ),
        tables: this.#tables,
        observer,
        random,
      }),
      stop: this.#stopGate,
      port: this.#guard.calls,
      isBalancing: () => balance().calls,
      observer,
      random,
      times: options.times ?? NO_TIMES,
      noteRefusal: (endpoint) => void orderWatch.noteRefusal(endpoint),
      noteArrival: (service, cost) =>
        this.#stages.demandOf(service).noteArrival(cost),
      noteStreamCost: (service, cost) =>
        this.#stages.demandOf(service).noteCompletion(cost),
    });
    this.#stages = new ServiceStages({
      context: { identity, ports: { platform: ports.store } },
      poolOf: (service) => this.router.service(service)?.engines ?? null,
      prefillTokensPerMs: (service) => this.#prefillTimes.tokensPerMs(service),
      decodeTokensPerMs: (service) =>
        this.#outputs.measuredTokensPerMs(service),
      endpoints: this.endpoints,
      port: this.#guard.calls,
      peers: ports.peers,
      membership: this.membership,
      hasLinksTo: (service) => !this.#guard.links.isLost(service),
      longestRunMsAt: (service) => longestRunMs(this.router.table, service),
      onOrdered: (endpoint, forMs) => this.#announceOrder(endpoint, forMs),
      observer,
      random,
    });
    this.#guard.links.onChange(({ service }, isLost) => {
      if (isLost) this.router.noteLostLinks(service);
    });
    this.#stopListening = ports.store.eras.onReturn(() => this.#writeAgain());
    this.#feeds = [this.#createTableFeed(), this.#createEndpointFeed()];
    this.#stallWatch = new StallWatch(() => {
      for (const feed of this.#feeds) feed.hurry();
      this.#credit.noteStall();
    });
    this.peerHandlers = {
      ...createMembershipApp({
        answerProbe: (probe) => this.membership.answerProbe(probe),
        probeIndirect: (target) => this.membership.probeIndirect(target),
      }).handlers,
      ...createRoutingApp({
        "routing/table": ({ after }) => ({
          table: after < this.#tables.version ? this.router.table : null,
          ageMs: toFinite(this.#tableAge.ageMs()),
          readsWorkspaces: true,
        }),
        ...createPlacementHandlers(placementHome),
        ...origins.handlers,
        "routing/endpoints": () => ({ entries: this.#endpointEntries() }),
        "routing/ordered": ({ endpoint, forMs }) => {
          this.endpoints.get(endpoint)?.noteStageOrder(
            performance.now() + forMs,
          );
          return null;
        },
        ...this.#guard.handlers,
        ...this.#credit.handlers,
        "routing/take-stages": ({ service }) => ({
          taken: this.#stages.takeOver(service),
        }),
        "routing/demand": ({ service }) => this.#stages.sampleOf(service),
      }).handlers,
    };
  }

  /** Time since the last successful read from the platform, for each followed table. */
  viewAgesMs(): { routingTable: number; endpoints: number } {
    const [table, endpoints] = this.#feeds;
    return {
      routingTable: table!.ageMs(),
      endpoints: endpoints!.ageMs(),
    };
  }

  /** Number of endpoint groups that only other VMs reach. */
  get lostLinkGroups(): number {
    return this.#guard.links.lostGroups;
  }

  /** This VM's local view of the routing table, endpoints and VMs, for operators. */
  localView(): LocalRoutingView {
    const ages = this.viewAgesMs();
    const nowMs = performance.now();
    return {
      vm: this.#options.identity.id,
      routingTable: {
        version: this.#tables.version,
        ageMs: Math.round(ages.routingTable),
      },
      endpointsAgeMs: Math.round(ages.endpoints),
      endpoints: [...this.endpoints.all()].map((record) =>
        describeEndpoint(record, nowMs)
      ),
      vms: describeVms(this.membership.members()),
      quarantined: this.#guard.describeQuarantines(),
    };
  }

  /**
   * True once a routing table and an endpoint list are available, and the table is no
   * older than those of the first peers, as far as these answer in time.
   */
  get ready(): boolean {
    return this.router.table !== null && this.#endpointsKnown &&
      !this.#tables.isStarting;
  }

  /** Waits until {@link ready} is true, at most `limitMs`. */
  async waitReady(limitMs: number): Promise<void> {
    const endsAtMs = performance.now() + limitMs;
    while (!this.ready && performance.now() < endsAtMs) {
      await wait(READY_CHECK_MS);
    }
  }

  /**
   * Waits for the routing table under which another VM accepted a request, within a
   * share of its time; returns the refusal if this VM doesn't get that table.
   */
  async awaitTable(
    { from, tableVersion }: Hop,
    leftMs: number,
  ): Promise<Refusal | null> {
    const version = tableVersion ?? 0;
    if (version <= this.#tables.version) return null;
    const startedMs = performance.now();
    const refusal = await this.#tables.awaitVersion({ from, version, leftMs });
    const outcome = refusal ? "refused" : "received";
    const { observer } = this.#options;
    observer.count("table_waits", outcome);
    observer.log({
      event: "table-awaited",
      version,
      from,
      outcome,
      tookMs: Math.round(performance.now() - startedMs),
    });
    return refusal;
  }

  /** Starts the components. What the platform can't provide yet is read later. */
  async start(): Promise<void> {
    const { ports, identity } = this.#options;
    this.#originRecord.start();
    this.#guard.start();
    for (const feed of this.#feeds) void feed.start();
    this.#stallWatch.start();
    void ports.store.register(identity);
    await this.#tables.start(async () => {
      await this.membership.seed();
      await this.membership.start();
      await this.membership.contacted;
    });
    this.#placement.start();
    this.#peerPollTimer = setInterval(
      () => this.#pollPeer(),
      PEER_POLL_INTERVAL_MS,
    );
  }

  /** From now on takes only what can be finished before the cut. */
  beginStop(options: StopOptions): void {
    this.#stopGate.begin(options);
    this.router.refuseLate();
    this.#stopTimer = setTimeout(
      () => this.router.refuseLate(),
      options.servingMs,
    );
  }

  stop(): void {
    clearInterval(this.#peerPollTimer);
    clearTimeout(this.#stopTimer);
    clearTimeout(this.#rewriteTimer);
    this.#stopListening();
    for (const feed of this.#feeds) feed.stop();
    this.#stallWatch.stop();
    this.#stages.stop();
    this.router.stop();
    this.#placement.stop();
    this.#credit.stop();
    this.#originRecord.stop();
    this.membership.stop();
    this.#guard.stop();
  }

  #createTableAge(): TableAge {
    const { ports, observer, random, bounds = DEFAULT_BOUNDS } = this.#options;
    return new TableAge({
      boundMs: bounds.configMs ?? DEFAULT_CONFIG_MS,
      usualMs: planTableReads(bounds).waitMs + ANSWER_MARGIN_MS,
      source: () => this.#feeds[0]!,
      membership: this.membership,
      peers: ports.peers,
      version: () => this.#tables.version,
      setTable: (table, options) => this.#setTable(table, options),
      observer,
      random,
    });
  }

  #createTableFeed(): TableFeed<RoutingTable> {
    const { ports, observer, random, bounds = DEFAULT_BOUNDS } = this.#options;
    const setTables = (tables: readonly RoutingTable[]) => {
      for (const table of tables) this.#setTable(table);
    };
    return new TableFeed({
      name: "routing-table",
      table: ports.tables,
      listener: { onSnapshot: setTables, onChanges: setTables },
      eras: ports.store.eras,
      observer,
      random,
      plan: planTableReads(bounds),
    });
  }

  #createEndpointFeed(): TableFeed<EndpointChange> {
    const { ports, observer, random, bounds = DEFAULT_BOUNDS } = this.#options;
    return new TableFeed({
      name: "endpoints",
      table: ports.endpoints,
      listener: {
        onSnapshot: (changes) =>
          this.#replaceEndpoints(
            changes.flatMap(({ entry }) => entry ? [entry] : []),
          ),
        onChanges: (changes) => {
          this.#changeEndpoints(() => {
            for (const change of changes) this.endpoints.apply(change);
          });
        },
        onRegained: (reads) => this.endpoints.noteDirectoryRegained(reads),
        onReturn: () => this.endpoints.noteDirectoryReturn(),
      },
      eras: ports.store.eras,
      observer,
      random,
      plan: planEndpointReads(bounds),
      batchMs: ENDPOINTS_BATCH_MS,
    });
  }

  // The copy from which the store came back may lack this VM's rows.
  #writeAgain(): void {
    const { ports, identity, random } = this.#options;
    const delayMs = REWRITE_SPREAD_MS * random();
    this.#originRecord.noteReturn(delayMs);
    this.#guard.noteStoreReturn(delayMs);
    clearTimeout(this.#rewriteTimer);
    this.#rewriteTimer = setTimeout(
      () => void ports.store.register(identity),
      delayMs,
    );
  }

  #replaceEndpoints(entries: readonly EndpointEntry[]): void {
    this.#changeEndpoints(() => this.endpoints.replace(entries));
    this.#endpointsKnown = true;
  }

  // What the record has not seen before the change may be gone after it.
  #changeEndpoints(change: () => void): void {
    this.#originRecord.noteEndpoints();
    change();
    this.#originRecord.noteEndpoints();
  }

  get #isBusy(): boolean {
    return this.#options.isBusy?.() ?? false;
  }

  /** Whether a VM, this one included, has more requests than it can serve. */
  isBusy(vm: VmId): boolean {
    return vm === this.membership.self.id
      ? this.#isBusy
      : this.#busyVms.has(vm);
  }

  // Fetches what the VM that sent a probe has and this one lacks.
  #compareWith(probe: Probe): void {
    const peer = this.membership.member(probe.from);
    this.#credit.noteContact();
    this.#guard.noteProbe(peer, probe.evidenceHash);
    this.#busyVms.note(probe.from, probe.busy === true);
    this.#tables.compare(probe);
  }

  #setTable(table: RoutingTable, options?: { source: string }): void {
    if (!this.router.setTable(table, options)) return;
    this.authenticator.setTable(table);
    this.#credit.setTable(table);
    this.#changeEndpoints(() => this.endpoints.noteServices());
    this.#tables.noteTable();
    this.#stages.start(
      table.services.filter(({ engines }) => engines).map(({ name }) => name),
    );
    this.#options.onTable?.(table);
  }

  // While the platform can't be read, another VM may have the endpoint list.
  #pollPeer(): void {
    if (this.#endpointsKnown) return clearInterval(this.#peerPollTimer);
    const [peer] = this.#livePeers(1);
    if (peer) void this.#fetchEndpoints(peer);
  }

  async #fetchEndpoints(peer: Member): Promise<void> {
    const answer = await this.#options.ports.peers.call(
      peer,
      "routing/endpoints",
      {
        params: undefined,
        timeoutMs: PEER_FETCH_TIMEOUT_MS,
        wholeMs: PEER_FETCH_LIMIT_MS,
      },
    );
    const entries = answer.isOk() ? answer.value.entries : null;
    if (!entries || this.#endpointsKnown) return;
    this.#replaceEndpoints(entries);
    this.#options.observer.log({
      event: "endpoints-from-peer",
      peer: peer.id,
      endpoints: entries.length,
    });
  }

  #endpointEntries(): readonly EndpointEntry[] | null {
    return this.#endpointsKnown ? this.endpoints.entries() : null;
  }

  // Orders are rare, so nearly all VMs can be notified; any others find out when
  // the engine refuses their requests.
  #announceOrder(endpoint: EndpointId, forMs: number): void {
    this.endpoints.get(endpoint)?.noteStageOrder(performance.now() + forMs);
    for (const peer of this.#livePeers(ORDER_NOTICE_VMS)) {
      void this.#options.ports.peers.call(peer, "routing/ordered", {
        params: { endpoint, forMs },
        timeoutMs: PEER_FETCH_TIMEOUT_MS,
      });
    }
  }

  /** Returns up to `count` live VMs other than this one, in random order. */
  #livePeers(count: number): Member[] {
    const { random } = this.#options;
    return shuffle(findOthers(this.membership), random).slice(0, count);
  }

  #liveCount(): number {
    return this.membership.members()
      .filter(({ state }) => state === "live" || state === "leaving").length;
  }
}

// JSON has no infinite numbers.
function toFinite(value: number): number | null {
  return Number.isFinite(value) ? value : null;
}
