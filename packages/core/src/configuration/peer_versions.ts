/** Learns of versions from peers while the head can't be read. */
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { ActiveVersion } from "./types.ts";

/** Peers that a VM without a configuration hears before it takes the highest. */
const START_PEERS = 3;
/** Peers that it asks, as some don't answer. */
const START_ASKED_PEERS = 8;
const ASK_TIMEOUT_MS = 1_000;
/** A cursor that no peer is ahead of, so that it answers its version alone. */
const VERSION_ONLY = Number.MAX_SAFE_INTEGER;

/** A peer with the version that it has in force. */
export interface PeerVersion {
  readonly peer: Member;
  readonly version: number;
}

/** What {@link findHighestVersion} heard. */
export interface HighestPeerVersion {
  readonly highest: PeerVersion | null;
  readonly answerCount: number;
}

/** Draws other VMs that aren't believed dead. */
export function samplePeers(
  members: readonly Member[],
  options: { self: string; random: () => number; count: number },
): Member[] {
  return members
    .filter((member) => member.id !== options.self && member.state !== "dead")
    .map((peer) => ({ peer, place: options.random() }))
    .sort((a, b) => a.place - b.place)
    .slice(0, options.count)
    .map(({ peer }) => peer);
}

/** What asked peers said. */
export interface PeerVersions {
  readonly versions: readonly PeerVersion[];
  /** Peers that refused the connection: no process of theirs is there. */
  readonly refused: ReadonlySet<string>;
}

/** Asks peers for the versions that they have in force. */
export async function queryVersions(
  asked: readonly Member[],
  peers: PeerPort,
): Promise<PeerVersions> {
  const heard: PeerVersion[] = [];
  const refused = new Set<string>();
  await Promise.all(asked.map(async (peer) => {
    const answer = await peers.call(peer, "configuration/fetch", {
      params: { after: VERSION_ONLY },
      timeoutMs: ASK_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      if (answer.error.kind === "notSent") refused.add(peer.id);
    } else if (answer.value.kind === "current") {
      heard.push({ peer, version: answer.value.version });
    }
  }));
  return { versions: heard, refused };
}

/**
 * Finds the highest version among at least three peers, or among all live ones
 * where there are fewer; null where too few answer.
 */
export async function findHighestVersion(
  members: readonly Member[],
  options: { self: string; random: () => number; peers: PeerPort },
): Promise<HighestPeerVersion> {
  const asked = samplePeers(members, { ...options, count: START_ASKED_PEERS });
  const { versions: heard, refused } = await queryVersions(
    asked,
    options.peers,
  );
  const live = members.filter((member) =>
    member.state === "live" && member.id !== options.self &&
    !refused.has(member.id)
  );
  const isEnough = heard.length >= Math.min(START_PEERS, live.length);
  const [highest] = heard
    .filter((one) => isEnough && one.version > 0)
    .sort((a, b) => b.version - a.version);
  return { highest: highest ?? null, answerCount: heard.length };
}

/** Asks all VMs in view, this one included, for the version that each has in force. */
export async function listActiveVersions(
  members: readonly Member[],
  options: { self: string; version: number; peers: PeerPort },
): Promise<ActiveVersion[]> {
  const { self, version, peers } = options;
  const others = members.filter((member) => member.id !== self);
  const { versions: heard } = await queryVersions(others, peers);
  const versions = new Map<string, number>(
    heard.map((one) => [one.peer.id, one.version]),
  );
  versions.set(self, version);
  return members.map(({ id, dataCentre, state }) => ({
    vm: id,
    dataCentre,
    state,
    version: versions.get(id) ?? null,
  }));
}
