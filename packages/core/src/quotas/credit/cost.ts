/** The cost of requests, and how far an account may be overdrawn. */
import type { WorkspaceQuota } from "../../routing/workspaces/types.ts";
import type { CreditRequest, QuotaShare } from "./types.ts";

/**
 * Seconds of the rate that an account holds where the burst is smaller than one
 * request. In 8 s, the bound leaves room for 0.8 s of the rate beside the rate itself.
 */
const MIN_ACCOUNT_SECONDS = 0.5;
/**
 * Debt that requests larger than the credit may leave: less than half of what the
 * bound leaves beside the rate and the burst, (0.8 s × rate + 0.1 × burst + 190,000
 * tokens). The other half is for credit that two homes grant while VMs don't yet
 * know that they can't reach each other.
 */
const DEBT_SECONDS = 0.2;
const DEBT_BURSTS = 0.02;
const DEBT_TOKENS = 70_000;

/** Returns what a request costs; without valid token counts that is `plainTokens`. */
export function costOf(
  quota: WorkspaceQuota,
  { tokens }: Pick<CreditRequest, "tokens">,
): number {
  if (quota.unit === "requests") return 1;
  const isValid = tokens !== null && Number.isFinite(tokens) && tokens > 0;
  return isValid ? tokens : quota.plainTokens;
}

/** Returns the most credit that an account with this share of a quota holds. */
export function capacityOf({ quota, share }: QuotaShare): number {
  const { burst, perSecond } = quota;
  const whole = burst >= oneRequestOf(quota)
    ? burst
    : Math.max(burst, MIN_ACCOUNT_SECONDS * perSecond);
  return whole * share;
}

/**
 * Returns the cost of the largest request that an account admits once it is full. One
 * that costs more doesn't fit into the bound beside eight seconds of the rate.
 */
export function largestCostOf(terms: QuotaShare): number {
  const withDebt = capacityOf(terms) + 2 * debtLimitOf(terms);
  return Math.max(withDebt, oneRequestOf(terms.quota));
}

/** Returns how far an account with this share of a quota may be overdrawn. */
export function debtLimitOf({ quota, share }: QuotaShare): number {
  const { unit, burst, perSecond } = quota;
  const tokens = unit === "tokens" ? DEBT_TOKENS : 0;
  return share * (DEBT_SECONDS * perSecond + DEBT_BURSTS * burst + tokens);
}

function oneRequestOf({ unit, plainTokens }: WorkspaceQuota): number {
  return unit === "requests" ? 1 : plainTokens;
}
