/** One shard at its home: gives grants, lets requests wait for them, and refuses what can't be in time. */
import {
  asId,
  type GrantId,
  type RequestKey,
  type WorkspaceId,
} from "../common/ids.ts";
import type { NotRunReason } from "../common/verdict.ts";
import { chooseVictims } from "./commands/shed.ts";
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

/** What the manifest says of grants. */
export interface ShardSettings {
  readonly betweenTokensTargetMs: number;
  readonly prefillWasteWeight: number;
  readonly weightOf: (workspace: WorkspaceId) => number;
}

/** Options of {@link Shard}. */
export interface ShardOptions {
  plan: ShardPlan;
  policy: GrantPolicy;
  settings: () => ShardSettings;
  random: () => number;
  /** Makes the id of the next grant. */
  nextGrantId: () => string;
}

/** A late request waits at least this long for the shard to have room to spare. */
const LATE_WAIT_MS = 200;
/** Share of a decode replica that late requests leave to others. */
const LATE_RESERVE = 0.2;
/** Late requests are refused at once for this long after one that could be in time was shed. */
const OVERLOAD_MS = 1_000;
/** A new home leaves a share free until reports taken after its start show what its predecessor granted. */
const WARM_UP_MS = 2_500;
const WARM_UP_RESERVE = 0.1;
/** Until the first load reports after its start, a home can't tell whether there is room. */
const OPENING_MS = 1_000;
const RETRY_AFTER_MS: readonly [number, number] = [250, 10_000];
const MIN_WAKE_MS = 1;
const NONE: ReadonlySet<WorkspaceId> = new Set();

/** Grants the slots of one shard. */
export class Shard {
  readonly state = new ShardState();
  readonly plan: ShardPlan;
  lastRequestAtMs: number;
  #options: ShardOptions;
  #queue = new GrantQueue();
  #shares: WorkspaceShares;
  #openedAtMs: number;
  #shedAtMs = Number.NEGATIVE_INFINITY;
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

  /** Follows a new manifest. */
  setPlan(plan: ShardPlan): void {
    this.state.setPlan(plan);
    this.dispatch();
  }

  /** Answers when the request is granted or refused. */
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

  /** Drops a request that waits, or frees what it was granted. */
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

  /** Follows a grant. */
  applyProgress(grant: GrantId, progress: GrantProgress): boolean {
    const nowMs = performance.now();
    const known = this.state.applyProgress(grant, { progress, nowMs });
    if (known) this.dispatch();
    return known !== undefined;
  }

  /** Takes in a grant that an earlier home gave. */
  register(held: HeldGrant): boolean {
    return this.state.register(held, performance.now());
  }

  /** Refuses all that waits. */
  close(): void {
    clearTimeout(this.#timer);
    for (const queued of [...this.#queue.all]) {
      this.#refuse(queued, { reason: "stopping", retryAfterMs: 0 });
    }
  }

  /** Gives every grant that can be given now, and refuses what can't be in time. */
  dispatch(): void {
    if (this.#queue.all.length === 0) return;
    const nowMs = performance.now();
    const over = this.#overShare(nowMs);
    let isHeldBack = false;
    for (const queued of this.#ordered(nowMs, over)) {
      const isOver = over.has(queued.request.workspace);
      // What a workspace within its share waits for is not taken by one that is over it.
      if (isOver && isHeldBack) {
        this.#expire(queued, nowMs);
        continue;
      }
      const isPlaced = this.#place(queued, nowMs);
      isHeldBack ||= !isPlaced && !isOver && !queued.late;
    }
    this.#shed(nowMs);
    this.#wakeLater(nowMs);
  }

  /** Workspaces that are over their share, in a time of overload. */
  #overShare(nowMs: number): ReadonlySet<WorkspaceId> {
    const isOverloaded = nowMs - this.#shedAtMs < OVERLOAD_MS;
    if (!isOverloaded) return NONE;
    const workspaces = this.#queue.all.map((one) => one.request.workspace);
    return this.#shares.overShare(workspaces, nowMs);
  }

  #ordered(
    nowMs: number,
    overShare: ReadonlySet<WorkspaceId>,
  ): QueuedRequest[] {
    const isOverloaded = nowMs - this.#shedAtMs < OVERLOAD_MS;
    if (!isOverloaded) return this.#queue.byDeadline();
    return this.#queue.byFootprint({ overShare, footprintOf: this.#holding() });
  }

  /** What a request is expected to hold, in slots or in memory of a slot's size, times its tokens. */
  #holding(): (queued: QueuedRequest) => number {
    const [decode] = this.state.decodes;
    const slotPieces = decode ? decode.memoryPieces / decode.slots : 1;
    return ({ request, expectedTokens }) =>
      expectedTokens *
      Math.max(1, promptKvBlocks(request.promptTokens) / slotPieces);
  }

  #admit(
    request: GrantRequest,
    options: { nowMs: number; answer: (answer: GrantAnswer) => void },
  ): QueuedRequest | null {
    const { nowMs, answer } = options;
    const idleMs = estimateIdleMs(this.#view(nowMs, request), request);
    if (idleMs > request.deadlineInMs) {
      answer(refusal("deadline-unreachable", RETRY_AFTER_MS[1]));
      return null;
    }
    if (!this.#fitsSomewhere(request)) {
      answer(refusal("no-capacity", RETRY_AFTER_MS[1]));
      return null;
    }
    const late = idleMs > request.firstTokenInMs;
    // An owner waits for its answer no longer than until its first token is due.
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

  /** Whether any decode replica could hold the prompt with nothing else on it. */
  #fitsSomewhere(request: GrantRequest): boolean {
    const pieces = promptKvBlocks(request.promptTokens);
    return this.state.decodes.some((one) => one.memoryPieces >= pieces);
  }

  #awaitsFirstReports(nowMs: number): boolean {
    return nowMs - this.#openedAtMs < OPENING_MS &&
      !this.state.decodes.some((one) => one.isAvailable(nowMs));
  }

  /** Grants or refuses a request, or lets it wait; true when it no longer waits. */
  #place(queued: QueuedRequest, nowMs: number): boolean {
    const { request } = queued;
    const { policy } = this.#options;
    if (queued.late && policy.queuesRequests && this.#mustYield(nowMs)) {
      const isOverloaded = nowMs - this.#shedAtMs < OVERLOAD_MS;
      if (isOverloaded) this.#refuseForLoad(queued);
      return isOverloaded || this.#expire(queued, nowMs);
    }
    const view = this.#view(nowMs, request, queued.late ? LATE_RESERVE : 0);
    const isReady = policy.isReady?.(view) ?? true;
    const placement = isReady ? policy.place(view, request) : null;
    if (
      placement && (!policy.queuesRequests || inTime(queued, placement, nowMs))
    ) {
      this.#grant(queued, { placement, nowMs });
      return true;
    }
    if (policy.queuesRequests) return this.#expire(queued, nowMs);
    this.#refuseForLoad(queued);
    return true;
  }

  /** Refuses a request that can no longer be in time. */
  #expire(queued: QueuedRequest, nowMs: number): boolean {
    const isExpired = nowMs + queued.idleMs >= queued.dueAtMs;
    if (isExpired) this.#refuseForLoad(queued);
    return isExpired;
  }

  /** Late requests let those in time go first, and keep to one prefill replica of several. */
  #mustYield(nowMs: number): boolean {
    if (nowMs - this.#shedAtMs < OVERLOAD_MS) return true;
    if (this.#queue.inTime.length > 0) return true;
    const { prefills } = this.state;
    const idle = prefills.filter((one) => one.queuedCount === 0);
    return idle.length < Math.min(2, prefills.length);
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
    const { batchSize: members } = placement.decode.usage(nowMs, 1);
    const transferDueAtMs = queued.late
      ? Number.POSITIVE_INFINITY
      : queued.dueAtMs - afterTransferMs(view, members);
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
      memoryPieces: requiredAmounts(view, request).pieces,
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
    const victims = chooseVictims(waiting, {
      view,
      shares: this.#shares,
      meanTokens: this.state.lengths.mean,
      withinMs: Math.max(0, lastDueMs - nowMs - first.idleMs),
    });
    for (const victim of victims) this.#refuseForLoad(victim as QueuedRequest);
  }

  #refuseForLoad(queued: QueuedRequest): void {
    const nowMs = performance.now();
    if (!queued.late) this.#shedAtMs = nowMs;
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

  /** Time until as many slots are expected to be free as requests wait, this one included. */
  #retryAfterMs(nowMs: number, request: GrantRequest): number {
    const view = this.#view(nowMs, request);
    const { slots } = expectedSupply(view, 1_000);
    const waiting = this.#queue.all.length + 1;
    const [leastMs, mostMs] = RETRY_AFTER_MS;
    const waitMs = 1_000 * waiting / Math.max(slots, 0.01);
    return Math.round(Math.min(mostMs, Math.max(leastMs, waitMs)));
  }

  #wakeLater(nowMs: number): void {
    clearTimeout(this.#timer);
    if (this.#queue.all.length === 0) return;
    const backlogs = this.state.prefills.map((one) => one.backlogMs(nowMs));
    const dues = this.#queue.all.map((one) => one.dueAtMs - nowMs);
    const soonest = Math.min(...dues, ...backlogs.filter((ms) => ms > 0));
    const waitMs = Math.min(50, Math.max(MIN_WAKE_MS, soonest));
    this.#timer = setTimeout(() => this.dispatch(), waitMs);
  }

  #view(nowMs: number, request: GrantRequest, reserve = 0): ShardView {
    const { betweenTokensTargetMs, prefillWasteWeight } = this.#options
      .settings();
    const warmingUp = nowMs - this.#openedAtMs < WARM_UP_MS;
    return {
      prefills: this.state.prefills,
      decodes: this.state.decodes,
      speeds: this.state.speeds,
      expectedTokens: request.maxTokens,
      betweenTokensTargetMs,
      prefillWasteWeight,
      reservedShare: Math.max(reserve, warmingUp ? WARM_UP_RESERVE : 0),
      nowMs,
      random: this.#options.random,
    };
  }
}

function inTime(
  queued: QueuedRequest,
  placement: Placement,
  nowMs: number,
): boolean {
  return queued.late || nowMs + placement.firstTokenMs <= queued.dueAtMs;
}

function refusal(reason: NotRunReason, retryAfterMs: number): GrantAnswer {
  return { kind: "refused", reason, retryAfterMs };
}
