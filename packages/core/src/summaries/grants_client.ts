/** Asks shard homes for grants, tells them how the runs go on, and tells new homes what runs. */
import { wait } from "../common/wait.ts";
import type { ConfigurationView } from "../configuration/task.ts";
import {
  chooseShards,
  dataCentresOfOtherRegions,
  shardHomeKey,
} from "../grants/queries/choose_shard.ts";
import type {
  GrantAnswer,
  GrantProgress,
  GrantRequest,
  HeldGrant,
} from "../grants/types.ts";
import type { Member, MembershipView } from "../membership/types.ts";
import { rankShardHomes } from "../reports/homes.ts";
import type { VmContext } from "../vm/types.ts";
import { askIncarnation } from "./alive.ts";

const TELL_TIMEOUT_MS = 500;
/** A request that waits for its answer this much longer than its target is asked for again. */
const ANSWER_MARGIN_MS = 1_500;
/** How often a home that owes an answer is asked whether it still runs. */
const ALIVE_INTERVAL_MS = 400;
/** A shard's home and those that stand in for it. */
const HOMES = 3;

/** A grant that an owner holds. */
export interface GrantHold {
  readonly request: GrantRequest;
  readonly granted: Extract<GrantAnswer, { kind: "granted" }>;
  phase: HeldGrant["phase"];
}

/** What asking came to; null when no home answers. */
export type GrantOutcome =
  | { readonly kind: "granted"; readonly hold: GrantHold }
  | Extract<GrantAnswer, { kind: "refused" }>
  | null;

/** Options of {@link GrantsClient}. */
export interface GrantsClientOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
}

/** Speaks to the homes of pool shards and keeps the grants that this VM holds. */
export class GrantsClient {
  #context: VmContext;
  #options: GrantsClientOptions;
  #holds = new Set<GrantHold>();

  constructor(context: VmContext, options: GrantsClientOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Asks the shards in turn while they refuse for lack of room. */
  async ask(request: GrantRequest): Promise<GrantOutcome> {
    let last: GrantOutcome = null;
    for (const shard of this.#shardsFor(request)) {
      const asked = { ...request, shard: shard.name };
      const answer = await this.#askShard(asked, shardHomeKey(shard));
      last = answer ?? last;
      if (answer?.kind === "granted") return answer;
      if (answer && answer.reason !== "no-capacity") return answer;
    }
    return last;
  }

  /** Drops a request that still waits. */
  withdraw(request: GrantRequest): void {
    for (const shard of this.#shardsFor(request)) {
      const home = this.#options.membership.homeOf(shardHomeKey(shard));
      this.#withdrawAt(home, request);
    }
  }

  /** Tells how a run goes on; after `ended` or `failed` the grant is no longer held. */
  tell(hold: GrantHold, progress: GrantProgress): void {
    const over = progress.kind === "ended" || progress.kind === "failed";
    if (over && !this.#holds.delete(hold)) return;
    if (progress.kind === "prefillEnded") hold.phase = "transfer";
    if (progress.kind === "decodeStarted") hold.phase = "decode";
    void this.#tell(hold, { progress, times: over ? 2 : 1 });
  }

  /** Keeps a grant that another owner handed over. */
  adopt(hold: GrantHold): void {
    this.#holds.add(hold);
  }

  /** Stops keeping a grant that another owner has taken over. */
  handOver(hold: GrantHold): void {
    this.#holds.delete(hold);
  }

  /** Tells the homes of a new view what runs here. */
  registerAgain(): void {
    const byHome = new Map<string, { home: Member; grants: HeldGrant[] }>();
    for (const { request, granted, phase } of this.#holds) {
      const home = this.#homeOf(request);
      if (!home) continue;
      const { grant, prefill, decode } = granted;
      const held: HeldGrant = {
        request,
        prefill,
        decode,
        grant,
        phase,
        generatedTokens: 0,
      };
      const group = byHome.get(home.id);
      if (group) group.grants.push(held);
      else byHome.set(home.id, { home, grants: [held] });
    }
    for (const { home, grants } of byHome.values()) {
      void this.#context.ports.peers.call(home, "grants/register", {
        params: { grants },
        timeoutMs: TELL_TIMEOUT_MS,
      });
    }
  }

  async #askShard(
    request: GrantRequest,
    homeKey: string,
  ): Promise<GrantOutcome> {
    for (
      const home of rankShardHomes(this.#options.membership, homeKey, HOMES)
    ) {
      const answer = await this.#askHome(home, request);
      if (!answer) {
        this.#withdrawAt(home, request);
        continue;
      }
      if (answer.kind === "refused") return answer;
      const hold: GrantHold = { request, granted: answer, phase: "prefill" };
      this.#holds.add(hold);
      return { kind: "granted", hold };
    }
    return null;
  }

  // A home may take its time, but not in silence.
  async #askHome(
    home: Member,
    request: GrantRequest,
  ): Promise<GrantAnswer | null> {
    const { peers } = this.#context.ports;
    const timeoutMs = Math.max(0, request.firstTokenInMs) + ANSWER_MARGIN_MS;
    const asked = peers.call(home, "grants/request", {
      params: request,
      timeoutMs,
      fresh: true,
    });
    let answered = false;
    const answer = asked.then((result) => {
      answered = true;
      return result.unwrapOr(null);
    });
    while (!answered) {
      await Promise.race([answer, wait(ALIVE_INTERVAL_MS)]);
      if (answered) break;
      const alive = await askIncarnation(peers, home);
      if (!alive && !answered) return null;
    }
    return await answer;
  }

  async #tell(
    hold: GrantHold,
    options: { progress: GrantProgress; times: number },
  ): Promise<void> {
    const { request, granted } = hold;
    const { model, key } = request;
    for (let at = 1; at <= options.times; at += 1) {
      const home = this.#homeOf(request);
      if (!home) return;
      const { progress } = options;
      const answer = await this.#context.ports.peers.call(
        home,
        "grants/progress",
        {
          params: { model, key, grant: granted.grant, progress },
          timeoutMs: TELL_TIMEOUT_MS,
          fresh: at > 1,
        },
      );
      if (answer.isOk()) return;
    }
  }

  #withdrawAt(home: Member, { model, key }: GrantRequest): void {
    void this.#context.ports.peers.call(home, "grants/withdraw", {
      params: { model, key },
      timeoutMs: TELL_TIMEOUT_MS,
      fresh: true,
    });
  }

  #homeOf(request: GrantRequest): Member | undefined {
    const shards = this.#shardsFor(request);
    const shard = shards.find((one) => one.name === request.shard) ?? shards[0];
    return shard && this.#options.membership.homeOf(shardHomeKey(shard));
  }

  #shardsFor({ model, key }: GrantRequest) {
    const { configuration, membership } = this.#options;
    const endpoints = configuration.current()?.bodies.endpoints ?? [];
    return chooseShards(endpoints, {
      model,
      key,
      dataCentre: membership.self.dataCentre,
      excludedDataCentres: dataCentresOfOtherRegions(membership),
    });
  }
}
