/** Keeps repeats to a share of the requests for each service, split among the VMs. */
import type { ServiceName } from "../common/ids.ts";

/** Share of the whole budget that is used; the rest covers views that differ. */
const USED_SHARE = 0.8;

/** What the deployment allows all VMs together. */
export interface BudgetLimits {
  /** Repeats for each request, 0 to 1. */
  readonly share: number;
  /** Repeats allowed on top in one window. */
  readonly slack: number;
}

/** Options of {@link ServiceBudget}. */
export interface ServiceBudgetOptions {
  limits: () => BudgetLimits;
  /** VMs that share the budget. */
  vmCount: () => number;
}

/** Owns this VM's part of the repeat budgets. */
export class ServiceBudget {
  #options: ServiceBudgetOptions;
  #left = new Map<ServiceName, number>();

  constructor(options: ServiceBudgetOptions) {
    this.#options = options;
  }

  /** Notes a request, which earns its service a share of a repeat. */
  earn(service: ServiceName): void {
    const { share } = this.#options.limits();
    const left = this.left(service) + share * USED_SHARE;
    this.#left.set(service, Math.min(this.#capacity(), left));
  }

  /** Takes one repeat; false when the budget is spent. */
  take(service: ServiceName): boolean {
    const left = this.left(service);
    if (left < 1) return false;
    this.#left.set(service, left - 1);
    return true;
  }

  /** Counts a repeat that was not foreseen; the budget may fall below nothing. */
  charge(service: ServiceName): void {
    this.#left.set(service, this.left(service) - 1);
  }

  /** Repeats that this VM may make now. */
  left(service: ServiceName): number {
    return this.#left.get(service) ?? this.#capacity();
  }

  #capacity(): number {
    const vmCount = Math.max(1, this.#options.vmCount());
    return Math.max(1, this.#options.limits().slack * USED_SHARE / vmCount);
  }
}
