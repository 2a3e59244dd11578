/** The home of a workspace's quota: admits requests of all VMs out of one account. */
import type { Quota } from "../configuration/types.ts";
import type { Incarnation, WorkspaceId } from "../common/ids.ts";
import type { DrawAnswer, DrawRequest } from "./app.ts";
import { RateBucket } from "./bucket.ts";

/** How long a VM that is silent still counts as holding its requests in flight. */
const USAGE_TTL_MS = 3_500;
/** How long a new home lets the VMs tell it what they have in flight. */
const WARM_UP_MS = 1_500;
const INITIAL_RELEASE_INTERVAL_MS = 1_000;
const RELEASE_WEIGHT = 0.2;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 30_000;

interface VmUsage {
  inFlight: number;
  seenAtMs: number;
}

interface Account {
  readonly createdAtMs: number;
  readonly requests: RateBucket;
  readonly tokens: RateBucket;
  readonly usageByIncarnation: Map<Incarnation, VmUsage>;
  /** Mean time between two requests that end. */
  releaseIntervalMs: number;
  releasedAtMs: number;
}

/** Options of {@link QuotasHome}. */
export interface QuotasHomeOptions {
  quotaOf: (workspace: WorkspaceId) => Quota | undefined;
  /** Live VMs of the region, this one included. */
  liveVms: () => number;
}

/** Owns the accounts of the workspaces that this VM is home for. */
export class QuotasHome {
  #options: QuotasHomeOptions;
  #accounts = new Map<WorkspaceId, Account>();

  constructor(options: QuotasHomeOptions) {
    this.#options = options;
  }

  /** Admits as many of a VM's waiting requests as the quota allows. */
  draw(request: DrawRequest): DrawAnswer {
    const quota = this.#options.quotaOf(request.workspace);
    const nowMs = performance.now();
    if (!quota) {
      this.#accounts.delete(request.workspace);
      return { admitted: request.needs.length, retryAfterMs: [] };
    }
    const account = this.#accountOf(request.workspace, nowMs);
    account.requests.fill(quota.requestsPerSecond ?? 0, nowMs);
    account.tokens.fill(quota.tokensPerSecond ?? 0, nowMs);
    const holder = noteUsage(account, { request, nowMs });
    let free = this.#freeSlots(account, { quota, holder, nowMs });
    let admitted = 0;
    for (const tokens of request.needs) {
      if (free < 1 || !ratesAllow(account, { quota, tokens })) break;
      if (quota.requestsPerSecond) account.requests.take(1);
      if (quota.tokensPerSecond) account.tokens.take(tokens);
      admitted += 1;
      free -= 1;
    }
    holder.inFlight += admitted;
    const refused = request.needs.slice(admitted);
    return {
      admitted,
      retryAfterMs: refused.map((tokens, at) =>
        retryAfterMs(account, { quota, tokens, nowMs, free, at })
      ),
    };
  }

  #accountOf(workspace: WorkspaceId, nowMs: number): Account {
    let account = this.#accounts.get(workspace);
    if (!account) {
      account = {
        createdAtMs: nowMs,
        requests: new RateBucket(nowMs),
        tokens: new RateBucket(nowMs),
        usageByIncarnation: new Map(),
        releaseIntervalMs: INITIAL_RELEASE_INTERVAL_MS,
        releasedAtMs: nowMs,
      };
      this.#accounts.set(workspace, account);
    }
    return account;
  }

  #freeSlots(
    account: Account,
    options: { quota: Quota; holder: VmUsage; nowMs: number },
  ): number {
    const { quota, holder, nowMs } = options;
    if (quota.inFlight === undefined) return Infinity;
    let held = 0;
    for (const [incarnation, one] of account.usageByIncarnation) {
      if (nowMs - one.seenAtMs > USAGE_TTL_MS) {
        account.usageByIncarnation.delete(incarnation);
      } else held += one.inFlight;
    }
    const free = quota.inFlight - held;
    if (nowMs - account.createdAtMs > WARM_UP_MS) return free;
    // Others may have requests in flight that this home has not heard of yet.
    const share = Math.floor(quota.inFlight / this.#options.liveVms());
    return Math.min(free, Math.max(1, share) - holder.inFlight);
  }
}

function noteUsage(
  account: Account,
  options: { request: DrawRequest; nowMs: number },
): VmUsage {
  const { request, nowMs } = options;
  const { incarnation, inFlight } = request;
  const holder = account.usageByIncarnation.get(incarnation) ??
    { inFlight, seenAtMs: 0 };
  const released = holder.inFlight - inFlight;
  if (released > 0) {
    const intervalMs = (nowMs - account.releasedAtMs) / released;
    account.releaseIntervalMs += RELEASE_WEIGHT *
      (intervalMs - account.releaseIntervalMs);
    account.releasedAtMs = nowMs;
  }
  holder.inFlight = inFlight;
  holder.seenAtMs = nowMs;
  account.usageByIncarnation.set(incarnation, holder);
  return holder;
}

function ratesAllow(
  account: Account,
  options: { quota: Quota; tokens: number },
): boolean {
  const { quota, tokens } = options;
  return (!quota.requestsPerSecond || account.requests.allows(1)) &&
    (!quota.tokensPerSecond || tokens === 0 || account.tokens.allows(tokens));
}

function retryAfterMs(
  account: Account,
  options: {
    quota: Quota;
    tokens: number;
    nowMs: number;
    free: number;
    /** Place among the requests refused together. */
    at: number;
  },
): number {
  const { quota, tokens, nowMs, free, at } = options;
  const waits = [MIN_RETRY_AFTER_MS];
  if (quota.requestsPerSecond) {
    const perSecond = quota.requestsPerSecond;
    waits.push(account.requests.scheduleRetry(1, { perSecond, nowMs }));
  }
  if (quota.tokensPerSecond && tokens > 0) {
    const perSecond = quota.tokensPerSecond;
    waits.push(account.tokens.scheduleRetry(tokens, { perSecond, nowMs }));
  }
  if (free < 1) {
    waits.push(Math.ceil(account.releaseIntervalMs * (at + 1)));
  }
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(...waits));
}
