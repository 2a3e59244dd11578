/** Hashing over Node's own crypto. */
import { createHash } from "node:crypto";
import { asId, type Digest } from "./ids.ts";

/** Returns the SHA-256 digest of a text. */
export function digest(text: string): Digest {
  return asId(createHash("sha256").update(text).digest("hex"));
}

/** Returns a 48-bit number that spreads evenly over texts. */
export function hash48(text: string): number {
  return createHash("sha1").update(text).digest().readUIntBE(0, 6);
}

/**
 * Spreads every bit of a 32-bit number over the output, without the cost of a
 * digest: the finalizer of MurmurHash3.
 */
export function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Orders candidates by rendezvous hashing: the first is the key's home. */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hash48(`${key}\n${candidate}`),
    }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map((scored) => scored.candidate);
}
