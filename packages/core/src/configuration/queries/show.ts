/** Reads the configuration of a given version. */
import { err, ok, type Result } from "neverthrow";
import type { PlatformPort, StoreFailure } from "../../ports/platform.ts";
import { fetchBodies } from "../bodies.ts";
import { readHistoryEntry } from "../store.ts";
import type { Configuration } from "../types.ts";

/** Reads the configuration of one version; null if the version doesn't exist. */
export async function showVersion(
  platform: PlatformPort,
  options: { version: number; held: Configuration | null },
): Promise<Result<Configuration | null, StoreFailure>> {
  const { version, held } = options;
  if (held?.head.version === version) return ok(held);
  const entry = await readHistoryEntry(platform, version);
  if (entry.isErr()) return err(entry.error);
  if (!entry.value) return ok(null);
  return await fetchBodies(platform, { head: entry.value.head, held });
}
