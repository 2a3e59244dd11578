/** Lists the history of committed versions. */
import { err, ok, type Result } from "neverthrow";
import type { PlatformPort, StoreFailure } from "../../ports/platform.ts";
import { readHead, readHistory } from "../store.ts";
import type { HistoryEntry } from "../types.ts";

const MAX_ENTRIES = 500;

/** Lists up to `limit` (at most 500) committed versions, newest first. */
export async function listHistory(
  platform: PlatformPort,
  options: { limit: number },
): Promise<Result<HistoryEntry[], StoreFailure>> {
  const row = await readHead(platform);
  if (row.isErr()) return err(row.error);
  const limit = Math.min(options.limit, MAX_ENTRIES);
  const after = Math.max(0, row.value.head.version - limit);
  const entries = await readHistory(platform, { after, limit });
  return entries.andThen((oldestFirst) => ok(oldestFirst.reverse()));
}
