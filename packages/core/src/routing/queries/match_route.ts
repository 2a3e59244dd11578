/** Finds the route of a request by its host and the longest matching path prefix. */
import { hash48 } from "../../common/hash.ts";
import type { ServiceName } from "../../common/ids.ts";
import type { Route } from "../types.ts";

/** Indexes routes by host and prefix; the cost of a lookup doesn't grow with the number of routes. */
export class RouteIndex {
  #byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const prefixes = this.#byHost.get(route.host) ?? new Map();
      prefixes.set(route.prefix, route);
      this.#byHost.set(route.host, prefixes);
    }
  }

  /** Returns the route for a request target, with or without a query; undefined if none matches. */
  match(host: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(host);
    if (!prefixes) return undefined;
    const queryIndex = target.indexOf("?");
    const path = queryIndex < 0 ? target : target.slice(0, queryIndex);
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

/** Chooses one of a route's services by weight; the same key always gets the same service. */
export function chooseService(route: Route, key: string): ServiceName {
  const totalWeight = route.destinations.reduce(
    (sum, destination) => sum + destination.weight,
    0,
  );
  let remaining = hash48(key) % 10_000 / 10_000 * totalWeight;
  for (const { service, weight } of route.destinations) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.destinations.at(-1)!.service;
}
