/** Finds the route of a path, with the values of the parts that it names. */
import type { AdminRoute } from "./types.ts";

/** A route that matches a request. */
export interface MatchedRoute {
  readonly route: AdminRoute;
  readonly params: Readonly<Record<string, string>>;
}

/** Matches requests to routes. */
export type Router = (method: string, path: string) => MatchedRoute | null;

/** Creates the router of a list of routes. */
export function createRouter(
  routes: ReadonlyMap<string, AdminRoute>,
): Router {
  const patterns = [...routes].map(([name, route]) => ({
    route,
    pattern: toPattern(name),
  }));
  return (method, path) => {
    for (const { route, pattern } of patterns) {
      const match = pattern.exec(`${method} ${path}`);
      if (match) return { route, params: decodeParams(match.groups ?? {}) };
    }
    return null;
  };
}

function toPattern(name: string): RegExp {
  const source = name.replace(/:(\w+)/g, "(?<$1>[^/]+)");
  return new RegExp(`^${source}$`);
}

function decodeParams(
  groups: Record<string, string>,
): Record<string, string> {
  const entries = Object.entries(groups).map(([name, value]) => [
    name,
    decodeText(value),
  ]);
  return Object.fromEntries(entries);
}

function decodeText(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
