import { expect, test } from "vitest";
import { asId, type ServiceName } from "../../common/ids.ts";
import { route } from "../testing/fake_endpoints.ts";
import { chooseService, RouteIndex } from "./match_route.ts";

test("The longest matching prefix wins, among the routes of the request's host only", () => {
  const index = new RouteIndex([
    route({ name: asId("short"), prefix: "/a/" }),
    route({ name: asId("long"), prefix: "/a/b/" }),
    route({ name: asId("other"), host: "b.example", prefix: "/" }),
  ]);
  expect(index.match("a.example", "/a/b/c")?.name).toBe("long");
  expect(index.match("a.example", "/a/b")?.name).toBe("short");
  expect(index.match("a.example", "/a/?x=/a/b/")?.name).toBe("short");
  expect(index.match("a.example", "/b/")).toBeUndefined();
  expect(index.match("b.example", "/anything")?.name).toBe("other");
  expect(index.match("c.example", "/a/")).toBeUndefined();
});

test("A split route divides keys by weight, and a key always gets the same service", () => {
  const [a, b] = ["a", "b"].map((name) => asId<ServiceName>(name));
  const split = route({
    destinations: [{ service: a!, weight: 90 }, { service: b!, weight: 10 }],
  });
  const keys = Array.from({ length: 2_000 }, (_, n) => `key-${n}`);
  const toB = keys.filter((key) => chooseService(split, key) === b);
  expect(toB.length / keys.length).toBeGreaterThan(0.07);
  expect(toB.length / keys.length).toBeLessThan(0.13);
  expect(chooseService(split, "k")).toBe(chooseService(split, "k"));
});
