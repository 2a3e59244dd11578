/** Queries peers for their active versions, mainly while the head can't be read. */
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { ActiveVersion } from "./types.ts";

/** Answers that a VM without a configuration needs before it uses the highest version. */
const MIN_START_ANSWERS = 3;
/** Maximum number of peers that it queries; more than needed, as some may not answer. */
const MAX_START_QUERIES = 8;
const QUERY_TIMEOUT_MS = 1_000;
/** A cursor above every version: the peer answers only with its version. */
const VERSION_ONLY_CURSOR = Number.MAX_SAFE_INTEGER;

/** A peer and its active version. */
export interface PeerVersion {
  readonly peer: Member;
  readonly version: number;
}

/** Result of {@link findMaxVersion}. */
export interface HighestPeerVersion {
  /** Null if too few peers answered, or none has a configuration. */
  readonly highest: PeerVersion | null;
  /** Number of peers that answered. */
  readonly answers: number;
}

/** Picks up to `count` random members, excluding this VM and members in state `dead`. */
export function samplePeers(
  members: readonly Member[],
  options: { self: string; random: () => number; count: number },
): Member[] {
  return members
    .filter((member) => member.id !== options.self && member.state !== "dead")
    .map((peer) => ({ peer, order: options.random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, options.count)
    .map(({ peer }) => peer);
}

/** Answers of queried peers. */
export interface PeerVersions {
  readonly versions: readonly PeerVersion[];
  /** Ids of peers that could not be connected to; probably no process is running there. */
  readonly unreachable: ReadonlySet<string>;
}

/** Queries peers for their active versions; leaves out those that don't answer. */
export async function queryVersions(
  queried: readonly Member[],
  peers: PeerPort,
): Promise<PeerVersions> {
  const versions: PeerVersion[] = [];
  const unreachable = new Set<string>();
  await Promise.all(queried.map(async (peer) => {
    const answer = await peers.call(peer, "configuration/fetch", {
      params: { after: VERSION_ONLY_CURSOR },
      timeoutMs: QUERY_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      if (answer.error.kind === "notSent") unreachable.add(peer.id);
    } else if (answer.value.kind === "current") {
      versions.push({ peer, version: answer.value.version });
    }
  }));
  return { versions, unreachable };
}

/**
 * Finds the highest version among at least {@link MIN_START_ANSWERS} peers, or among
 * all reachable live ones if there are fewer; null if too few answer.
 */
export async function findMaxVersion(
  members: readonly Member[],
  options: { self: string; random: () => number; peers: PeerPort },
): Promise<HighestPeerVersion> {
  const queried = samplePeers(members, {
    ...options,
    count: MAX_START_QUERIES,
  });
  const { versions, unreachable } = await queryVersions(
    queried,
    options.peers,
  );
  const live = members.filter((member) =>
    member.state === "live" && member.id !== options.self &&
    !unreachable.has(member.id)
  );
  const isEnough = versions.length >= Math.min(MIN_START_ANSWERS, live.length);
  const [highest] = versions
    .filter((answer) => isEnough && answer.version > 0)
    .sort((a, b) => b.version - a.version);
  return { highest: highest ?? null, answers: versions.length };
}

/** Lists all member VMs, including this one, with their active versions. */
export async function listActiveVersions(
  members: readonly Member[],
  options: { self: string; version: number; peers: PeerPort },
): Promise<ActiveVersion[]> {
  const { self, version, peers } = options;
  const others = members.filter((member) => member.id !== self);
  const { versions: answers } = await queryVersions(others, peers);
  const versions = new Map<string, number>(
    answers.map((answer) => [answer.peer.id, answer.version]),
  );
  versions.set(self, version);
  return members.map(({ id, dataCentre, state }) => ({
    vm: id,
    dataCentre,
    state,
    version: versions.get(id) ?? null,
  }));
}
