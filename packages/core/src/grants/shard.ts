/** A shard at its home: grants requests, queues those that must wait, refuses those that can't be in time. */
import {
  asId,
  type GrantId,
  type RequestKey,
  type WorkspaceId,
} from "../common/ids.ts";
import type { NotRunReason } from "../common/verdict.ts";
import { chooseRequestsToShed } from "./commands/shed.ts";
import {
  afterTransferMs,
  estimateIdleMs,
  promptKvBlocks,
} from "./policies/estimate.ts";
import type { GrantPolicy, Placement, ShardView } from "./policies/types.ts";
import { expectedSupply, requiredAmounts } from "./queries/forecast.ts";
import { GrantQueue, type QueuedRequest } from "./queue.ts";
import { WorkspaceShares } from "./shares.ts";
import { ShardState } from "./shard_state.ts";
import type {
  GrantAnswer,
  GrantProgress,
  GrantRequest,
  HeldGrant,
  ShardPlan,
} from "./types.ts";

/** Settings of grants from the manifest. */
export interface ShardSettings {
  /** Upper bound of the step time of a batch. */
  readonly betweenTokensTargetMs: number;
  /** Weight of wasted prefills, from 0 to 1. */
  readonly prefillWasteWeight: number;
  /** Weight of a workspace in fair sharing. */
  readonly weightOf: (workspace: WorkspaceId) => number;
}

/** Options of {@link Shard}. */
export interface ShardOptions {
  plan: ShardPlan;
  policy: GrantPolicy;
  settings: () => ShardSettings;
  /** Uniform random numbers from 0 to below 1. */
  random: () => number;
  /** Returns a new grant id. */
  nextGrantId: () => string;
}

/** A late request may wait at least this long for spare capacity. */
const LATE_WAIT_MS = 200;
/** Share of each decode replica that late requests leave free for others. */
const LATE_RESERVED_SHARE = 0.2;
/** A shard counts as overloaded for this long after it refused a request that was not late; it then refuses late ones at once. */
const OVERLOAD_PERIOD_MS = 1_000;
/** A new home leaves a share free until load reports taken after its start show its predecessor's grants. */
const WARM_UP_MS = 2_500;
const WARM_UP_RESERVED_SHARE = 0.1;
/** A new home without load reports sheds nothing for this long, as it can't tell whether there is capacity. */
const FIRST_REPORTS_TIMEOUT_MS = 1_000;
/** Minimum and maximum of `retryAfterMs` in a refusal for lack of capacity. */
const RETRY_AFTER_RANGE_MS: readonly [number, number] = [250, 10_000];
const MIN_DISPATCH_DELAY_MS = 1;
const NO_WORKSPACES: ReadonlySet<WorkspaceId> = new Set();

/** Grants the slots of one shard. */
export class Shard {
  readonly state = new ShardState();
  /** The plan that the shard was opened with. */
  readonly plan: ShardPlan;
  /** When the last request arrived, on the monotonic clock. */
  lastRequestAtMs: number;
  #options: ShardOptions;
  #queue = new GrantQueue();
  #shares: WorkspaceShares;
  #openedAtMs: number;
  #lastShedAtMs = Number.NEGATIVE_INFINITY;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: ShardOptions) {
    this.#options = options;
    this.plan = options.plan;
    this.state.setPlan(options.plan);
    this.#openedAtMs = performance.now();
    this.lastRequestAtMs = this.#openedAtMs;
    this.#shares = new WorkspaceShares((workspace) =>
      options.settings().weightOf(workspace)
    );
  }

  /** Applies a new plan and dispatches the queue. */
  setPlan(plan: ShardPlan): void {
    this.state.setPlan(plan);
    this.dispatch();
  }

  /** Resolves when the request is granted or refused. */
  request(request: GrantRequest): Promise<GrantAnswer> {
    const nowMs = performance.now();
    this.lastRequestAtMs = nowMs;
    return new Promise((answer) => {
      const queued = this.#admit(request, { nowMs, answer });
      if (!queued) return;
      this.#queue.add(queued);
      this.dispatch();
    });
  }

  /** Removes a queued request, or frees what it was granted; returns whether it was found. */
  withdraw(key: RequestKey): boolean {
    const queued = this.#queue.find(key);
    if (queued) {
      this.#refuse(queued, { reason: "cancelled", retryAfterMs: 0 });
      return true;
    }
    const known = this.state.closeByKey(key, performance.now());
    if (known) this.dispatch();
    return known;
  }

  /** Applies an owner's progress message; returns whether the grant is open. */
  applyProgress(grant: GrantId, progress: GrantProgress): boolean {
    const nowMs = performance.now();
    const known = this.state.applyProgress(grant, { progress, nowMs });
    if (known) this.dispatch();
    return known !== undefined;
  }

  /** Registers a grant of an earlier home; returns whether it was accepted. */
  register(held: HeldGrant): boolean {
    return this.state.register(held, performance.now());
  }

  /** Refuses all queued requests and stops the timer. */
  close(): void {
    clearTimeout(this.#timer);
    for (const queued of [...this.#queue.all]) {
      this.#refuse(queued, { reason: "stopping", retryAfterMs: 0 });
    }
  }

  /** Issues every grant that is possible now, and refuses requests that can't be in time. */
  dispatch(): void {
    if (this.#queue.all.length === 0) return;
    const nowMs = performance.now();
    const overShare = this.#workspacesOverShare(nowMs);
    let isInShareWaiting = false;
    for (const queued of this.#orderQueue(nowMs, overShare)) {
      const isOverShare = overShare.has(queued.request.workspace);
      // A workspace over its share doesn't take capacity that one within its share is waiting for.
      if (isOverShare && isInShareWaiting) {
        this.#refuseIfExpired(queued, nowMs);
        continue;
      }
      const isPlaced = this.#tryPlace(queued, nowMs);
      isInShareWaiting ||= !isPlaced && !isOverShare && !queued.late;
    }
    this.#shed(nowMs);
    this.#scheduleDispatch(nowMs);
  }

  /** Workspaces over their share; empty unless the shard is overloaded. */
  #workspacesOverShare(nowMs: number): ReadonlySet<WorkspaceId> {
    const isOverloaded = nowMs - this.#lastShedAtMs < OVERLOAD_PERIOD_MS;
    if (!isOverloaded) return NO_WORKSPACES;
    const workspaces = this.#queue.all.map((one) => one.request.workspace);
    return this.#shares.overShare(workspaces, nowMs);
  }

  #orderQueue(
    nowMs: number,
    overShare: ReadonlySet<WorkspaceId>,
  ): QueuedRequest[] {
    const isOverloaded = nowMs - this.#lastShedAtMs < OVERLOAD_PERIOD_MS;
    if (!isOverloaded) return this.#queue.byDueTime();
    return this.#queue.byFootprint({
      overShare,
      footprintOf: this.#footprintFunction(),
    });
  }

  /**
   * Returns a function that estimates a request's footprint: its expected
   * tokens times the slots that it takes up. A prompt that needs more memory
   * than an even share per slot counts as several slots.
   */
  #footprintFunction(): (queued: QueuedRequest) => number {
    const [decode] = this.state.decodes;
    const blocksPerSlot = decode ? decode.memoryPieces / decode.slots : 1;
    return ({ request, expectedTokens }) =>
      expectedTokens *
      Math.max(1, promptKvBlocks(request.promptTokens) / blocksPerSlot);
  }

  #admit(
    request: GrantRequest,
    options: { nowMs: number; answer: (answer: GrantAnswer) => void },
  ): QueuedRequest | null {
    const { nowMs, answer } = options;
    const idleMs = estimateIdleMs(this.#view(nowMs, request), request);
    if (idleMs > request.deadlineInMs) {
      answer(refusal("deadline-unreachable", RETRY_AFTER_RANGE_MS[1]));
      return null;
    }
    if (!this.#fitsAnyReplica(request)) {
      answer(refusal("no-capacity", RETRY_AFTER_RANGE_MS[1]));
      return null;
    }
    const late = idleMs > request.firstTokenInMs;
    // Ends before the owner stops waiting, which is some time after its first token is due.
    const waitMs = Math.max(request.firstTokenInMs, LATE_WAIT_MS);
    return {
      request,
      answer,
      late,
      idleMs: late ? 0 : idleMs,
      dueAtMs: nowMs + waitMs,
      expectedTokens: this.state.lengths.estimateTokens(
        request.workspace,
        request.maxTokens,
      ),
    };
  }

  /** Whether any decode replica would have enough memory for the prompt if it were empty. */
  #fitsAnyReplica(request: GrantRequest): boolean {
    const kvBlocks = promptKvBlocks(request.promptTokens);
    return this.state.decodes.some((one) => one.memoryPieces >= kvBlocks);
  }

  #awaitsFirstReports(nowMs: number): boolean {
    return nowMs - this.#openedAtMs < FIRST_REPORTS_TIMEOUT_MS &&
      !this.state.decodes.some((one) => one.isUsable(nowMs));
  }

  /** Grants or refuses a request, or leaves it queued; returns false if it is still queued. */
  #tryPlace(queued: QueuedRequest, nowMs: number): boolean {
    const { request } = queued;
    const { policy } = this.#options;
    if (queued.late && policy.queuesRequests && this.#mustYield(nowMs)) {
      const isOverloaded = nowMs - this.#lastShedAtMs < OVERLOAD_PERIOD_MS;
      if (isOverloaded) this.#refuseForLoad(queued);
      return isOverloaded || this.#refuseIfExpired(queued, nowMs);
    }
    const view = this.#view(
      nowMs,
      request,
      queued.late ? LATE_RESERVED_SHARE : 0,
    );
    const isReady = policy.isReady?.(view) ?? true;
    const placement = isReady ? policy.place(view, request) : null;
    if (
      placement &&
      (!policy.queuesRequests || isInTime(queued, placement, nowMs))
    ) {
      this.#grant(queued, { placement, nowMs });
      return true;
    }
    if (policy.queuesRequests) return this.#refuseIfExpired(queued, nowMs);
    this.#refuseForLoad(queued);
    return true;
  }

  /** Refuses a request that can no longer be in time; returns whether it did. */
  #refuseIfExpired(queued: QueuedRequest, nowMs: number): boolean {
    const isExpired = nowMs + queued.idleMs >= queued.dueAtMs;
    if (isExpired) this.#refuseForLoad(queued);
    return isExpired;
  }

  /**
   * Whether a late request must wait: requests that can be in time go first,
   * and where there are several prefill replicas, one is kept idle.
   */
  #mustYield(nowMs: number): boolean {
    if (nowMs - this.#lastShedAtMs < OVERLOAD_PERIOD_MS) return true;
    if (this.#queue.inTime.length > 0) return true;
    const { prefills } = this.state;
    const idlePrefills = prefills.filter((one) => one.queuedCount === 0);
    return idlePrefills.length < Math.min(2, prefills.length);
  }

  #grant(
    queued: QueuedRequest,
    options: { placement: Placement; nowMs: number },
  ): void {
    const { placement, nowMs } = options;
    const { request, expectedTokens } = queued;
    this.#queue.remove(queued);
    const grant = asId<GrantId>(this.#options.nextGrantId());
    const view = this.#view(nowMs, request);
    const { batchSize } = placement.decode.usage(nowMs, 1);
    const transferDueAtMs = queued.late
      ? Number.POSITIVE_INFINITY
      : queued.dueAtMs - afterTransferMs(view, batchSize);
    this.state.addGrant(placement, {
      grant,
      request,
      expectedTokens,
      transferDueAtMs,
      nowMs,
    });
    this.#shares.add(request.workspace, expectedTokens, nowMs);
    queued.answer({
      kind: "granted",
      grant,
      prefill: placement.prefill.id,
      decode: placement.decode.id,
      startInMs: 0,
      cachedTokens: placement.cachedTokens,
      memoryPieces: requiredAmounts(view, request).kvBlocks,
    });
  }

  #shed(nowMs: number): void {
    if (!this.#options.policy.queuesRequests) return;
    if (this.#awaitsFirstReports(nowMs)) return;
    const waiting = this.#queue.inTime.filter((one) => !one.request.alone);
    const [first] = waiting;
    if (waiting.length < 2 || !first) return;
    const view = this.#view(nowMs, first.request);
    const lastDueMs = Math.max(...waiting.map((one) => one.dueAtMs));
    const shed = chooseRequestsToShed(waiting, {
      view,
      shares: this.#shares,
      meanTokens: this.state.lengths.mean,
      withinMs: Math.max(0, lastDueMs - nowMs - first.idleMs),
    });
    for (const queued of shed) this.#refuseForLoad(queued as QueuedRequest);
  }

  #refuseForLoad(queued: QueuedRequest): void {
    const nowMs = performance.now();
    if (!queued.late) this.#lastShedAtMs = nowMs;
    const retryAfterMs = this.#retryAfterMs(nowMs, queued.request);
    this.#refuse(queued, { reason: "no-capacity", retryAfterMs });
  }

  #refuse(
    queued: QueuedRequest,
    options: { reason: NotRunReason; retryAfterMs: number },
  ): void {
    if (!this.#queue.remove(queued)) return;
    queued.answer(refusal(options.reason, options.retryAfterMs));
  }

  /** Expected time until enough slots are free for all queued requests, including this one. */
  #retryAfterMs(nowMs: number, request: GrantRequest): number {
    const view = this.#view(nowMs, request);
    const { slots } = expectedSupply(view, 1_000);
    const waitingCount = this.#queue.all.length + 1;
    const [minMs, maxMs] = RETRY_AFTER_RANGE_MS;
    const waitMs = 1_000 * waitingCount / Math.max(slots, 0.01);
    return Math.round(Math.min(maxMs, Math.max(minMs, waitMs)));
  }

  #scheduleDispatch(nowMs: number): void {
    clearTimeout(this.#timer);
    if (this.#queue.all.length === 0) return;
    const backlogs = this.state.prefills.map((one) => one.backlogMs(nowMs));
    const dueInMs = this.#queue.all.map((one) => one.dueAtMs - nowMs);
    const soonestMs = Math.min(...dueInMs, ...backlogs.filter((ms) => ms > 0));
    const waitMs = Math.min(50, Math.max(MIN_DISPATCH_DELAY_MS, soonestMs));
    this.#timer = setTimeout(() => this.dispatch(), waitMs);
  }

  #view(nowMs: number, request: GrantRequest, reservedShare = 0): ShardView {
    const { betweenTokensTargetMs, prefillWasteWeight } = this.#options
      .settings();
    const isWarmingUp = nowMs - this.#openedAtMs < WARM_UP_MS;
    return {
      prefills: this.state.prefills,
      decodes: this.state.decodes,
      speeds: this.state.speeds,
      expectedTokens: request.maxTokens,
      betweenTokensTargetMs,
      prefillWasteWeight,
      reservedShare: Math.max(
        reservedShare,
        isWarmingUp ? WARM_UP_RESERVED_SHARE : 0,
      ),
      nowMs,
      random: this.#options.random,
    };
  }
}

function isInTime(
  queued: QueuedRequest,
  placement: Placement,
  nowMs: number,
): boolean {
  return queued.late || nowMs + placement.firstTokenMs <= queued.dueAtMs;
}

function refusal(reason: NotRunReason, retryAfterMs: number): GrantAnswer {
  return { kind: "refused", reason, retryAfterMs };
}
