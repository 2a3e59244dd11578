/**
 * Admits a workspace's requests at all VMs against one quota account.
 *
 * Runs on the workspace's home, the VM that rendezvous hashing picks for it.
 */
import type { Quota } from "../configuration/types.ts";
import type { Incarnation, WorkspaceId } from "../common/ids.ts";
import type { AdmissionAnswer, AdmissionRequest } from "./app.ts";
import { RateBucket } from "./bucket.ts";

/** How long the requests in flight at an unresponsive VM still count against the quota. */
const USAGE_TTL_MS = 3_500;
/** How long a new home waits for the VMs to report their requests in flight. */
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
  /** Moving average of the time between two requests that end. */
  releaseIntervalMs: number;
  releasedAtMs: number;
}

/** Options of {@link QuotasHome}. */
export interface QuotasHomeOptions {
  quotaOf: (workspace: WorkspaceId) => Quota | undefined;
  /** Number of live VMs in the region, including this one. */
  liveVms: () => number;
}

/** Holds the quota accounts of the workspaces that this VM is home for. */
export class QuotasHome {
  #options: QuotasHomeOptions;
  #accounts = new Map<WorkspaceId, Account>();

  constructor(options: QuotasHomeOptions) {
    this.#options = options;
  }

  /** Admits as many of a VM's waiting requests as the quota allows, oldest first. */
  admit(request: AdmissionRequest): AdmissionAnswer {
    const quota = this.#options.quotaOf(request.workspace);
    const nowMs = performance.now();
    if (!quota) {
      this.#accounts.delete(request.workspace);
      return { admitted: request.needs.length, retryAfterMs: [] };
    }
    const account = this.#accountOf(request.workspace, nowMs);
    account.requests.fill(quota.requestsPerSecond ?? 0, nowMs);
    account.tokens.fill(quota.tokensPerSecond ?? 0, nowMs);
    const usage = recordUsage(account, { request, nowMs });
    let freeSlots = this.#freeSlots(account, { quota, usage, nowMs });
    let admitted = 0;
    for (const tokens of request.needs) {
      if (freeSlots < 1 || !ratesAllow(account, { quota, tokens })) break;
      if (quota.requestsPerSecond) account.requests.take(1);
      if (quota.tokensPerSecond) account.tokens.take(tokens);
      admitted += 1;
      freeSlots -= 1;
    }
    usage.inFlight += admitted;
    const refused = request.needs.slice(admitted);
    return {
      admitted,
      retryAfterMs: refused.map((tokens, index) =>
        retryAfterMs(account, { quota, tokens, nowMs, freeSlots, index })
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
    options: { quota: Quota; usage: VmUsage; nowMs: number },
  ): number {
    const { quota, usage, nowMs } = options;
    if (quota.inFlight === undefined) return Infinity;
    let inFlight = 0;
    for (const [incarnation, vmUsage] of account.usageByIncarnation) {
      if (nowMs - vmUsage.seenAtMs > USAGE_TTL_MS) {
        account.usageByIncarnation.delete(incarnation);
      } else inFlight += vmUsage.inFlight;
    }
    const freeSlots = quota.inFlight - inFlight;
    if (nowMs - account.createdAtMs > WARM_UP_MS) return freeSlots;
    // Other VMs may have requests in flight that they have not reported to this home
    // yet, so each VM is held to an equal share.
    const share = Math.floor(quota.inFlight / this.#options.liveVms());
    return Math.min(freeSlots, Math.max(1, share) - usage.inFlight);
  }
}

function recordUsage(
  account: Account,
  options: { request: AdmissionRequest; nowMs: number },
): VmUsage {
  const { request, nowMs } = options;
  const { incarnation, inFlight } = request;
  const usage = account.usageByIncarnation.get(incarnation) ??
    { inFlight, seenAtMs: 0 };
  const released = usage.inFlight - inFlight;
  if (released > 0) {
    const intervalMs = (nowMs - account.releasedAtMs) / released;
    account.releaseIntervalMs += RELEASE_WEIGHT *
      (intervalMs - account.releaseIntervalMs);
    account.releasedAtMs = nowMs;
  }
  usage.inFlight = inFlight;
  usage.seenAtMs = nowMs;
  account.usageByIncarnation.set(incarnation, usage);
  return usage;
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
    freeSlots: number;
    /** Position among the requests refused together, from 0. */
    index: number;
  },
): number {
  const { quota, tokens, nowMs, freeSlots, index } = options;
  const waits = [MIN_RETRY_AFTER_MS];
  if (quota.requestsPerSecond) {
    const perSecond = quota.requestsPerSecond;
    waits.push(account.requests.scheduleRetry(1, { perSecond, nowMs }));
  }
  if (quota.tokensPerSecond && tokens > 0) {
    const perSecond = quota.tokensPerSecond;
    waits.push(account.tokens.scheduleRetry(tokens, { perSecond, nowMs }));
  }
  if (freeSlots < 1) {
    waits.push(Math.ceil(account.releaseIntervalMs * (index + 1)));
  }
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(...waits));
}
