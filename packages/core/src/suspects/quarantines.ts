/**
 * Stores quarantined bodies as rows of the table service, from which a new VM loads
 * them.
 */
import type { Json, PlatformPort, Row } from "../ports/platform.ts";
import type { QuarantineRow } from "./types.ts";

/** The table of quarantined bodies, keyed by hash. */
export const QUARANTINE_TABLE = "convictions";
const SCAN_LIMIT = 500;

/** Writes a quarantine row; returns false when the table service did not confirm it. */
export async function writeQuarantine(
  platform: PlatformPort,
  quarantine: QuarantineRow,
): Promise<boolean> {
  const written = await platform.transact([{
    table: QUARANTINE_TABLE,
    key: quarantine.hash,
    expect: { kind: "any" },
    value: quarantine as unknown as Json,
  }]);
  return written.isOk();
}

/**
 * Reads all quarantine rows that have not expired, and deletes the expired ones. If
 * the table service fails part-way, returns the rows read until then.
 */
export async function readQuarantines(
  platform: PlatformPort,
): Promise<QuarantineRow[]> {
  const active: QuarantineRow[] = [];
  let after: string | undefined;
  for (;;) {
    const rows = await platform.scan(QUARANTINE_TABLE, "", {
      limit: SCAN_LIMIT,
      after,
    });
    if (rows.isErr()) return active;
    for (const row of rows.value) {
      const quarantine = row.value as unknown as QuarantineRow;
      if (quarantine.untilMs > Date.now()) active.push(quarantine);
      else await deleteRow(platform, row);
    }
    if (rows.value.length < SCAN_LIMIT) return active;
    after = rows.value.at(-1)?.key;
  }
}

async function deleteRow(
  platform: PlatformPort,
  row: Pick<Row, "key" | "version">,
): Promise<void> {
  await platform.transact([{
    table: QUARANTINE_TABLE,
    key: row.key,
    expect: { kind: "version", version: row.version },
    value: null,
  }]);
}
