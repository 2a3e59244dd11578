/**
 * Remembers where streams began, as a stream may only continue at the software
 * version that began it. The VM that relayed the first event may be gone when the
 * caller resumes the stream elsewhere, so each origin is also sent to one other VM
 * in each data centre, and recorded in the store.
 */
import { rankByRendezvous } from "../common/hash.ts";
import { wait } from "../common/wait.ts";
import type { DataCentre, ServiceName, VmId } from "../common/ids.ts";
import type { Member, MembershipView, VmState } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { OriginRecord } from "./origin_record.ts";
import type { AttemptId, SoftwareVersion } from "./types.ts";

/** Longer than callers take to resume a stream, within their deadlines. */
export const ORIGIN_RETENTION_MS = 60_000;
/** Maximum origins that a VM keeps. */
const MAX_ORIGINS = 20_000;
/**
 * VMs asked in each data centre: the one that has the origin is the first in the
 * ranking, or the second if the first one relayed the stream.
 */
const ASKED_PER_DATA_CENTRE = 2;
/** A peer answers within a few milliseconds; a caller waits while origins are looked up. */
const PEER_TIMEOUT_MS = 250;
/** Time without an origin after which all VMs are asked, of which one may have relayed the stream. */
const OTHERS_DELAY_MS = 50;
/** Maximum of further VMs asked for one stream. */
const MAX_OTHERS = 64;

/** Service and software version of the endpoint that began a stream. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
}

/** Records and finds the origins of streams, by the attempt that brought the first event. */
export interface StreamOrigins {
  note(attempt: AttemptId, origin: StreamOrigin): void;
  /** Resolves with null if neither a reachable VM nor the store knows the origin. */
  find(attempt: AttemptId): Promise<StreamOrigin | null>;
  /** Where a stream of unknown origin may have begun; null if that isn't known. */
  possibleOrigins(): readonly StreamOrigin[] | null;
  /**
   * Adds to {@link possibleOrigins} what this VM may have missed until `sinceMs`; false
   * if that can't be found out.
   */
  confirmPossible(sinceMs: number): Promise<boolean>;
}

/** Options of {@link OriginMemory}. */
export interface OriginMemoryOptions {
  /** Maximum origins kept; the oldest are dropped first. */
  maxOrigins?: number;
}

/** The origins that one VM keeps. */
export class OriginMemory {
  #origins = new Map<AttemptId, { origin: StreamOrigin; notedAtMs: number }>();
  #maxOrigins: number;

  constructor({ maxOrigins = MAX_ORIGINS }: OriginMemoryOptions = {}) {
    this.#maxOrigins = maxOrigins;
  }

  note(attempt: AttemptId, origin: StreamOrigin): void {
    this.#origins.delete(attempt);
    this.#origins.set(attempt, { origin, notedAtMs: performance.now() });
    this.#deleteOldest();
  }

  get(attempt: AttemptId): StreamOrigin | null {
    const known = this.#origins.get(attempt);
    return known && known.notedAtMs >= performance.now() - ORIGIN_RETENTION_MS
      ? known.origin
      : null;
  }

  /** Returns all origins that are kept, oldest first. */
  all(): Map<AttemptId, StreamOrigin> {
    return new Map(
      [...this.#origins].map(([attempt, { origin }]) => [attempt, origin]),
    );
  }

  #deleteOldest(): void {
    const expiredMs = performance.now() - ORIGIN_RETENTION_MS;
    for (const [attempt, { notedAtMs }] of this.#origins) {
      const excess = this.#origins.size > this.#maxOrigins;
      if (notedAtMs >= expiredMs && !excess) return;
      this.#origins.delete(attempt);
    }
  }
}

/** Options of {@link SharedOrigins}. */
export interface SharedOriginsOptions {
  membership: Pick<MembershipView, "self" | "members">;
  peers: PeerPort;
  record: Pick<
    OriginRecord,
    "note" | "get" | "find" | "possibleOrigins" | "confirmPossible"
  >;
}

interface OriginQuestion {
  readonly attempt: AttemptId;
  readonly timeoutMs: number;
}

/** Origins that are kept at this VM and at others. */
export class SharedOrigins implements StreamOrigins {
  /** Peer methods that serve the origins kept at this VM. */
  readonly handlers: OriginHandlers;
  #options: SharedOriginsOptions;
  #memory = new OriginMemory();

  constructor(options: SharedOriginsOptions) {
    this.#options = options;
    this.handlers = createOriginHandlers(this.#memory);
  }

  note(attempt: AttemptId, origin: StreamOrigin): void {
    const { membership, peers, record } = this.#options;
    this.#memory.note(attempt, origin);
    record.note(attempt, origin);
    for (const ranked of this.#rankByDataCentre(attempt, ["live"])) {
      const keeper = ranked.find(({ id }) => id !== membership.self.id);
      if (!keeper) continue;
      void peers.call(keeper, "routing/note-origin", {
        params: { attempt, origin },
        timeoutMs: PEER_TIMEOUT_MS,
      });
    }
  }

  /** Resolves with the first origin that a VM returns, or else with the recorded one. */
  async find(attempt: AttemptId): Promise<StreamOrigin | null> {
    const { record } = this.#options;
    return this.#memory.get(attempt) ?? record.get(attempt) ??
      await this.#askPeers(attempt) ?? await record.find(attempt);
  }

  possibleOrigins(): readonly StreamOrigin[] | null {
    return this.#options.record.possibleOrigins();
  }

  confirmPossible(sinceMs: number): Promise<boolean> {
    return this.#options.record.confirmPossible(sinceMs);
  }

  // The VMs that should have the origin may have ended or left since it was noted.
  async #askPeers(attempt: AttemptId): Promise<StreamOrigin | null> {
    const ranked = this.#rankByDataCentre(attempt, ["live", "leaving"]);
    const keepers = this.#askAll(
      ranked.flatMap((members) => members.slice(0, ASKED_PER_DATA_CENTRE)),
      { attempt, timeoutMs: PEER_TIMEOUT_MS },
    );
    const early = await Promise.race([keepers, wait(OTHERS_DELAY_MS)]);
    if (early) return early;
    const others = this.#askAll(
      ranked.flatMap((members) => members.slice(ASKED_PER_DATA_CENTRE))
        .slice(0, MAX_OTHERS),
      { attempt, timeoutMs: PEER_TIMEOUT_MS - OTHERS_DELAY_MS },
    );
    return await findFirst([keepers, others]);
  }

  #askAll(members: readonly Member[], ask: OriginQuestion) {
    const { self } = this.#options.membership;
    return findFirst(
      members.filter(({ id }) => id !== self.id)
        .map((member) => this.#ask(member, ask)),
    );
  }

  async #ask(
    member: Member,
    { attempt, timeoutMs }: OriginQuestion,
  ): Promise<StreamOrigin | null> {
    const { peers } = this.#options;
    const answer = await peers.call(member, "routing/find-origin", {
      params: { attempt },
      timeoutMs,
    });
    return answer.isOk() ? answer.value.origin : null;
  }

  // The VMs of each data centre, in the order of rendezvous hashing.
  #rankByDataCentre(
    attempt: AttemptId,
    states: readonly VmState[],
  ): Member[][] {
    const byDataCentre = new Map<DataCentre, Map<VmId, Member>>();
    for (const member of this.#options.membership.members()) {
      if (!states.includes(member.state)) continue;
      const members = byDataCentre.get(member.dataCentre) ?? new Map();
      byDataCentre.set(member.dataCentre, members.set(member.id, member));
    }
    return [...byDataCentre.values()].map((members) =>
      rankByRendezvous(attempt, [...members.keys()])
        .map((id) => members.get(id)!)
    );
  }
}

// Resolves with the first origin, or with null once there is none in all answers.
function findFirst(
  answers: readonly Promise<StreamOrigin | null>[],
): Promise<StreamOrigin | null> {
  return new Promise((resolve) => {
    for (const answer of answers) {
      void answer.then((origin) => origin && resolve(origin));
    }
    void Promise.all(answers).then(() => resolve(null));
  });
}

/** Peer methods for origins. */
export interface OriginHandlers {
  /** Keeps the origin of a stream that began at the calling VM. */
  "routing/note-origin": (
    params: { attempt: AttemptId; origin: StreamOrigin },
  ) => null;
  /** Returns the origin of a stream, or null if it isn't kept here. */
  "routing/find-origin": (
    params: { attempt: AttemptId },
  ) => { origin: StreamOrigin | null };
}

/** Creates the peer methods for origins, backed by a VM's memory. */
export function createOriginHandlers(memory: OriginMemory): OriginHandlers {
  return {
    "routing/note-origin": ({ attempt, origin }) => {
      memory.note(attempt, origin);
      return null;
    },
    "routing/find-origin": ({ attempt }) => ({ origin: memory.get(attempt) }),
  };
}
