/**
 * Demand and use of engines by priority and workspace, as a shard's home has seen them
 * lately.
 *
 * Handles overload by streams of several priorities, and by one workspace that asks for
 * far more than the others.
 */
import type { WorkspaceId } from "../../common/ids.ts";
import { DecayingCount } from "../../common/decaying_count.ts";
import type { AttemptId } from "../types.ts";
import type { ExpectedArrivals } from "./kept_capacity.ts";
import type { StreamLoad } from "./memory_forecast.ts";
import { fairLevel, type OrderedStream } from "./waiting_order.ts";

/** About the duration of a stream: shorter times would see single streams only. */
const HALF_LIFE_MS = 3_000;
/** Asks of one attempt within this time count as one arrival; streams wait for less. */
const ATTEMPT_TTL_MS = 5_000;
/**
 * A priority whose placed fraction is below this share of that of all streams goes
 * first. The requirement is a quarter; streams may still fail after they are placed.
 */
const MIN_PLACED_SHARE = 0.35;
/** Streams without which a fraction says nothing. */
const MIN_OFFERED = 3;
/** Demand beyond what was placed that is still no contention: streams that wait now. */
const CONTENTION_FACTOR = 1.05;
/** Long against a burst, so that the usual demand of a workspace hardly follows one. */
const USUAL_HALF_LIFE_MS = 60_000;
/**
 * A workspace may always use as much as the median one, so that a new one isn't at a
 * disadvantage. A lasting flood becomes usual up to this multiple of the median.
 */
const MAX_WEIGHT = 8;
/** Differences of demand below this factor are chance. */
const OVER_SHARE_FACTOR = 1.1;
/** Weight of the newest stream in the average load of a priority's streams. */
const LOAD_WEIGHT = 0.1;
/** Rank of a priority that is being starved. */
const FIRST_RANK = -1;

/** A stream that asks for a place; streams of equal priorities may name none. */
export interface AskingStream {
  readonly attempt: AttemptId;
  readonly stream: StreamLoad;
  readonly priority?: number;
  readonly workspace?: WorkspaceId;
}

interface WorkspaceUse {
  readonly offeredTokens: DecayingCount;
  readonly placedTokens: DecayingCount;
  /** What it asks for in the long run, by which the capacity is shared. */
  readonly usualTokens: DecayingCount;
}

interface PriorityUse {
  readonly offered: DecayingCount;
  readonly placed: DecayingCount;
  readonly workspaces: Map<WorkspaceId, WorkspaceUse>;
  typical: StreamLoad;
}

/** Returns where a stream that can start until `latestMs` stands among those that wait. */
export type StreamOrder = (
  stream: Pick<AskingStream, "priority" | "workspace">,
  latestMs: number,
) => OrderedStream;

/** Measures what streams ask for and get, and ranks them by it. */
export class StreamUse {
  #priorities = new Map<number, PriorityUse>();
  #attempts = new Map<AttemptId, { atMs: number; isPlaced: boolean }>();

  /** Records a stream that asks for a place; an attempt that asks again counts once. */
  noteOffered(asking: AskingStream): void {
    const { attempt, stream } = asking;
    const atMs = performance.now();
    const known = this.#attempts.get(attempt);
    if (known && atMs - known.atMs < ATTEMPT_TTL_MS) return;
    this.#expireAttempts(atMs);
    this.#attempts.set(attempt, { atMs, isPlaced: false });
    const use = this.#useOf(this.priorityOf(asking), stream);
    use.offered.add();
    use.typical = blend(use.typical, stream);
    if (asking.workspace === undefined) return;
    const workspace = workspaceUse(use, asking.workspace);
    workspace.offeredTokens.add(tokensOf(stream));
    workspace.usualTokens.add(tokensOf(stream));
  }

  /** Records that a stream was placed. */
  notePlaced(asking: AskingStream): void {
    const attempt = this.#attempts.get(asking.attempt);
    if (!attempt || attempt.isPlaced) return;
    attempt.isPlaced = true;
    const { stream, workspace } = asking;
    const use = this.#useOf(this.priorityOf(asking), stream);
    use.placed.add();
    if (workspace === undefined) return;
    workspaceUse(use, workspace).placedTokens.add(tokensOf(stream));
  }

  /**
   * Returns the priority of a stream. VMs of an earlier build tell none; their streams
   * count as those of the most frequent priority.
   */
  priorityOf({ priority }: Pick<AskingStream, "priority">): number {
    if (priority !== undefined) return priority;
    let [most, streams] = [0, -1];
    for (const [known, { offered }] of this.#priorities) {
      if (offered.current() <= streams) continue;
      [most, streams] = [known, offered.current()];
    }
    return most;
  }

  /** Returns how streams stand among each other now. */
  order(): StreamOrder {
    const placedShare = this.#placedShare();
    const shares = new Map<number, ReadonlyMap<WorkspaceId, number>>();
    const sharesOf = (priority: number, use: PriorityUse) => {
      const known = shares.get(priority) ?? fairShares(use);
      shares.set(priority, known);
      return known;
    };
    return (stream, latestMs) => {
      const priority = this.priorityOf(stream);
      const use = this.#priorities.get(priority);
      const rank = use && isStarved(use, placedShare) ? FIRST_RANK : priority;
      const { workspace } = stream;
      if (!use || workspace === undefined) {
        return { rank, isOverShare: false, latestMs, usedTokens: 0 };
      }
      const usedTokens = use.workspaces.get(workspace)?.placedTokens
        .current() ?? 0;
      const share = sharesOf(priority, use).get(workspace) ?? Infinity;
      return { rank, isOverShare: usedTokens > share, latestMs, usedTokens };
    };
  }

  /**
   * Returns what arrives of the priorities above that of a stream, or of all if it is
   * late. None if its priority is being starved.
   */
  arrivalsBefore(
    stream: Pick<AskingStream, "priority"> & { readonly isLate?: boolean },
  ): ExpectedArrivals[] {
    const { isLate = false } = stream;
    const priority = this.priorityOf(stream);
    const own = this.#priorities.get(priority);
    if (!isLate && own && isStarved(own, this.#placedShare())) return [];
    return [...this.#priorities]
      .filter(([other]) => isLate || other < priority)
      .map(([, { offered, typical }]) => ({
        ratePerMs: offered.ratePerMs(),
        typical,
      }));
  }

  #placedShare(): number {
    let [offered, placed] = [0, 0];
    for (const use of this.#priorities.values()) {
      offered += use.offered.current();
      placed += use.placed.current();
    }
    return offered === 0 ? 1 : placed / offered;
  }

  #useOf(priority: number, stream: StreamLoad): PriorityUse {
    const existing = this.#priorities.get(priority);
    if (existing) return existing;
    const use = {
      offered: createCount(),
      placed: createCount(),
      workspaces: new Map(),
      typical: { ...stream, generatedTokens: 0 },
    };
    this.#priorities.set(priority, use);
    return use;
  }

  // Attempts are in the order in which they first asked.
  #expireAttempts(nowMs: number): void {
    for (const [attempt, { atMs }] of this.#attempts) {
      if (nowMs - atMs < ATTEMPT_TTL_MS) return;
      this.#attempts.delete(attempt);
    }
  }
}

function createCount(): DecayingCount {
  return new DecayingCount({ halfLifeMs: HALF_LIFE_MS });
}

function workspaceUse(
  { workspaces }: PriorityUse,
  workspace: WorkspaceId,
): WorkspaceUse {
  const existing = workspaces.get(workspace);
  if (existing) return existing;
  const use = {
    offeredTokens: createCount(),
    placedTokens: createCount(),
    usualTokens: new DecayingCount({ halfLifeMs: USUAL_HALF_LIFE_MS }),
  };
  workspaces.set(workspace, use);
  return use;
}

// The tokens up to which each workspace is within its fair share; none without
// contention, and with streams of a single workspace. Streams without a workspace are
// ordered by their latest start times only.
function fairShares(
  { workspaces }: PriorityUse,
): ReadonlyMap<WorkspaceId, number> {
  const uses = [...workspaces];
  if (uses.length < 2) return new Map();
  const usual = uses.map(([, { usualTokens }]) => usualTokens.current());
  const median = [...usual].sort((a, b) => a - b)[usual.length >> 1]!;
  const weights = usual.map((tokens) =>
    Math.min(MAX_WEIGHT * median, Math.max(median, tokens))
  );
  const placed = uses.reduce(
    (sum, [, { placedTokens }]) => sum + placedTokens.current(),
    0,
  );
  const demands = uses.map(([, { offeredTokens }], index) => ({
    amount: offeredTokens.current(),
    weight: weights[index]!,
  }));
  const level = fairLevel(demands, CONTENTION_FACTOR * placed);
  return new Map(
    uses.map((
      [workspace],
      index,
    ) => [workspace, OVER_SHARE_FACTOR * level * weights[index]!]),
  );
}

// Only a priority that others of a higher one displace can be starved.
function isStarved(
  { offered, placed }: PriorityUse,
  placedShare: number,
): boolean {
  if (offered.current() < MIN_OFFERED) return false;
  return placed.current() <
    MIN_PLACED_SHARE * placedShare * offered.current();
}

function tokensOf({ promptTokens, expectedTokens }: StreamLoad): number {
  return promptTokens + expectedTokens;
}

function blend(typical: StreamLoad, stream: StreamLoad): StreamLoad {
  const mix = (from: number, to: number) => from + LOAD_WEIGHT * (to - from);
  return {
    promptTokens: mix(typical.promptTokens, stream.promptTokens),
    generatedTokens: 0,
    expectedTokens: mix(typical.expectedTokens, stream.expectedTokens),
    maxTokens: mix(typical.maxTokens, stream.maxTokens),
  };
}
