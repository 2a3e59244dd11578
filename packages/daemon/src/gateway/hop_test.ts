import { asId, digest } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { formatHop, HOP_HEADER, readHop } from "./hop.ts";

test("A hop is read as it was written, whatever characters names have", () => {
  const hop = {
    from: asId<never>("vm-1"),
    runs: 1,
    tableVersion: 12,
    origin: {
      service: asId<never>("yhteenveto-☃"),
      version: asId<never>('v"1%20'),
    },
  };
  const header = formatHop({
    hop,
    timeLeftMs: 900,
    lastEventId: "7",
    resumes: asId<never>("attempt-1"),
  });
  expect(header).toMatch(/^[\x20-\x7e]+$/);
  expect(readHop({ [HOP_HEADER]: header })).toEqual({
    hop,
    fields: { timeoutMs: 900, lastEventId: "7", resumes: "attempt-1" },
  });
});

test("A malformed hop is none", () => {
  for (const header of ["", "%", "{}", "answer", "%7B"]) {
    expect(readHop({ [HOP_HEADER]: header })).toBeNull();
  }
});

test("A hop carries the workspace and the digest of a key, and the age of the request", () => {
  const header = formatHop({
    hop: { from: asId<never>("vm-1"), runs: 0, origin: null },
    timeLeftMs: 900,
    lastEventId: null,
    resumes: null,
    request: {
      workspace: asId("työ ☃"),
      keyDigest: digest("k"),
      receivedAtMs: performance.now() - 250,
    },
  });
  const { forwardedKey } = readHop({ [HOP_HEADER]: header })!;
  expect(forwardedKey).toMatchObject({
    workspace: "työ ☃",
    keyDigest: digest("k"),
  });
  expect(forwardedKey!.receivedAgoMs).toBeGreaterThanOrEqual(250);
});

// Guards against a malformed digest that is taken for a checked key.
test("A hop without a whole key has none, and one with a malformed digest is none", () => {
  const fields = {
    from: "vm-1",
    runs: 0,
    origin: null,
    timeLeftMs: 1,
    lastEventId: null,
    resumes: null,
  };
  const read = (more: object) =>
    readHop({
      [HOP_HEADER]: encodeURIComponent(JSON.stringify({ ...fields, ...more })),
    });
  expect(read({})!.forwardedKey).toBeUndefined();
  expect(read({ workspace: "a" })!.forwardedKey).toBeUndefined();
  expect(read({ keyDigest: digest("k") })!.forwardedKey).toBeUndefined();
  expect(read({ workspace: "a", keyDigest: "k" })).toBeNull();
});

// A VM of the previous build names no version, and one of a later build may name more.
test("A hop without a valid table version is read without one", () => {
  const fields = {
    from: "vm-1",
    runs: 0,
    origin: null,
    timeLeftMs: 900,
    lastEventId: null,
    resumes: null,
  };
  for (const other of [{}, { tableVersion: "x" }, { tableVersion: -1, x: 1 }]) {
    const header = encodeURIComponent(JSON.stringify({ ...fields, ...other }));
    expect(readHop({ [HOP_HEADER]: header })?.hop).toEqual({
      from: "vm-1",
      runs: 0,
      origin: null,
    });
  }
});
