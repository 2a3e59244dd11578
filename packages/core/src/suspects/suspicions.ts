/** Suspicions as rows of the table service: they hold where VMs can't reach each other. */
import type { Json, PlatformPort, Row } from "../ports/platform.ts";
import type { EndpointId } from "../common/ids.ts";
import type { SuspectHash, SuspectRun, SuspectRunId } from "./types.ts";

/** The table of suspicions, by hash. */
export const SUSPICIONS_TABLE = "suspicions";
/** A body that was in flight at so many crashes without ever finishing is refused. */
export const MAX_CRASHES = 3;
const CALL_TIMEOUT_MS = 250;
const WRITE_ATTEMPTS = 5;
/** Reports of one replica's crash that come closer together tell of the same crash. */
const SAME_CRASH_MS = 2_000;
/** How long a run alone keeps others away if its owner never ends it. */
const ALONE_LIMIT_MS = 120_000;

/** One crash that a body was in flight at. */
export interface CrashRecord {
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

/** The row of a suspicion. */
export interface SuspicionRow {
  readonly hash: SuspectHash;
  readonly losses: readonly CrashRecord[];
  readonly convicted: boolean;
  /** When it is forgotten, on the clock of `Date.now`. */
  readonly untilMs: number;
  /** The run alone that is under way. */
  readonly alone: {
    readonly run: SuspectRunId;
    readonly untilMs: number;
  } | null;
}

/** What the table says of a run alone; `unreachable` says nothing. */
export type LockOutcome = "locked" | "busy" | "convicted" | "unreachable";

/** Whether a row refuses its body outright. */
export function isQuarantined(row: SuspicionRow): boolean {
  return row.convicted || row.losses.length >= MAX_CRASHES;
}

/** Reads a suspicion that still stands; null where there is none or the table doesn't answer. */
export async function readSuspicion(
  platform: PlatformPort,
  hash: SuspectHash,
): Promise<SuspicionRow | null> {
  return standing(await readRow(platform, hash));
}

/** Adds a crash to a body's row. */
export async function recordCrash(
  platform: PlatformPort,
  crash: { run: SuspectRun; endpoint: EndpointId; untilMs: number },
): Promise<void> {
  const { run, untilMs } = crash;
  const loss: CrashRecord = { endpoint: crash.endpoint, atMs: Date.now() };
  await update(platform, run.hash, (found) => {
    const before = found ?? newRow(run.hash, untilMs);
    return {
      ...before,
      untilMs,
      losses: addLoss(before.losses, loss),
      convicted: before.convicted || run.alone,
      alone: withoutRun(before, run.id),
    };
  });
}

/** Takes the one place that a suspect has to run. */
export async function lockIsolatedRun(
  platform: PlatformPort,
  run: SuspectRun,
  untilMs: number,
): Promise<LockOutcome> {
  let outcome: LockOutcome = "unreachable";
  const written = await update(platform, run.hash, (found) => {
    const before = found ?? newRow(run.hash, untilMs);
    const isTaken = before.alone !== null && before.alone.run !== run.id &&
      before.alone.untilMs > Date.now();
    outcome = isQuarantined(before) ? "convicted" : isTaken ? "busy" : "locked";
    if (outcome !== "locked") return "unchanged";
    const alone = { run: run.id, untilMs: Date.now() + ALONE_LIMIT_MS };
    return { ...before, alone };
  });
  return written ? outcome : "unreachable";
}

/** Gives the place back after a run that proved nothing. */
export async function unlockIsolatedRun(
  platform: PlatformPort,
  run: SuspectRun,
): Promise<void> {
  await update(platform, run.hash, (found) => {
    if (found?.alone?.run !== run.id) return "unchanged";
    return { ...found, alone: null };
  });
}

/** Forgets a suspicion, as the body finished. */
export async function clearSuspicion(
  platform: PlatformPort,
  run: SuspectRun,
): Promise<void> {
  await update(platform, run.hash, (found) => found ? null : "unchanged");
}

type Change = (
  found: SuspicionRow | null,
) => SuspicionRow | null | "unchanged";

async function update(
  platform: PlatformPort,
  hash: SuspectHash,
  change: Change,
): Promise<boolean> {
  for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
    const row = await readRow(platform, hash);
    if (row === "failed") continue;
    const next = change(standing(row));
    if (next === "unchanged") return true;
    const written = await platform.transact([{
      table: SUSPICIONS_TABLE,
      key: hash,
      expect: row
        ? { kind: "version", version: row.version }
        : { kind: "absent" },
      value: next as unknown as Json,
    }], { timeoutMs: CALL_TIMEOUT_MS });
    if (written.isOk() && written.value.kind === "committed") return true;
  }
  return false;
}

async function readRow(
  platform: PlatformPort,
  hash: SuspectHash,
): Promise<Row | null | "failed"> {
  const read = await platform.read(SUSPICIONS_TABLE, hash, {
    timeoutMs: CALL_TIMEOUT_MS,
  });
  return read.isOk() ? read.value : "failed";
}

function standing(row: Row | null | "failed"): SuspicionRow | null {
  if (row === null || row === "failed") return null;
  const suspicion = row.value as unknown as SuspicionRow;
  return suspicion.untilMs > Date.now() ? suspicion : null;
}

function newRow(hash: SuspectHash, untilMs: number): SuspicionRow {
  return { hash, losses: [], convicted: false, untilMs, alone: null };
}

function addLoss(
  losses: readonly CrashRecord[],
  loss: CrashRecord,
): readonly CrashRecord[] {
  const isKnown = losses.some((one) =>
    one.endpoint === loss.endpoint &&
    Math.abs(one.atMs - loss.atMs) < SAME_CRASH_MS
  );
  return isKnown ? losses : [...losses, loss];
}

function withoutRun(row: SuspicionRow, run: SuspectRunId) {
  return row.alone?.run === run ? null : row.alone;
}
