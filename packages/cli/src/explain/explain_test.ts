import { formatRecord } from "@teaselvalve/daemon";
import { expect, test } from "vitest";
import { explainRequest, formatExplanation } from "./explain.ts";
import { type LogRecord, parseRecord } from "./records.ts";

const INFO = 30;

function record(
  atMs: number,
  fields: { vm: string; event: string } & Record<string, unknown>,
): LogRecord {
  const line = formatRecord({ level: INFO, time: new Date(atMs), ...fields });
  return parseRecord(line)!;
}

const sent = record(1_000, {
  vm: "vm-1",
  event: "call-sent",
  attempt: "a1",
  endpoint: "e7",
  send: 1,
  outcome: "lost",
  leftMs: 795,
});
const refused = record(1_002, {
  vm: "vm-1",
  event: "request",
  status: 504,
  durationMs: 6,
  attempt: "a1",
  end: "refused",
  reason: "connection-lost",
  verdict: "mayHaveRun",
});
const removed = record(1_300, {
  vm: "vm-1",
  event: "endpoint-gone",
  endpoint: "e7",
});

test("A formatted line parses back to its values, quoted ones included", () => {
  const written = {
    vm: "vm-1",
    event: "stream-sent",
    detail: 'an "odd" answer = \\ 7',
    phases: [1, 2],
  };
  const read = record(0, written);
  expect(read).toMatchObject({ vm: "vm-1", event: "stream-sent" });
  expect(read.time).toBe("1970-01-01T00:00:00.000Z");
  expect(read.fields.get("detail")).toBe(written.detail);
  expect(read.fields.get("phases")).toBe("[1,2]");
});

test("Lines that are not records and prefixes before a record are ignored", () => {
  expect(parseRecord("npm warn something=else")).toBeNull();
  expect(parseRecord("time=1 event=request")).toBeNull();
  expect(parseRecord("host-3: time=1 vm=vm-1 event=request")?.vm).toBe("vm-1");
});

test("A lost call is explained by its own lines and nearby events of its endpoint", () => {
  const other = record(1_100, { vm: "vm-1", event: "request", attempt: "a2" });
  const outsideWindow = record(60_000, {
    vm: "vm-1",
    event: "endpoint-gone",
    endpoint: "e7",
  });
  const otherVm = record(1_200, {
    vm: "vm-2",
    event: "endpoint-gone",
    endpoint: "e7",
  });
  const records = [outsideWindow, removed, refused, otherVm, other, sent];
  const explanation = explainRequest(records, "a1")!;
  expect(explanation.lines).toEqual([sent, refused]);
  expect(explanation.deciding).toEqual(sent);
  expect(explanation.around).toEqual([removed]);
  expect(explanation.outcome).toBe(
    "was refused with status 504 after 6 ms: the connection to the endpoint ended before the response was complete (connection-lost), and may have run, partly or fully",
  );
  expect(formatExplanation(explanation)[1]).toBe(
    "Decided by call-sent at vm-1: attempt=a1 endpoint=e7 send=1 outcome=lost leftMs=795",
  );
});

test("An attempt without a last line is explained as such, and an unknown id is not found", () => {
  expect(explainRequest([sent], "a1")?.outcome).toMatch(/^has no last line/);
  expect(explainRequest([sent, refused], "a9")).toBeNull();
});

test("Shows the status of an answered request and that a refused one did not run", () => {
  const answered = record(5, {
    vm: "vm-1",
    event: "request",
    status: 200,
    durationMs: 31,
    attempt: "a3",
    end: "answered",
  });
  const overload = record(6, {
    vm: "vm-1",
    event: "request",
    status: 503,
    durationMs: 640,
    attempt: "a4",
    end: "refused",
    reason: "no-capacity",
    verdict: "notRun",
  });
  const records = [answered, overload];
  expect(explainRequest(records, "a3")?.outcome).toBe(
    "was answered with status 200 after 31 ms",
  );
  expect(explainRequest(records, "a4")?.outcome).toMatch(/and did not run$/);
});
