/** Services whose streams compete with different priorities. */
import type { ServiceName } from "../../common/ids.ts";
import type { RoutingTable } from "../types.ts";

/**
 * Returns the services for whose streams the table names more than one priority, by
 * their routes or by the workspaces of their callers.
 */
export function findPrioritisedServices(
  { routes, workspaces = [] }: Pick<RoutingTable, "routes" | "workspaces">,
): Set<ServiceName> {
  const priorities = new Map<ServiceName, Set<number>>();
  for (const route of routes) {
    if (route.kind !== "stream") continue;
    const named = workspaces.map(({ priority }) => priority ?? route.priority);
    // Requests of a public route may have no workspace.
    if (route.isPublic || named.length === 0) named.push(route.priority);
    for (const { service } of route.destinations) {
      const known = priorities.get(service) ?? new Set();
      for (const priority of named) known.add(priority);
      priorities.set(service, known);
    }
  }
  return new Set(
    [...priorities].filter(([, { size }]) => size > 1).map(([name]) => name),
  );
}
