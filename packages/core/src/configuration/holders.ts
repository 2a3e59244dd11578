/** Replicates a committed version to other VMs before the submitter gets its acceptance. */
import { wait } from "../common/wait.ts";
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { VersionHolder } from "./app.ts";

/** VMs besides this one that must hold a version before it counts as accepted. */
const WANTED_HOLDERS = 2;
const HOLD_TIMEOUT_MS = 1_500;
const REPLICATION_TIMEOUT_MS = 8_000;
const RETRY_DELAY_MS = 250;
/** The platform's VM list lags by about 2 s: twice that, doubled again for a slow platform. */
const MEMBER_LIST_TIMEOUT_MS = 8_000;

/** Options of {@link replicateToHolders}. */
export interface HoldersOptions {
  version: number;
  self: Member;
  members: () => readonly Member[];
  /** Waits for a platform VM list that includes this VM; false if none arrives in time. */
  awaitMembers: (limitMs: number) => Promise<boolean>;
  peers: PeerPort;
}

/** How many VMs and data centres hold a version. */
export interface HolderCounts {
  /** Whether {@link WANTED_HOLDERS} other VMs hold it, or all eligible ones if there are fewer. */
  readonly enough: boolean;
  /** VMs that hold it, including this one. */
  readonly holders: number;
  readonly dataCentres: number;
}

/** Asks other VMs to hold a version, until enough of them do or the timeout passes. */
export async function replicateToHolders(
  options: HoldersOptions,
): Promise<HolderCounts> {
  // A VM that has just started may have only itself as a member; then no other holder would be required.
  if (!await options.awaitMembers(MEMBER_LIST_TIMEOUT_MS)) {
    return { enough: false, holders: 1, dataCentres: 1 };
  }
  const untilMs = performance.now() + REPLICATION_TIMEOUT_MS;
  const holding = new Map<string, Member>();
  for (;;) {
    const candidates = listCandidates(options);
    const wanted = Math.min(WANTED_HOLDERS, candidates.length);
    const held = candidates.filter((member) => holding.has(member.id));
    if (held.length >= wanted || performance.now() >= untilMs) {
      const holders = [options.self, ...holding.values()];
      return {
        enough: held.length >= wanted,
        holders: holders.length,
        dataCentres: new Set(holders.map((member) => member.dataCentre)).size,
      };
    }
    const remaining = candidates.filter((member) => !holding.has(member.id));
    await Promise.all(
      remaining.slice(0, wanted - held.length + 1).map(async (member) => {
        if (await requestHold(member, options)) holding.set(member.id, member);
      }),
    );
    const [first] = remaining;
    if (first && !holding.has(first.id)) await wait(RETRY_DELAY_MS);
  }
}

// Lists live VMs of other data centres: one of each data centre, then a second of each, and so on.
// VMs of this VM's data centre are candidates only if no other data centre has a live VM.
function listCandidates(options: HoldersOptions): Member[] {
  const { self, members } = options;
  const live = members().filter((member) =>
    member.state === "live" && member.id !== self.id
  );
  const remote = live.filter((member) => member.dataCentre !== self.dataCentre);
  const pool = remote.length > 0 ? remote : live;
  const countByDataCentre = new Map<string, number>();
  return pool
    .map((member) => {
      const rank = countByDataCentre.get(member.dataCentre) ?? 0;
      countByDataCentre.set(member.dataCentre, rank + 1);
      return { member, rank };
    })
    .sort((a, b) => a.rank - b.rank)
    .map(({ member }) => member);
}

async function requestHold(
  member: Member,
  options: HoldersOptions,
): Promise<boolean> {
  const { self, version, peers } = options;
  const answer = await peers.call(member, "configuration/hold", {
    params: {
      version,
      holder: { id: self.id, peerAddress: self.peerAddress } as VersionHolder,
    },
    timeoutMs: HOLD_TIMEOUT_MS,
  });
  return answer.isOk() && answer.value.version >= version;
}
