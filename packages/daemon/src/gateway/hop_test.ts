import { asId } from "@teaselvalve/core";
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
