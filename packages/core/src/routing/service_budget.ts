/** Limits the retries for each service to a share of its requests, split among the VMs. */
import type { ServiceName } from "../common/ids.ts";

/** Share of the budget that is used; the rest covers VMs that count a different number of VMs. */
const USED_SHARE = 0.8;

/** Retry limits for all VMs of the deployment together. */
export interface BudgetLimits {
  /** Retries allowed per request, 0 to 1. */
  readonly share: number;
  /** Retries allowed on top of the share in any window of time; limits the budget that is saved up. */
  readonly slack: number;
}

/** Options of {@link ServiceBudget}. */
export interface ServiceBudgetOptions {
  limits: () => BudgetLimits;
  /** Number of VMs that share the budget. */
  vmCount: () => number;
}

/** This VM's part of the retry budget of each service. */
export class ServiceBudget {
  #options: ServiceBudgetOptions;
  #left = new Map<ServiceName, number>();

  constructor(options: ServiceBudgetOptions) {
    this.#options = options;
  }

  /** Adds one request's share of a retry to the service's budget. */
  earn(service: ServiceName): void {
    const { share } = this.#options.limits();
    const left = this.left(service) + share * USED_SHARE;
    this.#left.set(service, Math.min(this.#capacity(), left));
  }

  /** Takes one retry; returns false if the budget is spent. */
  take(service: ServiceName): boolean {
    const left = this.left(service);
    if (left < 1) return false;
    this.#left.set(service, left - 1);
    return true;
  }

  /** Returns a retry that was taken but not made. */
  giveBack(service: ServiceName): void {
    this.#left.set(
      service,
      Math.min(this.#capacity(), this.left(service) + 1),
    );
  }

  /** Charges a retry that can't be prevented any more; the budget may become negative. */
  charge(service: ServiceName): void {
    this.#left.set(service, this.left(service) - 1);
  }

  /** Retries that this VM may make now; fractional, and negative after a `charge`. */
  left(service: ServiceName): number {
    return this.#left.get(service) ?? this.#capacity();
  }

  #capacity(): number {
    const vmCount = Math.max(1, this.#options.vmCount());
    return Math.max(1, this.#options.limits().slack * USED_SHARE / vmCount);
  }
}
