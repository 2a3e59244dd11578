import { expect, test } from "vitest";
import { CALL_POLICIES } from "./policies.ts";

const FACTS = {
  callerDisconnected: false,
  remainingMs: 1_000,
  eventLoopLagMs: 0,
};

test("A call is sent only while it can run before its deadline", () => {
  const { checkSend } = CALL_POLICIES;
  expect(checkSend(FACTS)).toBe("send");
  expect(checkSend({ ...FACTS, remainingMs: 0 })).toBe("too-late");
  // A VM thaws ten milliseconds before the deadline.
  expect(checkSend({ ...FACTS, remainingMs: 10 })).toBe("too-late");
});

test("A call whose caller left is not sent, and after a freeze pending events come first", () => {
  const { checkSend } = CALL_POLICIES;
  expect(checkSend({ ...FACTS, callerDisconnected: true })).toBe("caller-gone");
  expect(checkSend({ ...FACTS, eventLoopLagMs: 600 })).toBe("recheck");
});
