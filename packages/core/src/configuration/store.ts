/** Reads and writes the configuration in the platform's services. */
import { err, ok, type Result } from "neverthrow";
import type { Json, PlatformPort, StoreFailure } from "../ports/platform.ts";
import { digest } from "../common/hash.ts";
import type { Digest } from "../common/ids.ts";
import type {
  ConfigurationChange,
  ConfigurationHead,
  HistoryEntry,
  SubmissionRow,
} from "./types.ts";

/** The table that holds the head and the submissions. */
export const CONFIGURATION_TABLE = "configuration";
/** The key of the head's row. */
export const HEAD_KEY = "head";

const HISTORY_PREFIX = "history/";
const VERSION_DIGITS = 12;

/** The key of a version's history row; keys sort by version. */
export function historyKey(version: number): string {
  return HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** The key of a submission's row. */
export function submissionKey(submissionId: string): string {
  return `submission/${submissionId}`;
}

/** A head with the version of its row. */
export interface HeadRow {
  readonly head: ConfigurationHead;
  /** Version of the row; 0 when there is none yet. */
  readonly rowVersion: number;
}

/** Reads the head's row. */
export async function readHead(
  platform: PlatformPort,
): Promise<Result<HeadRow, StoreFailure>> {
  const row = await platform.read(CONFIGURATION_TABLE, HEAD_KEY);
  return row.map((found) =>
    found === null ? { head: { version: 0, scopes: {} }, rowVersion: 0 } : {
      head: found.value as unknown as ConfigurationHead,
      rowVersion: found.version,
    }
  );
}

/** Stores a value under a name that says what it holds; its text's digest where none is given. */
export async function putObject(
  platform: PlatformPort,
  value: unknown,
  name?: Digest,
): Promise<Result<Digest, StoreFailure>> {
  const text = JSON.stringify(value);
  const chosen = name ?? digest(text);
  const stored = await platform.putObject(`configuration/${chosen}`, text);
  return stored.map(() => chosen);
}

/** Reads the row of a submission; null where none was committed yet. */
export async function readSubmission(
  platform: PlatformPort,
  submissionId: string,
): Promise<Result<SubmissionRow | null, StoreFailure>> {
  const row = await platform.read(
    CONFIGURATION_TABLE,
    submissionKey(submissionId),
  );
  return row.map((found) => found && found.value as unknown as SubmissionRow);
}

/** Reads up to `limit` history entries after a version, oldest first. */
export async function readHistory(
  platform: PlatformPort,
  options: { after: number; limit: number },
): Promise<Result<HistoryEntry[], StoreFailure>> {
  const rows = await platform.scan(CONFIGURATION_TABLE, HISTORY_PREFIX, {
    limit: options.limit,
    after: historyKey(options.after),
  });
  return rows.map((found) =>
    found.map((row) => row.value as unknown as HistoryEntry)
  );
}

/** Reads the history entry of one version; null where there is none. */
export async function readHistoryEntry(
  platform: PlatformPort,
  version: number,
): Promise<Result<HistoryEntry | null, StoreFailure>> {
  const row = await platform.read(CONFIGURATION_TABLE, historyKey(version));
  return row.map((found) => found && found.value as unknown as HistoryEntry);
}

/** Fetches the change that a head names. */
export async function fetchChange(
  platform: PlatformPort,
  head: ConfigurationHead,
): Promise<Result<ConfigurationChange, StoreFailure>> {
  if (!head.change) return err({ kind: "unknown", detail: "No change" });
  const scopes = await fetchObject(platform, head.change);
  return scopes.map((found) => ({
    head,
    scopes: found as ConfigurationChange["scopes"],
  }));
}

/** Fetches a stored object by its digest. */
export async function fetchObject(
  platform: PlatformPort,
  name: Digest,
): Promise<Result<unknown, StoreFailure>> {
  const text = await platform.getObject(`configuration/${name}`);
  if (text.isErr()) return err(text.error);
  if (text.value === null) {
    return err({ kind: "unknown", detail: `No body ${name}` });
  }
  return ok(JSON.parse(text.value));
}

/** Gives a value of this domain as a value for a row. */
export function toRowValue(
  value: ConfigurationHead | HistoryEntry | SubmissionRow,
): Json {
  return value as unknown as Json;
}
