/**
 * Asks a shard's home where to place a stream. If the home doesn't answer, this
 * VM's local view decides.
 */
import type { EndpointId, ServiceName } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { shuffle } from "../../common/shuffle.ts";
import type { MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import { ShardLoads } from "../balance/shard_loads.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { OutputEstimates } from "../output_estimates.ts";
import type { PrefillTimes } from "../prefill_times.ts";
import { minimumBy } from "../queries/choose_endpoint.ts";
import type { ChoosePrefillOptions } from "../queries/choose_prefill_endpoint.ts";
import type { RankDecodeOptions } from "../queries/rank_decode_endpoints.ts";
import type { PlacementHandlers } from "./handlers.ts";
import type { LoadReport, PlaceAnswer } from "./home.ts";
import { JoinedQueues } from "./joined_queues.ts";
import {
  describeShard,
  notePrefillSpeed,
  roundLoad,
  type Shard,
} from "./load_reports.ts";
import {
  type AdmitOptions,
  type DecodeAdmission,
  LocalPlacement,
  type Placement,
  type PrefillChoice,
} from "./placement.ts";
import { groupByShard, type ShardGroup } from "./shard_groups.ts";
import { shardCountOf, shardOfEngine } from "./shards.ts";
import { SilentHomes } from "./silent_homes.ts";

/** A home answers within a few milliseconds; after this time the stream is placed without it. */
const HOME_TIMEOUT_MS = 80;
/** Delay of the report that a stream has ended; streams that end meanwhile share it. */
const REPORT_DELAY_MS = 50;
/** How often the loads of streams that go on are reported again, before they expire at the homes. */
const REPORT_INTERVAL_MS = 1_000;
/** How often a home is told speeds, which would double the size of each call; it keeps them for seconds. */
const SPEEDS_INTERVAL_MS = 500;
/** Next request to a home after all engines of a shard refused one lately. */
const FULL_RETRY_MS = 40;
/** A prefill that takes this multiple of the expected time shows that its engine is slow. */
const SLOW_PREFILL_FACTOR = 2;
/** Time for the connection of a prefill. */
const PREFILL_SLACK_MS = 30;

/** Options of {@link PlacementClient}. */
export interface PlacementClientOptions {
  endpoints: EndpointRegistry;
  membership: MembershipView;
  peers: PeerPort;
  prefillTimes: PrefillTimes;
  outputs: OutputEstimates;
  observer: Observer;
  random: () => number;
  /** Whether shards with more free memory are asked first. */
  isBalancing: () => boolean;
}

/** Places streams by calls to the shards' homes, and reports this VM's loads to them. */
export class PlacementClient implements Placement {
  #options: PlacementClientOptions;
  #local: LocalPlacement;
  #silentHomes = new SilentHomes();
  /** When the loads of a shard were last reported to its home. */
  #reportedAtMs = new Map<string, number>();
  /** When the home of a shard was last told speeds. */
  #speedsSentAtMs = new Map<string, number>();
  /** Delayed reports by shard. */
  #pendingReports = new Map<string, ReturnType<typeof setTimeout>>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #shardLoads = new ShardLoads();
  #joined = new JoinedQueues();

  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#local = new LocalPlacement(options.endpoints);
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#renewReports(),
      REPORT_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const timer of this.#pendingReports.values()) clearTimeout(timer);
    this.#pendingReports.clear();
  }

  rankDecode(
    service: ServiceName,
    options: RankDecodeOptions,
  ): EndpointRecord[] {
    return this.#local.rankDecode(service, options);
  }

  async admitDecode(
    service: ServiceName,
    options: AdmitOptions,
  ): Promise<DecodeAdmission | null> {
    const { nowMs } = options;
    const healthy = this.#local.rankDecode(service, options)
      .filter((record) => record.isHealthy(nowMs));
    if (healthy.length === 0) return null;
    const open = healthy.filter((record) => !record.isFull(nowMs));
    if (open.length === 0) return { kind: "wait", askAgainMs: FULL_RETRY_MS };
    const { isLate = false } = options;
    const known = this.#groupByShard(service, open)
      .filter(({ shard }) => !isLate || this.#knowsPrefillQueues(shard));
    if (known.length === 0) return { kind: "full" };
    const own = isLate ? null : await this.#askJoined(known, options);
    if (own) return own;
    const groups = this.#orderShards(known, options);
    const waits: { group: ShardGroup; waitMs: number }[] = [];
    let answered = false;
    for (const group of groups) {
      const joins = groups.length === 1 && !isLate;
      const answer = await this.#askHome(group, { ...options, joins });
      if (!answer) continue;
      answered = true;
      if (answer.kind === "place") return this.#toPlace(answer, group, options);
      if (answer.kind === "wait" && joins) return answer;
      if (answer.kind === "wait") waits.push({ group, ...answer });
    }
    // Streams that VMs place by their own view take memory that the homes count on, so
    // that a home which is late once is asked again.
    if (!answered) {
      return groups.some(({ shard }) => this.#mayAnswer(shard))
        ? { kind: "wait", askAgainMs: FULL_RETRY_MS }
        : null;
    }
    const soonest = minimumBy(waits, ({ waitMs }) => waitMs);
    if (!soonest || isLate) return { kind: "full" };
    const answer = await this.#join(soonest.group, options);
    if (answer?.kind !== "wait") return answer;
    this.#joined.note(options.attempt, homeKey(soonest.group.shard));
    return answer;
  }

  // Asks the home whose queue a stream has joined; null if all have to be asked.
  async #askJoined(
    groups: readonly ShardGroup[],
    options: AdmitOptions,
  ): Promise<DecodeAdmission | null> {
    const key = this.#joined.current(options.attempt);
    const group = groups.find(({ shard }) => homeKey(shard) === key);
    const answer = group && await this.#join(group, options);
    return answer?.kind === "full" ? null : answer ?? null;
  }

  async #join(
    group: ShardGroup,
    options: AdmitOptions,
  ): Promise<DecodeAdmission | null> {
    const answer = await this.#askHome(group, { ...options, joins: true });
    return answer?.kind === "place"
      ? this.#toPlace(answer, group, options)
      : answer;
  }

  noteStreamEnd(engine: EndpointRecord): void {
    const shard = this.#shardOf(engine);
    const key = homeKey(shard);
    if (this.#pendingReports.has(key)) return;
    const report = () => {
      this.#pendingReports.delete(key);
      this.#reportLoads(shard);
    };
    this.#pendingReports.set(key, setTimeout(report, REPORT_DELAY_MS));
  }

  async choosePrefill(
    service: ServiceName,
    options: ChoosePrefillOptions & { tokens: number },
  ): Promise<PrefillChoice | undefined> {
    const local = await this.#local.choosePrefill(service, options);
    if (!local) return undefined;
    const { endpoints, prefillTimes } = this.#options;
    const untried = endpoints.usable(service, "prefill").filter((record) =>
      !options.tried.has(record.entry.id) &&
      record.isHealthy(options.nowMs) &&
      record.keepsHandles(options.nowMs) &&
      !record.isLimited(options.nowMs)
    );
    const [group] = this.#groupByShard(service, untried);
    if (!group) return local;
    const { shard, engines: candidates } = group;
    if (candidates.length < 2) return local;
    const answer = await this.#callHome(shard, "routing/choose-prefill", {
      engines: candidates.map(({ entry }) => entry.id),
      remote: candidates.filter(({ entry }) =>
        entry.dataCentre !== options.decodeDataCentre
      ).map(({ entry }) => entry.id),
      readMs: options.tokens / prefillTimes.tokensPerMs(service),
    });
    const endpoint = candidates.find(({ entry }) =>
      entry.id === answer?.engine
    );
    return endpoint && answer ? { endpoint, waitMs: answer.waitMs } : local;
  }

  notePrefill(
    { endpoint, waitMs }: PrefillChoice,
    { tokens, tookMs }: { tokens: number; tookMs: number },
  ): void {
    if (waitMs === null) return;
    const { membership, peers, prefillTimes } = this.#options;
    const { id, service } = endpoint.entry;
    const readMs = tokens / prefillTimes.tokensPerMs(service);
    notePrefillSpeed(endpoint, { tokens, tookMs: tookMs - waitMs });
    const factor = tookMs / (waitMs + readMs + PREFILL_SLACK_MS);
    if (factor < SLOW_PREFILL_FACTOR) return;
    const home = membership.homeOf(homeKey(this.#shardOf(endpoint)));
    void peers.call(home, "routing/note-slow-prefill", {
      params: { engine: id, factor },
      timeoutMs: HOME_TIMEOUT_MS,
    });
  }

  #orderShards(
    groups: readonly ShardGroup[],
    { capacity: { kvTokens } }: AdmitOptions,
  ): readonly ShardGroup[] {
    const { random, isBalancing, observer } = this.#options;
    if (groups.length < 2 || !isBalancing()) return groups;
    const candidates = groups.map((group) => ({
      group,
      key: homeKey(group.shard),
      engines: group.engines.length,
    }));
    const isKnown = this.#shardLoads.knows(candidates);
    observer.count("shard_choices", isKnown ? "load" : "size");
    return this.#shardLoads.order(candidates, { kvTokens, random })
      .map(({ group }) => group);
  }

  #toPlace(
    answer: PlaceAnswer & { kind: "place" },
    { shard, engines }: ShardGroup,
    { stream }: AdmitOptions,
  ): DecodeAdmission {
    this.#shardLoads.notePlaced(homeKey(shard), stream);
    const byId = new Map(engines.map((record) => [record.entry.id, record]));
    return {
      kind: "place",
      engines: answer.engines.flatMap((id) => byId.get(id) ?? []),
    };
  }

  // In random order, in which shards with more engines tend to come first.
  #groupByShard(
    service: ServiceName,
    engines: readonly EndpointRecord[],
  ): ShardGroup[] {
    return groupByShard(shuffle(engines, this.#options.random), {
      service,
      shardCount: this.#shardCount(service),
    });
  }

  #shardOf(engine: EndpointRecord): Shard {
    const { service } = engine.entry;
    const shardCount = this.#shardCount(service);
    return { service, shard: shardOfEngine(engine, shardCount), shardCount };
  }

  #shardCount(service: ServiceName): number {
    return shardCountOf(this.#options.endpoints.count(service));
  }

  async #askHome(
    { shard, engines }: ShardGroup,
    options: AdmitOptions & { joins: boolean },
  ): Promise<PlaceAnswer | null> {
    const { attempt, stream, capacity, spareMs, joins, events } = options;
    const { priority, workspace, isLate } = options;
    const prefillEngines = isLate ? this.#prefillEngines(shard) : undefined;
    this.#reportedAtMs.set(homeKey(shard), performance.now());
    const answer = await this.#callHome(shard, "routing/place-decode", {
      ...this.#loadReport(shard),
      attempt,
      stream: roundLoad(stream),
      capacity,
      spareMs,
      joins,
      events,
      engines: engines.map(({ entry }) => entry.id),
      ...(priority === undefined ? {} : { priority }),
      ...(workspace === undefined ? {} : { workspace }),
      ...(isLate ? { isLate, prefillEngines } : {}),
    });
    this.#shardLoads.note(homeKey(shard), answer?.load);
    return answer;
  }

  // A home has the queues of the prefill engines of its shard in view, if there are
  // several, between which it chooses.
  #knowsPrefillQueues(shard: Shard): boolean {
    const { endpoints } = this.#options;
    return this.#prefillEngines(shard).length > 1 ||
      endpoints.usable(shard.service, "prefill").length === 0;
  }

  #prefillEngines({ service, shard, shardCount }: Shard): EndpointId[] {
    return this.#options.endpoints.usable(service, "prefill")
      .filter((engine) => shardOfEngine(engine, shardCount) === shard)
      .map(({ entry }) => entry.id);
  }

  #mayAnswer(shard: Shard): boolean {
    const home = this.#options.membership.homeOf(homeKey(shard));
    return this.#silentHomes.mayAnswer(home.id);
  }

  async #callHome<
    Name extends "routing/place-decode" | "routing/choose-prefill",
  >(
    shard: Shard,
    method: Name,
    params: Parameters<PlacementHandlers[Name]>[0],
  ): Promise<ReturnType<PlacementHandlers[Name]> | null> {
    const { membership, peers, observer } = this.#options;
    const home = membership.homeOf(homeKey(shard));
    if (!this.#mayAnswer(shard)) return null;
    const answer = await peers.call(home, method, {
      params: params as never,
      timeoutMs: HOME_TIMEOUT_MS,
    });
    const calls = this.#silentHomes.note(home.id, { answered: answer.isOk() });
    if (answer.isOk()) return answer.value as never;
    observer.log({
      event: "placement-home-silent",
      peer: home.id,
      service: shard.service,
      reason: answer.error.kind,
      calls,
    });
    return null;
  }

  // The homes may have changed since the last report, as well as the shards.
  #renewReports(): void {
    const shards = new Map<string, Shard>();
    for (const engine of this.#options.endpoints.all()) {
      if (engine.streams.size === 0) continue;
      const shard = this.#shardOf(engine);
      shards.set(homeKey(shard), shard);
    }
    const nowMs = performance.now();
    for (const [key, shard] of shards) {
      const reportedAtMs = this.#reportedAtMs.get(key) ?? -Infinity;
      if (nowMs - reportedAtMs < REPORT_INTERVAL_MS / 2) continue;
      this.#reportLoads(shard);
    }
  }

  #reportLoads(shard: Shard): void {
    const { membership, peers } = this.#options;
    this.#reportedAtMs.set(homeKey(shard), performance.now());
    const key = homeKey(shard);
    void peers.call(
      membership.homeOf(key),
      "routing/note-streams",
      { params: this.#loadReport(shard), timeoutMs: HOME_TIMEOUT_MS },
    ).then((answer) => {
      if (answer.isOk()) this.#shardLoads.note(key, answer.value?.load);
    });
  }

  #loadReport(shard: Shard): LoadReport {
    const { endpoints, membership, outputs } = this.#options;
    const key = homeKey(shard);
    const nowMs = performance.now();
    const sentAtMs = this.#speedsSentAtMs.get(key) ?? -Infinity;
    const withSpeeds = nowMs - sentAtMs >= SPEEDS_INTERVAL_MS;
    if (withSpeeds) this.#speedsSentAtMs.set(key, nowMs);
    return {
      vm: membership.self.id,
      shard: key,
      ...describeShard(endpoints, shard, { withSpeeds }),
      tokensPerMs: outputs.tokensPerMs(shard.service),
    };
  }
}

function homeKey({ service, shard }: Shard): string {
  return `placement/${service}/${shard}`;
}
