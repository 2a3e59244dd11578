import { expect, test } from "vitest";
import {
  emptyBodies,
  type Manifest,
  type ScopeBodies,
  SCOPES,
} from "../types.ts";
import { describeDifference } from "../difference.ts";
import {
  checkAllowedWorkspaces,
  checkScopes,
  parseManifest,
} from "./validate.ts";

const HASH = "a".repeat(64);

function replica(id: string, extra: Record<string, unknown> = {}) {
  const place = { address: id, dataCentre: "espoo-b" };
  return { id, kind: "decode", model: "tiivistaja", ...place, ...extra };
}

function parse(scopes: Record<string, unknown>, extra = {}): Manifest {
  const submitted = Object.fromEntries(
    Object.entries(scopes).map(([scope, body]) => [scope, {
      basedOn: 0,
      body,
    }]),
  );
  return parseManifest({ submissionId: "one", ...extra, scopes: submitted })
    ._unsafeUnwrap();
}

function check(manifest: Manifest, before = emptyBodies()): string[] {
  const after = { ...before } as Record<string, unknown>;
  for (const scope of SCOPES) {
    if (manifest.scopes[scope]) after[scope] = manifest.scopes[scope].body;
  }
  const bodies = after as unknown as ScopeBodies;
  return checkScopes({ manifest, before, after: bodies }).map((error) =>
    error.path
  );
}

test("All schema errors are reported at once with their paths", () => {
  const errors = parseManifest({
    submissionId: "",
    scopes: {
      deployment: { basedOn: -1, body: { name: "Not a name", extra: 1 } },
      endpoints: { basedOn: 0, body: [{ id: "decode-1", kind: "other" }] },
    },
  })._unsafeUnwrapErr().map((error) => error.path);
  expect(errors).toEqual(expect.arrayContaining([
    "submissionId",
    "scopes.deployment.basedOn",
    "scopes.deployment.body.name",
    "scopes.deployment.body",
    "scopes.endpoints.body.0.kind",
    "scopes.endpoints.body.0.address",
  ]));
});

test("All errors between items and scopes are reported at once with their paths", () => {
  const manifest = parse({
    deployment: { name: "world", services: [{ name: "kirjaamo" }] },
    workspaces: [
      { id: "lenders", models: ["missing"], tokens: [] },
      { id: "lenders", tokens: [{ hash: HASH, caller: "a" }] },
      { id: "offices", tokens: [{ hash: HASH, caller: "b" }] },
    ],
    endpoints: [
      replica("decode-1"),
      replica("decode-1"),
      replica("decode-2", { model: undefined }),
      replica("service-1", { kind: "service", service: "missing" }),
      replica("service-2", { kind: "service" }),
    ],
    roles: [{ hash: HASH, name: "a", role: "operator", workspaces: ["none"] }],
  });
  expect(check(manifest).sort()).toEqual([
    "scopes.endpoints.body.1.id",
    "scopes.endpoints.body.2.model",
    "scopes.endpoints.body.3.service",
    "scopes.endpoints.body.4.service",
    "scopes.roles.body.0.workspaces.0",
    "scopes.workspaces.body.0.models.0",
    "scopes.workspaces.body.1.id",
    "scopes.workspaces.body.2.tokens.0.hash",
  ]);
});

test("An error in a scope that the manifest omits has a path under inForce", () => {
  const before = {
    ...emptyBodies(),
    ...Object.fromEntries(
      Object.entries(
        parse({
          deployment: { name: "world", services: [{ name: "kirjaamo" }] },
          endpoints: [replica("s", { kind: "service", service: "kirjaamo" })],
        }).scopes,
      ).map(([scope, change]) => [scope, change?.body]),
    ),
  } as ScopeBodies;
  expect(check(parse({ deployment: { name: "world" } }), before)).toEqual([
    "inForce.endpoints.0.service",
  ]);
});

test("Removing the last live replica of a model requires allowModelWithoutReplica", () => {
  const endpoints = [replica("decode-1"), replica("decode-2")];
  const first = parse({ deployment: { name: "world" }, endpoints });
  const before = {
    ...emptyBodies(),
    deployment: first.scopes.deployment!.body,
    endpoints: first.scopes.endpoints!.body,
  };
  const leaving = endpoints.map((endpoint) => ({
    ...endpoint,
    state: "leaving",
  }));
  expect(check(parse({ endpoints: [endpoints[0]] }), before)).toEqual([]);
  expect(check(parse({ endpoints: leaving }), before)).toHaveLength(1);
  expect(check(parse({ endpoints: [] }), before)).toHaveLength(1);
  const allowed = { allowModelWithoutReplica: true };
  expect(check(parse({ endpoints: leaving }, allowed), before)).toEqual([]);
});

test("An operator can change only its own workspaces", () => {
  const first = parse({
    workspaces: [{ id: "lenders" }, { id: "offices" }],
  }).scopes.workspaces!.body;
  const before = { ...emptyBodies(), workspaces: first };
  const changed = parse({
    deployment: { name: "world" },
    workspaces: [{ id: "lenders", weight: 2 }, { id: "offices", weight: 2 }, {
      id: "clinics",
    }],
  });
  const after = { ...before, workspaces: changed.scopes.workspaces!.body };
  const paths = checkAllowedWorkspaces(
    { manifest: changed, before, after },
    [first[0]!.id],
  ).map((error) => error.path);
  expect(paths.sort()).toEqual([
    "scopes.deployment",
    "scopes.workspaces.clinics",
    "scopes.workspaces.offices",
  ]);
});

test("Described differences shorten token hashes", () => {
  const role = { hash: HASH, name: "pipeline", role: "reader" };
  const lines = describeDifference("roles", {
    before: [role],
    after: [{ ...role, role: "operator" }],
  });
  expect(lines).toEqual(['~ roles.aaaaaaaa....role: "reader" -> "operator"']);
});
