/** Decides which traits crash endpoints, from the records of crashes. */
import {
  type CrashRecord,
  type TraitId,
  WHOLE_REQUEST_POSITION,
} from "../types.ts";

/** Crashes after which a trait is a culprit. */
export const CULPRIT_CRASHES = 3;
/**
 * The same for a trait that many crashes may have in common without being caused by
 * it: one of requests that were answered shortly before, a part that is rarely the
 * last suspected one, or a request that has another suspect beside it in all
 * but one or two crashes.
 */
export const COMMON_CULPRIT_CRASHES = 5;
/** Crashes of a common trait that no other culprit explains. */
const COMMON_UNEXPLAINED_CRASHES = 3;
/**
 * The same for a part that sound requests are known to share and that has a more
 * specific one beside it in some crash, or that one mostly follows: crashes may be
 * noted without the requests that caused them.
 */
const SHARED_UNEXPLAINED_CRASHES = 5;
/** The same for a request that was the only one in so many crashes. */
const ALONE_UNEXPLAINED_CRASHES = 2;

/** A trait that crashes endpoints. */
export interface Culprit {
  readonly id: TraitId;
  readonly position: number;
  readonly crashes: number;
  readonly lastCrashAtMs: number;
  /** Crashes in which no more specific part, or no other request, is suspected. */
  readonly unaccompanied: number;
}

interface Candidate extends Culprit {
  readonly isTrusted: boolean;
}

interface RankedCandidate extends Candidate {
  readonly isCommon: boolean;
  /** Whether one more specific part is suspected in most of its crashes. */
  readonly isFollowed: boolean;
}

/**
 * Returns the traits that best explain the crashes. A trait is a candidate where
 * no request with it was answered after the crash. Those that explain the most
 * crashes are chosen first, of several the most specific one; common ones, and parts
 * that a more specific one mostly follows, are blamed only for crashes that nothing
 * else explains.
 */
export function findCulprits(
  records: Iterable<CrashRecord>,
): Map<TraitId, Culprit> {
  const crashes = [...records].filter(({ refuted }) => !refuted);
  const candidates = rankCandidates(crashes);
  const culprits = new Map<TraitId, Culprit>();
  let unexplained = crashes;
  for (const candidate of candidates) {
    const { id } = candidate;
    const rest = unexplained.filter((crash) => !isSuspect(crash, id));
    const explained = unexplained.length - rest.length;
    if (explained < unexplainedToBlame(candidate)) continue;
    unexplained = rest;
    culprits.set(id, candidate);
  }
  return culprits;
}

function unexplainedToBlame(candidate: RankedCandidate): number {
  const { isCommon, isFollowed, isTrusted, unaccompanied } = candidate;
  if (!isCommon && !isFollowed) return 1;
  const isPart = candidate.position < WHOLE_REQUEST_POSITION;
  const isAccompanied = unaccompanied < candidate.crashes;
  if (isPart && (isFollowed || isTrusted && isAccompanied)) {
    return SHARED_UNEXPLAINED_CRASHES;
  }
  return !isPart && unaccompanied >= ALONE_UNEXPLAINED_CRASHES
    ? ALONE_UNEXPLAINED_CRASHES
    : COMMON_UNEXPLAINED_CRASHES;
}

/** Whether a trait may have caused a crash. */
export function isSuspect(crash: CrashRecord, id: TraitId): boolean {
  return crash.traits.has(id) && !crash.cleared.has(id);
}

// Those with enough crashes, in the order in which they are blamed.
function rankCandidates(crashes: readonly CrashRecord[]): RankedCandidate[] {
  const frequent = [...countCandidates(crashes).values()]
    .filter((candidate) => candidate.crashes >= CULPRIT_CRASHES);
  const followed = findFollowed(crashes, frequent);
  return frequent
    .map((candidate) => ({
      ...candidate,
      isCommon: isCommon(candidate, { crashes, others: frequent }),
      isFollowed: followed.has(candidate.id),
    }))
    .filter(({ isCommon, crashes }) =>
      !isCommon || crashes >= COMMON_CULPRIT_CRASHES
    )
    .sort((a, b) =>
      Number(a.isCommon) - Number(b.isCommon) ||
      Number(a.isFollowed) - Number(b.isFollowed) || b.crashes - a.crashes ||
      b.position - a.position || (a.id < b.id ? -1 : 1)
    );
}

// Parts that a more specific one follows, in the same requests, in most of their crashes.
function findFollowed(
  crashes: readonly CrashRecord[],
  frequent: readonly Candidate[],
): Set<TraitId> {
  const indexes = new Map(frequent.map(({ id }, index) => [id, index]));
  const counts = new Map<number, number>();
  const followed = new Set<TraitId>();
  for (const crash of crashes) {
    for (const pair of followedPairs(crash, indexes)) {
      const count = (counts.get(pair) ?? 0) + 1;
      counts.set(pair, count);
      const { id, crashes } = frequent[Math.floor(pair / frequent.length)]!;
      if (count > crashes / 2) followed.add(id);
    }
  }
  return followed;
}

// Each pair of parts of one suspected request, as the first one's index times the number
// of candidates, plus the second one's.
function followedPairs(
  crash: CrashRecord,
  indexes: ReadonlyMap<TraitId, number>,
): Set<number> {
  const pairs = new Set<number>();
  for (const [request, parts] of crash.partsOf) {
    if (parts.length < 2 || !isSuspect(crash, request)) continue;
    const suspects = parts.flatMap((id) =>
      isSuspect(crash, id) ? indexes.get(id) ?? [] : []
    );
    for (const [position, index] of suspects.entries()) {
      for (const other of suspects.slice(position + 1)) {
        pairs.add(index * indexes.size + other);
      }
    }
  }
  return pairs;
}

function isCommon(
  candidate: Candidate,
  { crashes, others }: {
    crashes: readonly CrashRecord[];
    others: readonly Candidate[];
  },
): boolean {
  if (candidate.isTrusted) return true;
  if (candidate.position < WHOLE_REQUEST_POSITION) {
    return candidate.unaccompanied < CULPRIT_CRASHES;
  }
  // Requests that only ran beside it differ from crash to crash.
  const own = crashes.filter((crash) => isSuspect(crash, candidate.id));
  const parts = new Set(
    own.flatMap(({ partsOf }) => partsOf.get(candidate.id) ?? []),
  );
  return others.some(({ id, isTrusted }) =>
    id !== candidate.id && !parts.has(id) && !isTrusted &&
    own.filter((crash) => !isSuspect(crash, id)).length < CULPRIT_CRASHES &&
    own.some((crash) => isSuspect(crash, id))
  );
}

function countCandidates(crashes: readonly CrashRecord[]) {
  const candidates = new Map<TraitId, Candidate>();
  for (const crash of crashes) {
    const lastPosition = lastSuspectedPart(crash);
    const hasOtherRequest = countSuspectedRequests(crash) > 1;
    for (const [id, position] of crash.traits) {
      if (crash.cleared.has(id)) continue;
      const before = candidates.get(id);
      const isAccompanied = position < WHOLE_REQUEST_POSITION
        ? position < lastPosition
        : hasOtherRequest;
      candidates.set(id, {
        id,
        position: Math.max(position, before?.position ?? 0),
        crashes: (before?.crashes ?? 0) + 1,
        lastCrashAtMs: Math.max(crash.atMs, before?.lastCrashAtMs ?? -Infinity),
        isTrusted: crash.trusted.has(id) || (before?.isTrusted ?? false),
        unaccompanied: (before?.unaccompanied ?? 0) + Number(!isAccompanied),
      });
    }
  }
  return candidates;
}

function countSuspectedRequests({ traits, cleared }: CrashRecord): number {
  return [...traits].filter(([id, position]) =>
    position === WHOLE_REQUEST_POSITION && !cleared.has(id)
  ).length;
}

function lastSuspectedPart({ traits, cleared }: CrashRecord): number {
  const positions = [...traits]
    .filter(([id, position]) =>
      position < WHOLE_REQUEST_POSITION && !cleared.has(id)
    )
    .map(([, position]) => position);
  return Math.max(-1, ...positions);
}
