/** Finds the workspace of a key by its digest. */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import { asId, type Digest } from "../../common/ids.ts";
import type { RoutingWorkspace } from "./types.ts";

const DIGEST_BYTES = 32;
const NO_DIGEST = Buffer.alloc(DIGEST_BYTES);

interface IndexedKey {
  readonly workspace: RoutingWorkspace;
  readonly digestBytes: Buffer;
}

/** Indexes the keys of workspaces; the cost of a lookup doesn't grow with their number. */
export class KeyIndex {
  #keys: ReadonlyMap<Digest, IndexedKey>;

  constructor(workspaces: readonly RoutingWorkspace[]) {
    this.#keys = new Map(
      workspaces.flatMap((workspace) =>
        workspace.keyDigests.map((keyDigest) =>
          [keyDigest, {
            workspace,
            digestBytes: Buffer.from(keyDigest, "hex"),
          }] as const
        )
      ),
    );
  }

  /** Returns the workspace of a key, or null if no workspace has it. */
  find(keyDigest: Digest): RoutingWorkspace | null {
    // The time of the lookup depends on digests alone, which a caller can't choose, and
    // the comparison takes the same time whether or not the key is known.
    const known = this.#keys.get(keyDigest);
    const bytes = Buffer.alloc(DIGEST_BYTES);
    bytes.write(keyDigest, "hex");
    const isSame = timingSafeEqual(known?.digestBytes ?? NO_DIGEST, bytes);
    return known && isSame ? known.workspace : null;
  }
}

/** Returns the digest of a key, given as a text or as the bytes that a caller sent. */
export function digestOfKey(key: string | Uint8Array): Digest {
  return asId(createHash("sha256").update(key).digest("hex"));
}
