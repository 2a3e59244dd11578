import { expect, test } from "vitest";
import { asId } from "../common/ids.ts";
import type { MemberEvent } from "./machine.ts";
import { SUSPICION_MS } from "./machine.ts";
import { MemberRecord } from "./record.ts";

function recordAfter(events: readonly MemberEvent[]): MemberRecord {
  const record = new MemberRecord({
    id: asId("vm-2"),
    place: {
      dataCentre: asId("espoo-b"),
      region: asId("suomi-etela"),
      callerAddress: "vm-2:1",
      peerAddress: "vm-2:2",
    },
    listing: "live",
  });
  for (const event of events) record.send(event);
  return record;
}

const heard = (
  statusVersion: number,
  announced: "live" | "leaving" = "live",
): MemberEvent => ({
  type: "heard",
  statusVersion,
  incarnation: asId("boot-1"),
  announced,
});
const noAnswer: MemberEvent = { type: "probeFailed", atMs: 0 };
const unlisted: MemberEvent = { type: "listed", listing: "absent" };
const timePassed: MemberEvent = { type: "timePassed", atMs: SUSPICION_MS };

test("Only a newer status refutes a suspicion", () => {
  expect(recordAfter([heard(5), noAnswer, heard(5)]).state).toBe("suspected");
  expect(recordAfter([heard(5), noAnswer, heard(6)]).state).toBe("live");
});

test("A report that suspects an older status is ignored", () => {
  const suspicion: MemberEvent = {
    type: "suspicionReceived",
    statusVersion: 4,
    atMs: 0,
  };
  expect(recordAfter([heard(5), suspicion]).state).toBe("live");
});

test("An unresponsive VM that isn't leaving becomes dead only if it is unlisted", () => {
  expect(recordAfter([heard(5), noAnswer, timePassed]).state).toBe("suspected");
  expect(recordAfter([heard(5), noAnswer, unlisted, timePassed]).state).toBe(
    "dead",
  );
});

test("A leaving VM that stops answering becomes dead even if it is listed", () => {
  const events = [heard(5), heard(6, "leaving"), noAnswer, timePassed];
  expect(recordAfter(events).state).toBe("dead");
});

test("A VM that the platform lists as leaving is leaving", () => {
  const listed: MemberEvent = { type: "listed", listing: "leaving" };
  expect(recordAfter([heard(5), listed]).state).toBe("leaving");
});

test("A dead VM that announces a newer status becomes live again", () => {
  const events = [heard(5), noAnswer, unlisted, timePassed, heard(6)];
  expect(recordAfter(events).state).toBe("live");
});
