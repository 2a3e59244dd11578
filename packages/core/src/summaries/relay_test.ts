import { expect, test } from "vitest";
import { mayHaveRun } from "../common/verdict.ts";
import { SUMMARY_POLICIES } from "./policies.ts";
import { AnswerRelay } from "./relay.ts";
import type { SummaryEvent } from "./types.ts";

function relayFrom(fromOffset: number) {
  const events: SummaryEvent[] = [];
  const relay = new AnswerRelay({
    sink: (event) => events.push(event),
    fromOffset,
    isNext: SUMMARY_POLICIES.isNext,
  });
  return { relay, events };
}

function tokens(offset: number, ...texts: string[]) {
  return { kind: "tokens", offset, texts } as const;
}

function textOf(events: readonly SummaryEvent[]): string {
  return events.flatMap((event) => event.kind === "tokens" ? event.texts : [])
    .join(
      "",
    );
}

test("Each token is sent once, in order", () => {
  const { relay, events } = relayFrom(0);
  expect(relay.relayTokens(tokens(0, "a", "b"))).toBe("sent");
  expect(relay.relayTokens(tokens(0, "a"))).toBe("stale");
  expect(relay.relayTokens(tokens(1, "b", "c"))).toBe("sent");
  expect(relay.relayTokens(tokens(4, "e"))).toBe("gap");
  expect(relay.nextOffset).toBe(3);
  expect(textOf(events)).toBe("abc");
});

test("An end with more tokens than were sent is a gap, one with fewer diverges", () => {
  const { relay } = relayFrom(0);
  relay.relayTokens(tokens(0, "a", "b"));
  const end = { kind: "end", finish: "stop" } as const;
  expect(relay.relayEnd({ ...end, totalTokens: 3 })).toBe("gap");
  expect(relay.relayEnd({ ...end, totalTokens: 1 })).toBe("diverged");
  expect(relay.relayEnd({ ...end, totalTokens: 2 })).toBe("sent");
  expect(relay.relayEnd({ ...end, totalTokens: 2 })).toBe("stale");
});

test("A new run continues where its text agrees, even with other token boundaries", () => {
  const { relay, events } = relayFrom(0);
  relay.relayTokens(tokens(0, "ab", "c"));
  relay.restart();
  expect(relay.relayTokens(tokens(0, "a"))).toBe("held");
  expect(relay.attachOffset).toBe(1);
  expect(relay.relayTokens(tokens(1, "bc", "d"))).toBe("sent");
  expect(textOf(events)).toBe("abcd");
});

test("A new run with another text is reported as diverged and not sent", () => {
  const { relay, events } = relayFrom(0);
  relay.relayTokens(tokens(0, "a", "b"));
  relay.restart();
  expect(relay.relayTokens(tokens(0, "a", "x", "c"))).toBe("diverged");
  expect(textOf(events)).toBe("ab");
});

test("A resumed caller can't be switched to a new run, as its earlier text is unknown", () => {
  const { relay } = relayFrom(5);
  relay.relayTokens(tokens(5, "f"));
  expect(relay.canRestart).toBe(false);
});

test("A newer connection closes the older one and gets the tokens from its offset", () => {
  const { relay, events } = relayFrom(0);
  relay.relayTokens(tokens(0, "a", "b", "c"));
  const newer: SummaryEvent[] = [];
  const sink = (event: SummaryEvent) => newer.push(event);
  relay.reconnect({ sink, fromOffset: 1 }, mayHaveRun("superseded"));
  expect(events.at(-1)).toMatchObject({ kind: "refused" });
  expect(relay.attachOffset).toBe(1);
  relay.relayTokens(tokens(1, "b", "c"));
  expect(textOf(newer)).toBe("bc");
  expect(relay.canRestart).toBe(true);
});
