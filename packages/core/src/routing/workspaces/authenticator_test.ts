import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../../common/ids.ts";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import type { RoutingTable } from "../types.ts";
import { Authenticator } from "./authenticator.ts";
import { digestOfKey } from "./key_index.ts";
import type { RoutingWorkspace } from "./types.ts";

const PRIVATE = { isPublic: false };
const PUBLIC = { isPublic: true };

let age: {
  isOutdated: boolean;
  isUnexpected: boolean;
  update: () => Promise<void>;
};
let authenticator: Authenticator;
let version = 0;

beforeEach(() => {
  vi.useFakeTimers();
  age = {
    isOutdated: false,
    isUnexpected: false,
    update: () => Promise.resolve(),
  };
  authenticator = new Authenticator({ age, observer: SILENT_OBSERVER });
});

afterEach(() => void vi.useRealTimers());

/** Activates a table with the keys of workspaces; null for a table without any. */
function setKeys(keys: Record<string, string[]> | null): void {
  const workspaces = keys && Object.entries(keys).map(
    ([name, texts]): RoutingWorkspace => ({
      id: asId<WorkspaceId>(name),
      keyDigests: texts.map((text) => digestOfKey(text)),
      priority: null,
      quota: null,
    }),
  );
  version += 1;
  authenticator.setTable(
    { version, ...(workspaces ? { workspaces } : {}) } as RoutingTable,
  );
}

function judge(key: string | null, route = PRIVATE): string | null {
  return authenticator.authenticate(
    { keyDigest: key === null ? null : digestOfKey(key) },
    route,
  ).match(
    (workspace) => workspace?.id ?? null,
    ({ reason }) => reason,
  );
}

function judgeForwarded(
  key: string,
  { workspace, receivedAgoMs = 0 }: {
    workspace: string;
    receivedAgoMs?: number;
  },
): string | null {
  const forwarded = {
    workspace: asId<WorkspaceId>(workspace),
    keyDigest: digestOfKey(key),
    receivedAgoMs,
  };
  return authenticator.authenticate({ keyDigest: null, forwarded }, PRIVATE)
    .match((found) => found?.id ?? null, ({ reason }) => reason);
}

test("A key has the workspace that lists it, and no other", () => {
  setKeys({ a: ["k1", "k2"], b: ["k3"] });
  expect(["k1", "k2", "k3", "k4", null].map((key) => judge(key))).toEqual(
    ["a", "a", "b", "unauthenticated", "unauthenticated"],
  );
  expect(["k1", "k4", null].map((key) => judge(key, PUBLIC))).toEqual(
    ["a", null, null],
  );
});

test("Without workspaces, no key is needed", () => {
  setKeys({ a: ["k1"] });
  setKeys(null);
  expect([judge("k1"), judge(null)]).toEqual([null, null]);
});

test("An outdated table refuses unknown keys as unverified, and accepts known ones", () => {
  setKeys({ a: ["k1"] });
  age.isOutdated = true;
  expect([judge("k1"), judge("k4"), judge(null)]).toEqual(
    ["a", "unverified-key", "unauthenticated"],
  );
});

test("A newer table is waited for only where it could change the answer", () => {
  setKeys({ a: ["k1"] });
  const needs = (key: string | null, route = PRIVATE) =>
    authenticator.needsUpdate(
      { keyDigest: key === null ? null : digestOfKey(key) },
      route,
    );
  expect([needs("k1"), needs("k4"), needs(null)]).toEqual(
    [false, false, false],
  );
  age.isOutdated = true;
  expect([needs("k1"), needs("k4"), needs(null), needs("k4", PUBLIC)]).toEqual(
    [false, true, false, false],
  );
  // As after a stall, when a revocation may not have been read yet.
  age.isUnexpected = true;
  expect(needs("k1")).toBe(true);
});

// Guards against a 401 to a key that the first VM's newer table has.
test("A forwarded key is checked for its workspace, and unverified if this VM has never known it", () => {
  setKeys({ a: ["k1"], b: ["k2"] });
  expect(judgeForwarded("k1", { workspace: "a" })).toBe("a");
  expect(judgeForwarded("k1", { workspace: "b" })).toBe("unverified-key");
  expect(judgeForwarded("k3", { workspace: "a" })).toBe("unverified-key");
});

// Guards against a revocation that ends streams which continue over another VM.
test("A forwarded request that was received before its key was revoked is accepted, a later one isn't", () => {
  setKeys({ a: ["k1", "k2"] });
  vi.advanceTimersByTime(10_000);
  setKeys({ a: ["k2"] });
  vi.advanceTimersByTime(500);
  setKeys({ a: ["k2"], b: [] });
  const judgeAfter = (receivedAgoMs: number) =>
    judgeForwarded("k1", { workspace: "a", receivedAgoMs });
  expect([judgeAfter(501), judgeAfter(499)]).toEqual(["a", "unauthenticated"]);
  expect(judge("k1")).toBe("unauthenticated");
  // A key that was revoked and added again counts as known.
  setKeys({ a: ["k1"] });
  expect([judgeAfter(0), judge("k1")]).toEqual(["a", "a"]);
});

test("Revoked keys are forgotten after all requests of their time have ended", () => {
  setKeys({ a: ["k1"] });
  setKeys({ a: [] });
  vi.advanceTimersByTime(300_001);
  setKeys({ a: [] });
  expect(
    judgeForwarded("k1", { workspace: "a", receivedAgoMs: 400_000 }),
  ).toBe("unverified-key");
});

test("A text is a known key only if a workspace lists it, whatever it contains", () => {
  setKeys({ a: ["k1", "__proto__", "constructor"] });
  fc.assert(
    fc.property(fc.string({ unit: "binary" }), (text) => {
      const known = ["k1", "__proto__", "constructor"].includes(text);
      expect(judge(text)).toBe(known ? "a" : "unauthenticated");
    }),
    { seed: 270, numRuns: 300 },
  );
});
