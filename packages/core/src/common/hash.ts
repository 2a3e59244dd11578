/** Hash functions, and rendezvous hashing on top of them. */
import { createHash } from "node:crypto";
import { asId, type Digest } from "./ids.ts";

/** Returns the SHA-256 digest of a text in UTF-8, in lower-case hexadecimal. */
export function digest(text: string): Digest {
  return asId(createHash("sha256").update(text).digest("hex"));
}

/** Returns the first 48 bits of a text's SHA-1 digest as a number. */
export function hash48(text: string): number {
  return createHash("sha1").update(text).digest().readUIntBE(0, 6);
}

/**
 * Mixes the bits of a 32-bit number with the finalizer of MurmurHash3, which
 * costs less than a digest. Returns an unsigned 32-bit number.
 */
export function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders candidates by rendezvous hashing, best first. The first candidate is
 * the key's home; removing another candidate leaves the home unchanged.
 */
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
