import { expect, test } from "vitest";
import { CALL_POLICIES } from "./policies.ts";

const SENDABLE = {
  callerDisconnected: false,
  remainingMs: 1_000,
  eventLoopLagMs: 0,
};

test("A call is sent only if enough time to send it is left before its deadline", () => {
  const { checkSend } = CALL_POLICIES;
  expect(checkSend(SENDABLE)).toBe("send");
  expect(checkSend({ ...SENDABLE, remainingMs: 0 })).toBe("too-late");
  // A VM resumes from a freeze ten milliseconds before the deadline.
  expect(checkSend({ ...SENDABLE, remainingMs: 10 })).toBe("too-late");
});

test("A call whose caller disconnected is not sent, and after a freeze pending events are processed first", () => {
  const { checkSend } = CALL_POLICIES;
  expect(checkSend({ ...SENDABLE, callerDisconnected: true })).toBe(
    "caller-gone",
  );
  expect(checkSend({ ...SENDABLE, eventLoopLagMs: 600 })).toBe("recheck");
});
