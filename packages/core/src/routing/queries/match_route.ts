/** Finds the route of a request: its host's longest prefix that begins the path. */
import { hashNumber } from "../../common/hash.ts";
import type { ServiceName } from "../../common/ids.ts";
import type { Route } from "../types.ts";

/** Routes by host and prefix, for look-ups that don't grow with their number. */
export class RouteIndex {
  #byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const prefixes = this.#byHost.get(route.host) ?? new Map();
      prefixes.set(route.prefix, route);
      this.#byHost.set(route.host, prefixes);
    }
  }

  /** Finds the route of a path, with or without a query. */
  match(host: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(host);
    if (!prefixes) return undefined;
    const queryAt = target.indexOf("?");
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    for (
      let end = path.lastIndexOf("/");
      end >= 0;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
    ) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
    }
    return undefined;
  }
}

/** Chooses a route's service by weight; the same key gets the same service. */
export function chooseService(route: Route, key: string): ServiceName {
  const total = route.destinations.reduce((sum, one) => sum + one.weight, 0);
  let left = hashNumber(key) % 10_000 / 10_000 * total;
  for (const { service, weight } of route.destinations) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.destinations.at(-1)!.service;
}
