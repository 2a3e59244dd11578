/** Convictions as rows of the table service, so that a new VM learns of them. */
import type { Json, PlatformPort } from "../ports/platform.ts";
import type { QuarantineRow } from "./types.ts";

/** The table of convictions, by hash. */
export const QUARANTINE_TABLE = "convictions";
const SCAN_LIMIT = 500;

/** Writes a conviction; false when the table service did not confirm it. */
export async function writeQuarantine(
  platform: PlatformPort,
  conviction: QuarantineRow,
): Promise<boolean> {
  const written = await platform.transact([{
    table: QUARANTINE_TABLE,
    key: conviction.hash,
    expect: { kind: "any" },
    value: conviction as unknown as Json,
  }]);
  return written.isOk();
}

/** Reads all convictions that still stand, and deletes those that are over. */
export async function readQuarantines(
  platform: PlatformPort,
): Promise<QuarantineRow[]> {
  const standing: QuarantineRow[] = [];
  let after: string | undefined;
  for (;;) {
    const rows = await platform.scan(QUARANTINE_TABLE, "", {
      limit: SCAN_LIMIT,
      after,
    });
    if (rows.isErr()) return standing;
    for (const row of rows.value) {
      const conviction = row.value as unknown as QuarantineRow;
      if (conviction.untilMs > Date.now()) standing.push(conviction);
      else await deleteRow(platform, row);
    }
    if (rows.value.length < SCAN_LIMIT) return standing;
    after = rows.value.at(-1)?.key;
  }
}

async function deleteRow(
  platform: PlatformPort,
  row: { key: string; version: number },
): Promise<void> {
  await platform.transact([{
    table: QUARANTINE_TABLE,
    key: row.key,
    expect: { kind: "version", version: row.version },
    value: null,
  }]);
}
