import { expect, test } from "vitest";
import { asId, type ServiceName } from "../../common/ids.ts";
import { route } from "../testing/fake_endpoints.ts";
import type { Route } from "../types.ts";
import { findPrioritisedServices } from "./stream_priorities.ts";

const [A, B] = [asId<ServiceName>("a"), asId<ServiceName>("b")];

function stream(service: ServiceName, options: Partial<Route> = {}): Route {
  const destinations = [{ service, weight: 1 }];
  return route({ kind: "stream", destinations, ...options });
}

function workspace(name: string, priority: number | null) {
  return { id: asId<never>(name), keyDigests: [], priority, quota: null };
}

test("A service has priorities if the routes of its streams differ, or the workspaces that may use them", () => {
  const services = (
    routes: Route[],
    workspaces?: ReturnType<typeof workspace>[],
  ) => [...findPrioritisedServices({ routes, workspaces })];
  expect(services([stream(A, { priority: 0 }), stream(A, { priority: 2 })]))
    .toEqual([A]);
  expect(services([stream(A, { priority: 0 }), stream(B, { priority: 2 })]))
    .toEqual([]);
  expect(services([stream(A), stream(A, { kind: "safe", priority: 9 })]))
    .toEqual([]);
  const [plain, high] = [workspace("w", null), workspace("x", 0)];
  expect(services([stream(A, { priority: 2 })], [plain])).toEqual([]);
  expect(services([stream(A, { priority: 2 })], [plain, high])).toEqual([A]);
  expect(services([stream(A, { priority: 2 })], [high])).toEqual([]);
  expect(services([stream(A, { priority: 2, isPublic: true })], [high]))
    .toEqual([A]);
});
