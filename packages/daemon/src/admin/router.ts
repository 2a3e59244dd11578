/** Matches request paths to admin routes and extracts their path parameters. */
import type { AdminRoute } from "./types.ts";

/** The route that matches a request, with its decoded path parameters. */
export interface MatchedRoute {
  readonly route: AdminRoute;
  readonly params: Readonly<Record<string, string>>;
}

/** Returns the route for a method and path, or null if none matches. */
export type Router = (method: string, path: string) => MatchedRoute | null;

/** Creates a router; keys look like `GET /admin/calls/:key`. */
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
