/** Fetches newer configurations from the platform or from a peer: changes first, a snapshot otherwise. */
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

/** Versions behind the head up to which changes are fetched one by one. */
const MAX_CHANGES_FETCHED = 16;
const PEER_TIMEOUT_MS = 1_000;

/** What a fetch gave. */
export interface FetchedConfiguration {
  readonly configuration: Configuration;
  /** The changes that led there; empty for a snapshot. */
  readonly changes: readonly ConfigurationChange[];
}

/** Options of {@link fetchNewer}. */
export interface FetchOptions {
  platform: PlatformPort;
  peers: PeerPort;
  held: Configuration | null;
  /** Asks for whole snapshots only. */
  snapshotsOnly: boolean;
}

/** Fetches what a source has; fails when it has nothing newer or can't be reached. */
export async function fetchNewer(
  source: ConfigurationSource,
  options: FetchOptions,
): Promise<Result<FetchedConfiguration, "failed">> {
  return source.kind === "platform"
    ? await fetchFromPlatform(options)
    : await fetchFromPeer(source, options);
}

/** Asks one peer. */
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

/** Applies changes in order; null when one doesn't follow from what is held. */
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
  const all: ConfigurationChange[] = [];
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
    all.push(...answer.changes);
    if (!answer.more) break;
  }
  return held && all.length > 0
    ? ok({ configuration: held, changes: all })
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
  const behind = head.version - (held?.head.version ?? 0);
  if (head.version === 0) return err("failed");
  const canChange = held !== null && behind > 0 &&
    behind <= MAX_CHANGES_FETCHED && !options.snapshotsOnly;
  if (canChange) {
    const fetched = await fetchChanges(held, { ...options, head });
    // A platform that has gone down would only cost another time limit.
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
  for (const one of heads) {
    const change = await fetchChange(platform, one);
    if (change.isErr()) return err("failed");
    changes.push(change.value);
  }
  const configuration = applyChanges(held, changes);
  return ok(configuration && { configuration, changes });
}
