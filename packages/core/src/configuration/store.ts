/** Reads and writes configuration rows and objects in the platform's stores. */
import { err, ok, type Result } from "neverthrow";
import type { Json, PlatformPort, StoreFailure } from "../ports/platform.ts";
import type { StoreVersion } from "../store/version.ts";
import { digest } from "../common/hash.ts";
import type { Digest } from "../common/ids.ts";
import type {
  ConfigurationChange,
  ConfigurationHead,
  HistoryEntry,
  SubmissionRow,
} from "./types.ts";

/** The table of the head, the history and the submissions. */
export const CONFIGURATION_TABLE = "configuration";
/** The key of the head's row. */
export const HEAD_KEY = "head";

const HISTORY_PREFIX = "history/";
const VERSION_DIGITS = 12;

/** The key of a version's history row; zero-padded, so that keys sort by version. */
export function historyKey(version: number): string {
  return HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** The key of a submission's row in {@link CONFIGURATION_TABLE}. */
export function submissionKey(submissionId: string): string {
  return `submission/${submissionId}`;
}

/** The configuration head and the version of its row, for conditional writes. */
export interface HeadRow {
  readonly head: ConfigurationHead;
  /** Null if the row doesn't exist yet. */
  readonly rowVersion: StoreVersion | null;
}

/** Reads the head; version 0 without scopes if nothing has been committed yet. */
export async function readHead(
  platform: PlatformPort,
): Promise<Result<HeadRow, StoreFailure>> {
  const row = await platform.read(CONFIGURATION_TABLE, HEAD_KEY);
  return row.map((stored) =>
    stored === null ? { head: { version: 0, scopes: {} }, rowVersion: null } : {
      head: stored.value as unknown as ConfigurationHead,
      rowVersion: stored.version,
    }
  );
}

/** Stores a value as JSON, under `name` or else the digest of its text; returns the name. */
export async function putObject(
  platform: PlatformPort,
  value: unknown,
  name?: Digest,
): Promise<Result<Digest, StoreFailure>> {
  const text = JSON.stringify(value);
  const objectName = name ?? digest(text);
  const stored = await platform.putObject(`configuration/${objectName}`, text);
  return stored.map(() => objectName);
}

/** Reads the row of a submission; null if it was not committed. */
export async function readSubmission(
  platform: PlatformPort,
  submissionId: string,
): Promise<Result<SubmissionRow | null, StoreFailure>> {
  const row = await platform.read(
    CONFIGURATION_TABLE,
    submissionKey(submissionId),
  );
  return row.map((stored) =>
    stored && stored.value as unknown as SubmissionRow
  );
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
  return rows.map((page) =>
    page.map((row) => row.value as unknown as HistoryEntry)
  );
}

/** Reads the history entry of one version; null if the version doesn't exist. */
export async function readHistoryEntry(
  platform: PlatformPort,
  version: number,
): Promise<Result<HistoryEntry | null, StoreFailure>> {
  const row = await platform.read(CONFIGURATION_TABLE, historyKey(version));
  return row.map((stored) => stored && stored.value as unknown as HistoryEntry);
}

/** Fetches the change that led to a head. */
export async function fetchChange(
  platform: PlatformPort,
  head: ConfigurationHead,
): Promise<Result<ConfigurationChange, StoreFailure>> {
  if (!head.change) return err({ kind: "unknown", detail: "No change" });
  const scopes = await fetchObject(platform, head.change);
  return scopes.map((stored) => ({
    head,
    scopes: stored as ConfigurationChange["scopes"],
  }));
}

/** Fetches and parses a stored object; a missing object is an error. */
export async function fetchObject(
  platform: PlatformPort,
  name: Digest,
): Promise<Result<unknown, StoreFailure>> {
  const text = await platform.getObject(`configuration/${name}`);
  if (text.isErr()) return err(text.error);
  if (text.value === null) {
    return err({
      kind: "unknown",
      detail: `No body ${name}`,
    });
  }
  return ok(JSON.parse(text.value));
}

/** Casts a stored type to the JSON type of row values. */
export function toRowValue(
  value: ConfigurationHead | HistoryEntry | SubmissionRow,
): Json {
  return value as unknown as Json;
}
