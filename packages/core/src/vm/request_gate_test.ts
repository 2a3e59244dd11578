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

class FakeHandle implements SummaryHandle {
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
  const handle = new FakeHandle();
  const { gate } = createGate(handle);
  const wrapper = gate.submitSummary({} as SummaryRequest, () => {});
  wrapper.pause();
  wrapper.resume();
  wrapper.cancel();
  expect(handle.calls).toEqual(["pause", "resume", "cancel"]);
});

test("Refused and aborted summaries are counted by reason", () => {
  const stopping = createGate(new FakeHandle(), true);
  stopping.gate.submitSummary({} as SummaryRequest, () => {});
  expect(stopping.refusals).toEqual(["stopping"]);
  const open = createGate(new FakeHandle());
  open.gate.submitSummary({} as SummaryRequest, () => {});
  open.gate.abortOpenRequests();
  expect(open.refusals).toEqual(["cut-by-stop"]);
});

test("A summary refused before submit returns ends once and is no longer in progress", () => {
  let trackedCount = 0;
  const gate = new RequestGate({
    summaries: {
      submit(_request: SummaryRequest, sink: SummarySink) {
        sink({ kind: "refused", refusal: notRun("no-configuration") });
        return { key: asId("key"), cancel() {}, pause() {}, resume() {} };
      },
    },
    inProgress: {
      track() {
        trackedCount += 1;
        return () => (trackedCount -= 1);
      },
    },
    refusesWork: () => false,
  } as unknown as RequestGateOptions);
  const events: SummaryEvent[] = [];
  gate.submitSummary({} as SummaryRequest, (event) => events.push(event));
  gate.abortOpenRequests();
  expect(events.map((event) => event.kind)).toEqual(["refused"]);
  expect(trackedCount).toBe(0);
});
