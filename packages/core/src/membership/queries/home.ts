/**
 * Finds a key's home, the VM that rendezvous hashing picks for it; fast enough to
 * run for every request.
 */
import { hash48, mix32 } from "../../common/hash.ts";
import type { Member } from "../types.ts";

const MAX_CACHED_KEYS = 10_000;

interface Candidate {
  readonly member: Member;
  readonly hash: number;
}

/** Maps keys to the VMs of one view. A changed view needs a new ranking. */
export class HomeRanking {
  #candidates: readonly Candidate[];
  #cache = new Map<string, Member>();

  constructor(members: readonly Member[]) {
    this.#candidates = members
      .map((member) => ({ member, hash: hash48(member.id) | 0 }))
      .sort((a, b) => (a.member.id < b.member.id ? -1 : 1));
  }

  /** Returns a key's home; undefined if there are no candidates. */
  homeOf(key: string): Member | undefined {
    const cached = this.#cache.get(key);
    if (cached) return cached;
    const home = this.#findBest(hash48(key) | 0);
    if (!home) return undefined;
    if (this.#cache.size >= MAX_CACHED_KEYS) this.#cache.clear();
    this.#cache.set(key, home);
    return home;
  }

  #findBest(keyHash: number): Member | undefined {
    let best: Member | undefined;
    let bestScore = -1;
    for (const { member, hash } of this.#candidates) {
      const score = mix32(keyHash ^ hash);
      if (score <= bestScore) continue;
      best = member;
      bestScore = score;
    }
    return best;
  }
}
