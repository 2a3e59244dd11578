/**
 * Requests grants from shard homes, reports the progress of runs to them, and
 * registers held grants with new homes.
 */
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
import { fetchIncarnation } from "./liveness.ts";

const REPORT_TIMEOUT_MS = 500;
/**
 * Time that a home has for its answer after the first token is due. Without an
 * answer, the request is withdrawn there and sent to the next home.
 */
const ANSWER_MARGIN_MS = 1_500;
/** Interval of the liveness checks of a home that has yet to answer. */
const LIVENESS_INTERVAL_MS = 400;
/** Number of homes tried per shard: its home and the next ones in rank. */
const MAX_HOMES = 3;

/** A grant that this VM holds, with its request and the phase of its run. */
export interface GrantHold {
  readonly request: GrantRequest;
  readonly granted: Extract<GrantAnswer, { kind: "granted" }>;
  phase: HeldGrant["phase"];
}

/** Result of a grant request; null when no home answered. */
export type GrantOutcome =
  | { readonly kind: "granted"; readonly hold: GrantHold }
  | Extract<GrantAnswer, { kind: "refused" }>
  | null;

/** Options of {@link GrantsClient}. */
export interface GrantsClientOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
}

/** Client of the homes of pool shards; keeps the grants that this VM holds. */
export class GrantsClient {
  #context: VmContext;
  #options: GrantsClientOptions;
  #holds = new Set<GrantHold>();

  constructor(context: VmContext, options: GrantsClientOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Requests a grant from one shard after another while they refuse for lack of
   * capacity. Returns the last answer.
   */
  async requestGrant(request: GrantRequest): Promise<GrantOutcome> {
    let lastAnswer: GrantOutcome = null;
    for (const shard of this.#shardsFor(request)) {
      const shardRequest = { ...request, shard: shard.name };
      const answer = await this.#requestFromShard(
        shardRequest,
        shardHomeKey(shard),
      );
      lastAnswer = answer ?? lastAnswer;
      if (answer?.kind === "granted") return answer;
      if (answer && answer.reason !== "no-capacity") return answer;
    }
    return lastAnswer;
  }

  /** Withdraws a request that may still be pending. */
  withdraw(request: GrantRequest): void {
    for (const shard of this.#shardsFor(request)) {
      const home = this.#options.membership.homeOf(shardHomeKey(shard));
      this.#withdrawAt(home, request);
    }
  }

  /** Reports a run's progress; `ended` and `failed` release the grant. */
  reportProgress(hold: GrantHold, progress: GrantProgress): void {
    const isOver = progress.kind === "ended" || progress.kind === "failed";
    if (isOver && !this.#holds.delete(hold)) return;
    if (progress.kind === "prefillEnded") hold.phase = "transfer";
    if (progress.kind === "decodeStarted") hold.phase = "decode";
    void this.#sendProgress(hold, { progress, maxAttempts: isOver ? 2 : 1 });
  }

  /** Keeps a grant that was taken over from another owner. */
  takeOver(hold: GrantHold): void {
    this.#holds.add(hold);
  }

  /** Drops a grant that another owner has taken over, without releasing it. */
  handOver(hold: GrantHold): void {
    this.#holds.delete(hold);
  }

  /**
   * Registers the held grants again, as a new view may have changed their
   * homes.
   */
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
        timeoutMs: REPORT_TIMEOUT_MS,
      });
    }
  }

  async #requestFromShard(
    request: GrantRequest,
    homeKey: string,
  ): Promise<GrantOutcome> {
    for (
      const home of rankShardHomes(this.#options.membership, homeKey, MAX_HOMES)
    ) {
      const answer = await this.#requestFromHome(home, request);
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

  // A home may answer late, but only while it responds to liveness checks.
  async #requestFromHome(
    home: Member,
    request: GrantRequest,
  ): Promise<GrantAnswer | null> {
    const { peers } = this.#context.ports;
    const timeoutMs = Math.max(0, request.firstTokenInMs) + ANSWER_MARGIN_MS;
    const pendingAnswer = peers.call(home, "grants/request", {
      params: request,
      timeoutMs,
      fresh: true,
    });
    let answered = false;
    const answer = pendingAnswer.then((result) => {
      answered = true;
      return result.unwrapOr(null);
    });
    while (!answered) {
      await Promise.race([answer, wait(LIVENESS_INTERVAL_MS)]);
      if (answered) break;
      const incarnation = await fetchIncarnation(peers, home);
      if (!incarnation && !answered) return null;
    }
    return await answer;
  }

  async #sendProgress(
    hold: GrantHold,
    options: { progress: GrantProgress; maxAttempts: number },
  ): Promise<void> {
    const { request, granted } = hold;
    const { model, key } = request;
    for (let attempt = 1; attempt <= options.maxAttempts; attempt += 1) {
      const home = this.#homeOf(request);
      if (!home) return;
      const { progress } = options;
      const answer = await this.#context.ports.peers.call(
        home,
        "grants/progress",
        {
          params: { model, key, grant: granted.grant, progress },
          timeoutMs: REPORT_TIMEOUT_MS,
          fresh: attempt > 1,
        },
      );
      if (answer.isOk()) return;
    }
  }

  #withdrawAt(home: Member, { model, key }: GrantRequest): void {
    void this.#context.ports.peers.call(home, "grants/withdraw", {
      params: { model, key },
      timeoutMs: REPORT_TIMEOUT_MS,
      fresh: true,
    });
  }

  #homeOf(request: GrantRequest): Member | undefined {
    const shards = this.#shardsFor(request);
    const shard = shards.find((other) => other.name === request.shard) ??
      shards[0];
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
