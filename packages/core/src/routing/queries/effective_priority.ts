/** The priority of a request. */
import type { Route, RoutedRequest } from "../types.ts";

/** Returns the priority of a request, 0 being the highest: its workspace's, or else its route's. */
export function effectivePriority(
  request: Pick<RoutedRequest, "priority">,
  route: Pick<Route, "priority">,
): number {
  return request.priority ?? route.priority;
}
