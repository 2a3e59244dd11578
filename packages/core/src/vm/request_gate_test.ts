import { expect, test } from "vitest";
import { asId, type RequestKey } from "../common/ids.ts";
import { notRun } from "../common/verdict.ts";
import type {
  SummaryEvent,
  SummaryHandle,
  SummaryRequest,
  SummarySink,
} from "../summaries/types.ts";
import { RequestGate, type RequestGateOptions } from "./request_gate.ts";

class Handle implements SummaryHandle {
  readonly key = asId<RequestKey>("key");
  readonly calls: string[] = [];

  cancel(): void {
    this.calls.push("cancel");
  }

  pause(): void {
    this.calls.push("pause");
  }

  resume(): void {
    this.calls.push("resume");
  }
}

function createGate(handle: SummaryHandle, stopping = false) {
  const refusals: string[] = [];
  const gate = new RequestGate({
    summaries: { submit: () => handle },
    inProgress: { track: () => () => {} },
    refusesWork: () => stopping,
    countRefusal: (reason: string) => refusals.push(reason),
  } as unknown as RequestGateOptions);
  return { gate, refusals };
}

test("A handle of any class can be paused, resumed and cancelled through the gate", () => {
  const handle = new Handle();
  const { gate } = createGate(handle);
  const outer = gate.submitSummary({} as SummaryRequest, () => {});
  outer.pause();
  outer.resume();
  outer.cancel();
  expect(handle.calls).toEqual(["pause", "resume", "cancel"]);
});

test("What the gate refuses or cuts off is counted by reason", () => {
  const stopping = createGate(new Handle(), true);
  stopping.gate.submitSummary({} as SummaryRequest, () => {});
  expect(stopping.refusals).toEqual(["stopping"]);
  const open = createGate(new Handle());
  open.gate.submitSummary({} as SummaryRequest, () => {});
  open.gate.abortOpenRequests();
  expect(open.refusals).toEqual(["cut-by-stop"]);
});

test("A summary that is refused before its handle is there ends, and is no longer counted", () => {
  let counted = 0;
  const gate = new RequestGate({
    summaries: {
      submit(_request: SummaryRequest, sink: SummarySink) {
        sink({ kind: "refused", refusal: notRun("no-configuration") });
        return { key: asId("key"), cancel() {}, pause() {}, resume() {} };
      },
    },
    inProgress: {
      track() {
        counted += 1;
        return () => (counted -= 1);
      },
    },
    refusesWork: () => false,
  } as unknown as RequestGateOptions);
  const events: SummaryEvent[] = [];
  gate.submitSummary({} as SummaryRequest, (event) => events.push(event));
  gate.abortOpenRequests();
  expect(events.map((event) => event.kind)).toEqual(["refused"]);
  expect(counted).toBe(0);
});
