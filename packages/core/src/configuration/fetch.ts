/** Fetches newer configurations from the platform or a peer: changes if possible, else a snapshot. */
import { err, ok, type Result } from "neverthrow";
import type { PeerPort } from "../ports/peers.ts";
import type { PlatformPort } from "../ports/platform.ts";
import type { FetchAnswer } from "./app.ts";
import { applyChange } from "./difference.ts";
import type { ConfigurationSource } from "./machine.ts";
import { fetchBodies } from "./bodies.ts";
import { fetchChange, readHead, readHistory } from "./store.ts";
import type {
  Configuration,
  ConfigurationChange,
  HistoryEntry,
} from "./types.ts";

/** A VM that is further behind the head than this fetches a snapshot instead of changes. */
const MAX_CHANGES_FETCHED = 16;
const PEER_TIMEOUT_MS = 1_000;

/** A fetched configuration. */
export interface FetchedConfiguration {
  readonly configuration: Configuration;
  /** The changes from the held version to this one; empty for a snapshot. */
  readonly changes: readonly ConfigurationChange[];
}

/** Options of {@link fetchNewer}. */
export interface FetchOptions {
  platform: PlatformPort;
  peers: PeerPort;
  held: Configuration | null;
  /** Fetches only snapshots, never changes. */
  snapshotsOnly: boolean;
}

/** Fetches a newer configuration; fails if the source has none or is unreachable. */
export async function fetchNewer(
  source: ConfigurationSource,
  options: FetchOptions,
): Promise<Result<FetchedConfiguration, "failed">> {
  return source.kind === "platform"
    ? await fetchFromPlatform(options)
    : await fetchFromPeer(source, options);
}

/** Calls `configuration/fetch` on a peer; null if the call fails. */
export async function callFetch(
  peer: { id: string; peerAddress: string },
  options: { peers: PeerPort; after: number },
): Promise<FetchAnswer | null> {
  const answer = await options.peers.call(peer, "configuration/fetch", {
    params: { after: options.after },
    timeoutMs: PEER_TIMEOUT_MS,
  });
  return answer.unwrapOr(null);
}

/** Applies changes in order; null if one can't be applied to the version before it. */
export function applyChanges(
  held: Configuration | null,
  changes: readonly ConfigurationChange[],
): Configuration | null {
  let configuration = held;
  for (const change of changes) {
    configuration = applyChange(configuration, change);
    if (!configuration) return null;
  }
  return configuration;
}

async function fetchFromPeer(
  peer: { id: string; peerAddress: string },
  options: FetchOptions,
): Promise<Result<FetchedConfiguration, "failed">> {
  let { held } = options;
  const applied: ConfigurationChange[] = [];
  for (;;) {
    const after = options.snapshotsOnly ? 0 : held?.head.version ?? 0;
    const answer = await callFetch(peer, { ...options, after });
    if (!answer || answer.kind === "current") break;
    if (answer.kind === "snapshot") {
      return ok({ configuration: answer.configuration, changes: [] });
    }
    const next = applyChanges(held, answer.changes);
    if (!next) return await fetchSnapshot(peer, options);
    held = next;
    applied.push(...answer.changes);
    if (!answer.more) break;
  }
  return held && applied.length > 0
    ? ok({ configuration: held, changes: applied })
    : err("failed");
}

async function fetchSnapshot(
  peer: { id: string; peerAddress: string },
  options: FetchOptions,
): Promise<Result<FetchedConfiguration, "failed">> {
  const answer = await callFetch(peer, { ...options, after: 0 });
  return answer?.kind === "snapshot"
    ? ok({ configuration: answer.configuration, changes: [] })
    : err("failed");
}

async function fetchFromPlatform(
  options: FetchOptions,
): Promise<Result<FetchedConfiguration, "failed">> {
  const { platform, held } = options;
  const row = await readHead(platform);
  if (row.isErr()) return err("failed");
  const { head } = row.value;
  const versionsBehind = head.version - (held?.head.version ?? 0);
  if (head.version === 0) return err("failed");
  const canFetchChanges = held !== null && versionsBehind > 0 &&
    versionsBehind <= MAX_CHANGES_FETCHED && !options.snapshotsOnly;
  if (canFetchChanges) {
    const fetched = await fetchChanges(held, { ...options, head });
    // If the platform has become unavailable, a snapshot would only wait for another timeout.
    if (fetched.isErr()) return err("failed");
    if (fetched.value) return ok(fetched.value);
  }
  const snapshot = await fetchBodies(platform, { head, held });
  return snapshot
    .map((configuration) => ({ configuration, changes: [] }))
    .mapErr(() => "failed" as const);
}

async function fetchChanges(
  held: Configuration,
  options: { platform: PlatformPort; head: HistoryEntry["head"] },
): Promise<Result<FetchedConfiguration | null, "failed">> {
  const { platform, head } = options;
  const after = held.head.version;
  const heads = [head];
  if (head.version - after > 1) {
    const limit = head.version - after;
    const entries = await readHistory(platform, { after, limit });
    if (entries.isErr()) return err("failed");
    heads.splice(0, 1, ...entries.value.map((entry) => entry.head));
  }
  const changes: ConfigurationChange[] = [];
  for (const changeHead of heads) {
    const change = await fetchChange(platform, changeHead);
    if (change.isErr()) return err("failed");
    changes.push(change.value);
  }
  const configuration = applyChanges(held, changes);
  return ok(configuration && { configuration, changes });
}
