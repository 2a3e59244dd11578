/** Takes retries from the budget of a service. */
import type { ServiceName } from "../common/ids.ts";
import type { RoutingContext } from "./context.ts";

/** Takes a retry from the budget and counts it; returns false if the budget is spent. */
export function takeRetry(
  { budget, observer }: RoutingContext,
  { service, reason }: { service: ServiceName; reason: string },
): boolean {
  const taken = budget.take(service);
  observer.count("retries", taken ? reason : `spent-${reason}`);
  return taken;
}
