/** Client of the homes of summary keys and of other owners of summaries. */
import type { Member, MembershipView } from "../membership/types.ts";
import type { PeerRef } from "../ports/peers.ts";
import type { ConfigurationView } from "../configuration/task.ts";
import { planShards, shardHomeKey } from "../grants/queries/choose_shard.ts";
import { rankHomes, rankShardHomes } from "../reports/homes.ts";
import type { ModelName, RequestKey } from "../common/ids.ts";
import { mayHaveRun, notRun, type Refusal } from "../common/verdict.ts";
import type { VmContext } from "../vm/types.ts";
import type { HandoverParams, ListedRun, RegisterAnswer } from "./app.ts";
import { engineKey, summaryHomeKey } from "./keys.ts";
import type { Registration, RunLocation } from "./types.ts";

const REUSED_CONNECTION_TIMEOUT_MS = 150;
const NEW_CONNECTION_TIMEOUT_MS = 300;
/**
 * How often load reports are searched for a run, as it may appear in them only
 * some polls after its start.
 */
const LOCATE_ATTEMPTS = 4;
const LOCATE_INTERVAL_MS = 700;
/** Number of homes asked per key: its home and the next one in rank. */
const MAX_HOMES = 2;

/** Result of a claim of a key. */
export type Claim =
  | { readonly kind: "new"; readonly epoch: number }
  | {
    readonly kind: "located";
    readonly epoch: number;
    readonly run: RunLocation;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Options of {@link Registrar}. */
export interface RegistrarOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
}

/** Options of {@link Registrar.claim}. */
export interface ClaimOptions {
  fromOffset: number;
  model: ModelName;
  /** Whether the newest connection takes over a run of another VM. */
  takesOver: () => boolean;
}

/** Finds, claims and updates registrations at the homes of their keys. */
export class Registrar {
  #context: VmContext;
  #options: RegistrarOptions;

  constructor(context: VmContext, options: RegistrarOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Claims a key for this VM and takes over its run from another owner. When no
   * owner is known, a request for the whole answer gets a new run; one that
   * resumes takes over a run that load reports list, or is refused.
   */
  async claim(wanted: Registration, options: ClaimOptions): Promise<Claim> {
    const answer = await this.register(wanted, false);
    if (answer?.kind === "exists" && options.takesOver()) {
      return await this.#takeOver(wanted, {
        ...options,
        held: answer.registration,
      });
    }
    if (options.fromOffset === 0) return { kind: "new", epoch: wanted.epoch };
    return await this.#takeOverListedRun(wanted, options);
  }

  /**
   * Registers at the key's home, or else the next one; null when none answers.
   */
  async register(
    registration: Registration,
    takeOver: boolean,
  ): Promise<RegisterAnswer | null> {
    const [home, next] = this.#homesOf(registration.key);
    return await this.#registerAt(home!, { registration, takeOver }) ??
      (next ? await this.#registerAt(next, { registration, takeOver }) : null);
  }

  /**
   * Registers again at both homes. Returns `exists` when either has a newer
   * owner, and null when neither answers.
   */
  async verify(registration: Registration): Promise<RegisterAnswer | null> {
    const answers = await Promise.all(
      this.#homesOf(registration.key).map((home) =>
        this.#registerAt(home, { registration, takeOver: true })
      ),
    );
    return answers.find((answer) => answer?.kind === "exists") ??
      answers.find((answer) => answer !== null) ?? null;
  }

  /** Asks an owner to hand over its run; null when it doesn't answer. */
  async requestHandover(
    owner: PeerRef,
    params: HandoverParams,
  ): Promise<{ registration: Registration | null } | null> {
    const answer = await this.#context.ports.peers.call(
      owner,
      "summaries/hand-over",
      { params, timeoutMs: NEW_CONNECTION_TIMEOUT_MS, fresh: true },
    );
    return answer.unwrapOr(null);
  }

  /** Finds a key's registration at its homes; null when there is none. */
  async find(key: RequestKey): Promise<Registration | null> {
    for (const home of this.#homesOf(key)) {
      const answer = await this.#context.ports.peers.call(
        home,
        "summaries/find",
        { params: { key }, timeoutMs: NEW_CONNECTION_TIMEOUT_MS, fresh: true },
      );
      if (answer.isOk() && answer.value.registration) {
        return answer.value.registration;
      }
    }
    return null;
  }

  async #takeOver(
    wanted: Registration,
    options: ClaimOptions & { held: Registration },
  ): Promise<Claim> {
    const { held, fromOffset } = options;
    if (held.bodyDigest !== wanted.bodyDigest) {
      return { kind: "refused", refusal: notRun("key-reused") };
    }
    const epoch = Math.max(held.epoch + 1, wanted.epoch);
    const run = held.state === "answered"
      ? held.run
      : await this.#requestRun(held, epoch);
    if (!run && fromOffset > 0) return refuseAsNotFound();
    const answer = await this.register({ ...wanted, epoch, run }, true);
    if (answer?.kind === "exists") {
      return { kind: "refused", refusal: mayHaveRun("superseded") };
    }
    return run ? { kind: "located", epoch, run } : { kind: "new", epoch };
  }

  async #requestRun(
    held: Registration,
    epoch: number,
  ): Promise<RunLocation | null> {
    const owner = this.#options.membership.member(held.owner.vm);
    if (!owner) return held.run;
    const handover = await this.requestHandover(owner, {
      key: held.key,
      epoch,
    });
    return handover?.registration ? handover.registration.run : held.run;
  }

  // The home has no registration, for example after it crashed; load reports
  // may still list the run.
  async #takeOverListedRun(
    wanted: Registration,
    options: ClaimOptions,
  ): Promise<Claim> {
    const { model } = options;
    for (let attempt = 1; attempt <= LOCATE_ATTEMPTS; attempt += 1) {
      const listedRun = await this.#locateRun(wanted, model);
      if (listedRun) {
        const { stream, owner, decode } = listedRun;
        const run = { stream, prefill: null, decode };
        const held = { ...wanted, owner, run };
        return await this.#takeOver(wanted, { ...options, held });
      }
      await new Promise((resolve) => setTimeout(resolve, LOCATE_INTERVAL_MS));
    }
    return refuseAsNotFound();
  }

  async #locateRun(
    wanted: Registration,
    model: ModelName,
  ): Promise<ListedRun | null> {
    const params = { engineKey: engineKey(wanted.key, wanted.bodyDigest) };
    const { configuration, membership } = this.#options;
    const endpoints = configuration.current()?.bodies.endpoints ?? [];
    const homes = planShards(endpoints, { model }).flatMap((shard) =>
      rankShardHomes(membership, shardHomeKey(shard), MAX_HOMES)
    );
    for (const home of homes) {
      const answer = await this.#context.ports.peers.call(
        home,
        "summaries/locate",
        { params, timeoutMs: NEW_CONNECTION_TIMEOUT_MS, fresh: true },
      );
      if (answer.isOk() && answer.value.run) return answer.value.run;
    }
    return null;
  }

  async #registerAt(
    home: PeerRef,
    params: { registration: Registration; takeOver: boolean },
  ): Promise<RegisterAnswer | null> {
    const { peers } = this.#context.ports;
    for (const fresh of [false, true]) {
      const answer = await peers.call(home, "summaries/register", {
        params,
        timeoutMs: fresh
          ? NEW_CONNECTION_TIMEOUT_MS
          : REUSED_CONNECTION_TIMEOUT_MS,
        fresh,
      });
      if (answer.isOk()) return answer.value;
    }
    return null;
  }

  #homesOf(key: RequestKey): Member[] {
    return rankHomes(this.#options.membership, summaryHomeKey(key), MAX_HOMES);
  }
}

function refuseAsNotFound(): Claim {
  const detail =
    "Nothing is kept of this request; send it again without Last-Event-ID";
  return { kind: "refused", refusal: notRun("not-found", { detail }) };
}
