/** Finds VMs in other data centres that hold a version, before its acceptance is told. */
import { wait } from "../common/wait.ts";
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { VersionHolder } from "./app.ts";

/** VMs besides the accepting one that hold a version before its acceptance is told. */
const WANTED_HOLDERS = 2;
const HOLD_TIMEOUT_MS = 1_500;
const HOLD_LIMIT_MS = 8_000;
const REPEAT_WAIT_MS = 250;
/** The platform's list lags by about two seconds; twice that, and as long again for a slow platform. */
const LISTED_WAIT_MS = 8_000;

/** Options of {@link replicateToHolders}. */
export interface HoldersOptions {
  version: number;
  self: Member;
  members: () => readonly Member[];
  /** Waits until the members are those that the platform lists; false where that takes too long. */
  awaitMembers: (limitMs: number) => Promise<boolean>;
  peers: PeerPort;
}

/** Which VMs hold a version. */
export interface HolderCounts {
  /** Whether as many hold it as are wanted, or all live ones where there are fewer. */
  readonly enough: boolean;
  /** VMs that hold it, this one included. */
  readonly holders: number;
  readonly dataCentres: number;
}

/** Asks VMs to hold a version until enough of them do. */
export async function replicateToHolders(
  options: HoldersOptions,
): Promise<HolderCounts> {
  // A VM that has just started may know itself alone, and count itself as all.
  if (!await options.awaitMembers(LISTED_WAIT_MS)) {
    return { enough: false, holders: 1, dataCentres: 1 };
  }
  const untilMs = performance.now() + HOLD_LIMIT_MS;
  const holding = new Map<string, Member>();
  for (;;) {
    const candidates = orderCandidates(options);
    const wanted = Math.min(WANTED_HOLDERS, candidates.length);
    const held = candidates.filter((member) => holding.has(member.id));
    if (held.length >= wanted || performance.now() >= untilMs) {
      const all = [options.self, ...holding.values()];
      return {
        enough: held.length >= wanted,
        holders: all.length,
        dataCentres: new Set(all.map((member) => member.dataCentre)).size,
      };
    }
    const asked = candidates.filter((member) => !holding.has(member.id));
    await Promise.all(
      asked.slice(0, wanted - held.length + 1).map(async (member) => {
        if (await askToHold(member, options)) holding.set(member.id, member);
      }),
    );
    const [first] = asked;
    if (first && !holding.has(first.id)) await wait(REPEAT_WAIT_MS);
  }
}

// Live VMs of other data centres, each data centre's first before any one's second.
// VMs of the same data centre count only where no others are live.
function orderCandidates(options: HoldersOptions): Member[] {
  const { self, members } = options;
  const live = members().filter((member) =>
    member.state === "live" && member.id !== self.id
  );
  const elsewhere = live.filter((member) =>
    member.dataCentre !== self.dataCentre
  );
  const pool = elsewhere.length > 0 ? elsewhere : live;
  const placed = new Map<string, number>();
  return pool
    .map((member) => {
      const place = placed.get(member.dataCentre) ?? 0;
      placed.set(member.dataCentre, place + 1);
      return { member, place };
    })
    .sort((a, b) => a.place - b.place)
    .map(({ member }) => member);
}

async function askToHold(
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
