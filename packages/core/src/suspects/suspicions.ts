/**
 * Stores suspicions as rows of the table service, through which even VMs that can't
 * reach each other share them.
 */
import type { Json, PlatformPort, Row } from "../ports/platform.ts";
import type { EndpointId } from "../common/ids.ts";
import type { SuspectHash, SuspectRun, SuspectRunId } from "./types.ts";

/** The table of suspicions, keyed by hash. */
export const SUSPICIONS_TABLE = "suspicions";
/**
 * A body that was in flight at this many crashes, without an isolated run that
 * finished in between, is quarantined.
 */
export const MAX_CRASHES = 3;
const STORE_TIMEOUT_MS = 250;
const WRITE_ATTEMPTS = 5;
/** Reports of crashes of one replica that are closer together are counted as one crash. */
const SAME_CRASH_MS = 2_000;
/** How long an isolated run excludes others if its owner never reports its end. */
const ISOLATED_RUN_TIMEOUT_MS = 120_000;

/** One replica crash during which a body was in flight. */
export interface CrashRecord {
  readonly endpoint: EndpointId;
  /** When it was recorded, in ms of `Date.now`. */
  readonly atMs: number;
}

/** The stored row of a suspected body. */
export interface SuspicionRow {
  readonly hash: SuspectHash;
  readonly losses: readonly CrashRecord[];
  /** Whether a replica crashed during an isolated run of the body. */
  readonly convicted: boolean;
  /** When the suspicion expires, in ms of `Date.now`. */
  readonly untilMs: number;
  /** The isolated run in progress. */
  readonly alone: {
    readonly run: SuspectRunId;
    readonly untilMs: number;
  } | null;
}

/**
 * The result of locking the row for an isolated run. `unreachable`: the write was
 * not confirmed, so the state of the row is unknown.
 */
export type LockOutcome = "locked" | "busy" | "convicted" | "unreachable";

/** Whether a row quarantines its body. */
export function isQuarantined(row: SuspicionRow): boolean {
  return row.convicted || row.losses.length >= MAX_CRASHES;
}

/** Reads a suspicion that has not expired; null if there is none or the read failed. */
export async function readSuspicion(
  platform: PlatformPort,
  hash: SuspectHash,
): Promise<SuspicionRow | null> {
  return unexpired(await readRow(platform, hash));
}

/** Adds a crash to a body's row; a crash during an isolated run quarantines the body. */
export async function recordCrash(
  platform: PlatformPort,
  crash: { run: SuspectRun; endpoint: EndpointId; untilMs: number },
): Promise<void> {
  const { run, untilMs } = crash;
  const record: CrashRecord = { endpoint: crash.endpoint, atMs: Date.now() };
  await update(platform, run.hash, (current) => {
    const before = current ?? newRow(run.hash, untilMs);
    return {
      ...before,
      untilMs,
      losses: addCrash(before.losses, record),
      convicted: before.convicted || run.alone,
      alone: withoutRun(before, run.id),
    };
  });
}

/** Locks a body's row for its isolated run; only one may be in progress. */
export async function lockIsolatedRun(
  platform: PlatformPort,
  run: SuspectRun,
  untilMs: number,
): Promise<LockOutcome> {
  let outcome: LockOutcome = "unreachable";
  const written = await update(platform, run.hash, (current) => {
    const before = current ?? newRow(run.hash, untilMs);
    const isLocked = before.alone !== null && before.alone.run !== run.id &&
      before.alone.untilMs > Date.now();
    outcome = isQuarantined(before)
      ? "convicted"
      : isLocked
      ? "busy"
      : "locked";
    if (outcome !== "locked") return "unchanged";
    const alone = {
      run: run.id,
      untilMs: Date.now() + ISOLATED_RUN_TIMEOUT_MS,
    };
    return { ...before, alone };
  });
  return written ? outcome : "unreachable";
}

/** Releases the row's lock after an isolated run that proved nothing. */
export async function unlockIsolatedRun(
  platform: PlatformPort,
  run: SuspectRun,
): Promise<void> {
  await update(platform, run.hash, (current) => {
    if (current?.alone?.run !== run.id) return "unchanged";
    return { ...current, alone: null };
  });
}

/** Deletes a body's suspicion, because an isolated run of it finished. */
export async function clearSuspicion(
  platform: PlatformPort,
  run: SuspectRun,
): Promise<void> {
  await update(platform, run.hash, (current) => current ? null : "unchanged");
}

type RowChange = (
  current: SuspicionRow | null,
) => SuspicionRow | null | "unchanged";

async function update(
  platform: PlatformPort,
  hash: SuspectHash,
  change: RowChange,
): Promise<boolean> {
  for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
    const row = await readRow(platform, hash);
    if (row === "failed") continue;
    const next = change(unexpired(row));
    if (next === "unchanged") return true;
    const written = await platform.transact([{
      table: SUSPICIONS_TABLE,
      key: hash,
      expect: row
        ? { kind: "version", version: row.version }
        : { kind: "absent" },
      value: next as unknown as Json,
    }], { timeoutMs: STORE_TIMEOUT_MS });
    if (written.isOk() && written.value.kind === "committed") return true;
  }
  return false;
}

async function readRow(
  platform: PlatformPort,
  hash: SuspectHash,
): Promise<Row | null | "failed"> {
  const read = await platform.read(SUSPICIONS_TABLE, hash, {
    timeoutMs: STORE_TIMEOUT_MS,
  });
  return read.isOk() ? read.value : "failed";
}

function unexpired(row: Row | null | "failed"): SuspicionRow | null {
  if (row === null || row === "failed") return null;
  const suspicion = row.value as unknown as SuspicionRow;
  return suspicion.untilMs > Date.now() ? suspicion : null;
}

function newRow(hash: SuspectHash, untilMs: number): SuspicionRow {
  return { hash, losses: [], convicted: false, untilMs, alone: null };
}

function addCrash(
  losses: readonly CrashRecord[],
  crash: CrashRecord,
): readonly CrashRecord[] {
  const isDuplicate = losses.some((other) =>
    other.endpoint === crash.endpoint &&
    Math.abs(other.atMs - crash.atMs) < SAME_CRASH_MS
  );
  return isDuplicate ? losses : [...losses, crash];
}

function withoutRun(row: SuspicionRow, run: SuspectRunId) {
  return row.alone?.run === run ? null : row.alone;
}
