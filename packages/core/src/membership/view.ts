/** The local table of VMs, with the members, homes and view hash derived from it. */
import { hash48 } from "../common/hash.ts";
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

/** Status that this VM announces of itself. */
export interface OwnStatus {
  readonly statusVersion: number;
  readonly announced: "live" | "leaving";
}

/** Decisions of membership that tests can replace. */
export interface MembershipPolicies {
  /** Whether a leaving VM can be the home of a key. */
  readonly homeWhileLeaving: boolean;
}

/** The policies in use outside tests. */
export const DEFAULT_MEMBERSHIP_POLICIES: MembershipPolicies = {
  homeWhileLeaving: false,
};

/** Keeps the records of VMs and notifies listeners when the view changes. */
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
    // Wall-clock time gives each start of a VM a higher version than the one before.
    // If the clock was set back, refuting the old status raises the version above it.
    this.#own = { statusVersion: Date.now(), announced: "live" };
  }

  get own(): OwnStatus {
    return this.#own;
  }

  /** Sets the status of this VM; listeners are notified if its state changed. */
  announce(own: OwnStatus): void {
    const stateChanged = own.announced !== this.#own.announced;
    this.#own = own;
    this.invalidate({ visible: stateChanged });
  }

  /** Discards all derived data; listeners are notified of visible changes only. */
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
      this.members().filter((member) => this.#canBeHome(member)),
    );
    return this.#ranking.homeOf(key) ?? this.#ownMember();
  }

  /** Returns a 32-bit hash, equal on VMs whose views agree; dead VMs are left out. */
  hash(): number {
    if (this.#hash !== undefined) return this.#hash;
    let hash = 0;
    const { statusVersion, announced } = this.#own;
    hash ^= entryHash([this.self.id, statusVersion, announced]);
    for (const record of this.records.values()) {
      if (record.state === "dead") continue;
      const { id, statusVersion, state } = record.toUpdate({
        withPlace: false,
      });
      hash ^= entryHash([id, statusVersion, state]);
    }
    this.#hash = hash >>> 0;
    return this.#hash;
  }

  #canBeHome(member: Member): boolean {
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

function entryHash(fields: readonly (string | number)[]): number {
  return hash48(fields.join("/")) | 0;
}
