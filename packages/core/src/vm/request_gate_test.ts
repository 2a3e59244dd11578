import { expect, test } from "vitest";
import { asId } from "../shared/ids.ts";
import { notRun } from "../shared/verdict.ts";
import type {
  SummaryEvent,
  SummaryRequest,
  SummarySink,
} from "../summaries/types.ts";
import { RequestGate, type RequestGateOptions } from "./request_gate.ts";

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
  gate.cutOff();
  expect(events.map((event) => event.kind)).toEqual(["refused"]);
  expect(counted).toBe(0);
});
