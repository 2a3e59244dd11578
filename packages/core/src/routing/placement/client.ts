/** Asks the home of a shard where to place a stream; without it, this VM's own view decides. */
import type { EndpointId, ServiceName, VmId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import type { MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { PrefillTimes } from "../prefill_times.ts";
import {
  choosePrefillEndpoint,
  type ChoosePrefillOptions,
} from "../queries/choose_prefill_endpoint.ts";
import {
  rankDecodeEndpoints,
  type RankDecodeOptions,
} from "../queries/rank_decode_endpoints.ts";
import type { PlacementHome, VmLoads } from "./home.ts";
import { inShard, shardCountOf } from "./shards.ts";

/** A home answers within a few milliseconds, or the stream is placed without it. */
const ASK_TIMEOUT_MS = 80;
/** How long a home that did not answer is not asked. */
const HOME_REST_MS = 1_000;
/** How often the home hears of streams that ended while none began. */
const REPORT_INTERVAL_MS = 500;
/** What a hand-over between data centres is worth avoiding. */
const REMOTE_MS = 40;

/** Chooses engines for streams. */
export interface Placement {
  /** Decode engines in the order in which to ask them for a place. */
  rankDecode(
    service: ServiceName,
    options: RankDecodeOptions & { tokens: number },
  ): Promise<EndpointRecord[]>;
  /** The prefill engine for a prompt; undefined where there is none. */
  choosePrefill(
    service: ServiceName,
    options: ChoosePrefillOptions & { tokens: number },
  ): Promise<EndpointRecord | undefined>;
}

/** Places by this VM's own view alone. */
export class LocalPlacement implements Placement {
  #endpoints: EndpointRegistry;

  constructor(endpoints: EndpointRegistry) {
    this.#endpoints = endpoints;
  }

  rankDecode(service: ServiceName, options: RankDecodeOptions) {
    const usable = this.#endpoints.usable(service, "decode");
    return Promise.resolve(rankDecodeEndpoints(usable, options));
  }

  choosePrefill(service: ServiceName, options: ChoosePrefillOptions) {
    const usable = this.#endpoints.usable(service, "prefill");
    return Promise.resolve(choosePrefillEndpoint(usable, options));
  }
}

/** Options of {@link PlacementClient}. */
export interface PlacementClientOptions {
  endpoints: EndpointRegistry;
  membership: MembershipView;
  peers: PeerPort;
  prefillTimes: PrefillTimes;
  observer: Observer;
  random: () => number;
}

interface Shard {
  readonly service: ServiceName;
  readonly shard: number;
  readonly shardCount: number;
}

/** Owns the questions to homes. */
export class PlacementClient implements Placement {
  #options: PlacementClientOptions;
  #local: LocalPlacement;
  #restsUntilMs = new Map<string, number>();
  #services = new Set<ServiceName>();
  /** What the homes were told last, by service. */
  #reported = new Map<ServiceName, string>();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#local = new LocalPlacement(options.endpoints);
  }

  start(): void {
    this.#timer = setInterval(() => this.#report(), REPORT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async rankDecode(
    service: ServiceName,
    options: RankDecodeOptions & { tokens: number },
  ): Promise<EndpointRecord[]> {
    this.#services.add(service);
    const local = await this.#local.rankDecode(service, options);
    const shard = this.#chooseShard(service);
    const sound = inShard(
      local.filter((one) =>
        one.isHealthy(options.nowMs) && !one.isFull(options.nowMs)
      ),
      shard,
    );
    if (sound.length < 2) return local;
    const answer = await this.#ask(shard, "routing/rank-decode", {
      engines: sound.map(({ entry }) => entry.id),
      vm: this.#options.membership.self.id,
      loads: this.#loads(service),
      tokens: options.tokens,
    });
    if (!answer) return local;
    const byId = new Map(sound.map((one) => [one.entry.id, one]));
    const ranked = answer.engines.flatMap((id) => byId.get(id) ?? []);
    const others = local.filter((one) => !byId.has(one.entry.id));
    return [...ranked, ...others];
  }

  async choosePrefill(
    service: ServiceName,
    options: ChoosePrefillOptions & { tokens: number },
  ): Promise<EndpointRecord | undefined> {
    const local = await this.#local.choosePrefill(service, options);
    if (!local) return undefined;
    const { endpoints, prefillTimes } = this.#options;
    const shard = this.#chooseShard(service);
    const candidates = inShard(
      endpoints.usable(service, "prefill").filter((one) =>
        !options.tried.has(one.entry.id) && one.isHealthy(options.nowMs) &&
        one.keepsHandles(options.nowMs)
      ),
      shard,
    );
    if (candidates.length < 2) return local;
    const answer = await this.#ask(shard, "routing/choose-prefill", {
      engines: candidates.map(({ entry }) => entry.id),
      remote: candidates.filter(({ entry }) =>
        entry.dataCentre !== options.decodeDataCentre
      ).map(({ entry }) => entry.id),
      readMs: options.tokens / prefillTimes.tokensPerMs(service),
    });
    return candidates.find(({ entry }) => entry.id === answer?.engine) ?? local;
  }

  // With several shards the stream takes one at random; all are alike.
  #chooseShard(service: ServiceName): Shard {
    const shardCount = this.#shardCount(service);
    const shard = Math.floor(this.#options.random() * shardCount);
    return { service, shard, shardCount };
  }

  #shardCount(service: ServiceName): number {
    const { endpoints } = this.#options;
    return shardCountOf(
      endpoints.usable(service, "decode").length +
        endpoints.usable(service, "prefill").length,
    );
  }

  async #ask<Name extends "routing/rank-decode" | "routing/choose-prefill">(
    shard: Shard,
    method: Name,
    params: Parameters<PlacementHandlers[Name]>[0],
  ): Promise<ReturnType<PlacementHandlers[Name]> | null> {
    const { membership, peers, observer } = this.#options;
    const home = membership.homeOf(homeKey(shard));
    const nowMs = performance.now();
    if ((this.#restsUntilMs.get(home.id) ?? 0) > nowMs) return null;
    const answer = await peers.call(home, method, {
      params: params as never,
      timeoutMs: ASK_TIMEOUT_MS,
    });
    if (answer.isOk()) return answer.value as never;
    this.#restsUntilMs.set(home.id, nowMs + HOME_REST_MS);
    observer.log({
      event: "placement-home-silent",
      peer: home.id,
      service: shard.service,
      reason: answer.error.kind,
    });
    return null;
  }

  // Streams that end make room, which the homes hear of with the next question or now.
  #report(): void {
    for (const service of this.#services) {
      const loads = this.#loads(service);
      const text = JSON.stringify(loads);
      if (text === this.#reported.get(service)) continue;
      this.#reported.set(service, text);
      const { membership, peers } = this.#options;
      const shardCount = this.#shardCount(service);
      for (let shard = 0; shard < shardCount; shard += 1) {
        const home = membership.homeOf(homeKey({ service, shard, shardCount }));
        void peers.call(home, "routing/note-loads", {
          params: { vm: membership.self.id, loads },
          timeoutMs: ASK_TIMEOUT_MS,
        });
      }
    }
  }

  #loads(service: ServiceName): VmLoads {
    const loads: [EndpointId, number][] = [];
    for (const { entry, inFlightTokens } of this.#options.endpoints.all()) {
      if (entry.service !== service || entry.stage !== "decode") continue;
      if (inFlightTokens > 0) loads.push([entry.id, inFlightTokens]);
    }
    return loads;
  }
}

/** Peer methods of placement. */
export interface PlacementHandlers {
  /** Orders decode engines by their load, and notes that one more stream comes. */
  "routing/rank-decode": (params: {
    engines: readonly EndpointId[];
    vm: VmId;
    loads: VmLoads;
    tokens: number;
  }) => { engines: readonly EndpointId[] };
  /** Chooses a prefill engine and gives it the prompt. */
  "routing/choose-prefill": (params: {
    engines: readonly EndpointId[];
    /** Those in another data centre than the decode engine. */
    remote: readonly EndpointId[];
    readMs: number;
  }) => { engine: EndpointId | null; waitMs: number };
  /** Takes the memory that a VM's streams hold. */
  "routing/note-loads": (params: {
    vm: VmId;
    loads: VmLoads;
  }) => null;
}

/** The peer methods of placement over a VM's book. */
export function createPlacementHandlers(
  home: PlacementHome,
): PlacementHandlers {
  return {
    "routing/rank-decode": ({ engines, vm, loads, tokens }) => {
      home.noteLoads(vm, loads);
      return { engines: home.rankDecode(engines, { vm, tokens }) };
    },
    "routing/choose-prefill": ({ engines, remote, readMs }) => {
      const far = new Set(remote);
      const chosen = home.choosePrefill(engines, {
        readMs,
        extraMs: (engine) => far.has(engine) ? REMOTE_MS : 0,
      });
      return { engine: chosen?.engine ?? null, waitMs: chosen?.waitMs ?? 0 };
    },
    "routing/note-loads": ({ vm, loads }) => {
      home.noteLoads(vm, loads);
      return null;
    },
  };
}

function homeKey({ service, shard }: Shard): string {
  return `placement/${service}/${shard}`;
}
