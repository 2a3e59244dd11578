/** Hashing over Node's own crypto. */
import { createHash } from "node:crypto";
import { asId, type Digest } from "./ids.ts";

/** Returns the SHA-256 digest of a text. */
export function digest(text: string): Digest {
  return asId(createHash("sha256").update(text).digest("hex"));
}

/** Returns a 48-bit number that spreads evenly over texts. */
export function hashNumber(text: string): number {
  return createHash("sha1").update(text).digest().readUIntBE(0, 6);
}

/** Orders candidates by rendezvous hashing: the first is the key's home. */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hashNumber(`${key}\n${candidate}`),
    }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map((scored) => scored.candidate);
}
