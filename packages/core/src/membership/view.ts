/** The table of VMs that one VM keeps, with what is derived from it. */
import { hashNumber } from "../common/hash.ts";
import type { VmId } from "../common/ids.ts";
import { HomeRanking } from "./queries/home.ts";
import type { MemberRecord } from "./record.ts";
import type {
  Member,
  MembershipView,
  ViewChanges,
  ViewListener,
  VmIdentity,
} from "./types.ts";

/** What this VM announces of itself. */
export interface OwnStatus {
  readonly statusVersion: number;
  readonly announced: "live" | "leaving";
}

/** Parts of membership that tests can replace. */
export interface MembershipPolicies {
  /** Whether a leaving VM stays home. */
  readonly homeWhileLeaving: boolean;
}

/** Membership as it should be. */
export const DEFAULT_MEMBERSHIP_POLICIES: MembershipPolicies = {
  homeWhileLeaving: false,
};

/** Keeps records of VMs and tells listeners when the view changes. */
export class MemberTable implements MembershipView, ViewChanges {
  readonly self: VmIdentity;
  readonly records = new Map<VmId, MemberRecord>();
  #own: OwnStatus;
  #policies: MembershipPolicies;
  #listeners = new Set<ViewListener>();
  #members: readonly Member[] | undefined;
  #ranking: HomeRanking | undefined;
  #hash: number | undefined;

  constructor(self: VmIdentity, policies: MembershipPolicies) {
    this.self = self;
    this.#policies = policies;
    // Wall time orders the starts of one VM; a clock set back is mended by refutation.
    this.#own = { statusVersion: Date.now(), announced: "live" };
  }

  get own(): OwnStatus {
    return this.#own;
  }

  /** Sets what this VM announces. */
  announce(own: OwnStatus): void {
    const moved = own.announced !== this.#own.announced;
    this.#own = own;
    this.invalidate({ visible: moved });
  }

  /** Drops what is derived; listeners are told of visible changes only. */
  invalidate(options: { visible: boolean }): void {
    this.#hash = undefined;
    this.#members = undefined;
    this.#ranking = undefined;
    if (!options.visible) return;
    const members = this.members();
    for (const listener of [...this.#listeners]) listener(members);
  }

  onChange(listener: ViewListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  members(): readonly Member[] {
    this.#members ??= [
      this.#ownMember(),
      ...[...this.records.values()].map((record) => record.toMember()),
    ];
    return this.#members;
  }

  member(id: VmId): Member | undefined {
    return id === this.self.id
      ? this.#ownMember()
      : this.records.get(id)?.toMember();
  }

  homeOf(key: string): Member {
    this.#ranking ??= new HomeRanking(
      this.members().filter((member) => this.#mayBeHome(member)),
    );
    return this.#ranking.homeOf(key) ?? this.#ownMember();
  }

  /** A number that is the same on VMs whose views agree. */
  hash(): number {
    if (this.#hash !== undefined) return this.#hash;
    let hash = 0;
    const { statusVersion, announced } = this.#own;
    hash ^= lineHash([this.self.id, statusVersion, announced]);
    for (const record of this.records.values()) {
      if (record.state === "dead") continue;
      const { id, statusVersion, state } = record.toUpdate({
        withPlace: false,
      });
      hash ^= lineHash([id, statusVersion, state]);
    }
    this.#hash = hash >>> 0;
    return this.#hash;
  }

  #mayBeHome(member: Member): boolean {
    if (member.region !== this.self.region) return false;
    const record = this.records.get(member.id);
    if (record && !record.reachable) return false;
    return member.state === "live" ||
      (member.state === "leaving" && this.#policies.homeWhileLeaving);
  }

  #ownMember(): Member {
    return { ...this.self, state: this.#own.announced };
  }
}

function lineHash(parts: readonly (string | number)[]): number {
  return hashNumber(parts.join("/")) | 0;
}
