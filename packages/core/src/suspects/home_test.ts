import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { MembershipView } from "../membership/types.ts";
import { asId } from "../common/ids.ts";
import { SuspectsHome } from "./home.ts";
import type { SuspectHash, SuspectRun, SuspectStatusUpdate } from "./types.ts";

const POISON = asId<SuspectHash>("poison");
// A harmless body that is in flight when others crash the replica.
const NEIGHBOUR = asId<SuspectHash>("neighbour");
const ENDPOINT = asId<never>("decode-1");

let runs = 0;
let members: Record<string, { state: string; incarnation: string }>;
let news: SuspectStatusUpdate[];
let home: SuspectsHome;

beforeEach(() => {
  vi.useFakeTimers();
  runs = 0;
  news = [];
  members = { "vm-1": { state: "live", incarnation: "boot-1" } };
  const membership = {
    member: (id: string) => members[id],
  } as unknown as MembershipView;
  home = new SuspectsHome({
    membership,
    quarantineMs: () => 60_000,
    onStatusChange: (update) => news.push(update),
  });
});

afterEach(() => vi.useRealTimers());

function run(hash: SuspectHash): SuspectRun {
  runs += 1;
  return {
    id: asId(`run-${runs}`),
    hash,
    vm: asId("vm-1"),
    incarnation: asId("boot-1"),
    alone: false,
  };
}

function admitted(hash: SuspectHash): SuspectRun {
  const admission = home.admit(run(hash));
  if (!("run" in admission)) throw new Error(`Not admitted: ${admission.kind}`);
  return admission.run;
}

test("A body that crashes every replica it runs on is quarantined after three crashes, until the quarantine expires", () => {
  let lost = 0;
  const inFlight: SuspectRun[] = [];
  for (let sent = 0; sent < 200; sent += 1) {
    const admission = home.admit(run(POISON));
    if ("run" in admission) inFlight.push(admission.run);
    if (sent % 7 !== 6) continue;
    const crashing = inFlight.shift();
    if (!crashing) continue;
    lost += 1;
    home.end(crashing, { kind: "crashed", endpoint: ENDPOINT });
  }
  expect(lost).toBe(3);
  expect(home.admit(run(POISON)).kind).toBe("convicted");
  expect(news.map((update) => update.standing)).toEqual([
    "suspected",
    "convicted",
  ]);
  vi.advanceTimersByTime(60_001);
  expect(home.admit(run(POISON)).kind).toBe("clear");
});

test("A body in flight at crashes that it did not cause runs isolated, one run at a time, and is trusted once it finishes", () => {
  for (let crash = 0; crash < 2; crash += 1) {
    const first = admitted(NEIGHBOUR);
    home.end(first, { kind: "crashed", endpoint: ENDPOINT });
    const isolated = home.admit(run(NEIGHBOUR));
    expect(isolated.kind).toBe("alone");
    expect(home.admit(run(NEIGHBOUR)).kind).toBe("busy");
    if ("run" in isolated) home.end(isolated.run, { kind: "finished" });
    for (let copy = 0; copy < 5; copy += 1) {
      const clear = home.admit(run(NEIGHBOUR));
      expect(clear.kind).toBe("clear");
      if ("run" in clear) home.end(clear.run, { kind: "finished" });
    }
  }
  expect(home.statusOf(NEIGHBOUR)).toBe("trusted");
});

test("A crash of a copy that was running at the first crash does not quarantine the body", () => {
  const [first, second] = [admitted(NEIGHBOUR), admitted(NEIGHBOUR)];
  home.end(first, { kind: "crashed", endpoint: ENDPOINT });
  home.end(second, { kind: "crashed", endpoint: ENDPOINT });
  expect(home.statusOf(NEIGHBOUR)).toBe("suspected");
});

test("A cancelled run does not clear a suspicion", () => {
  home.end(admitted(POISON), { kind: "crashed", endpoint: ENDPOINT });
  home.end(admitted(POISON), { kind: "released" });
  expect(home.statusOf(POISON)).toBe("suspected");
});

test("A run of a restarted VM counts as in progress for a grace period only", () => {
  home.end(admitted(POISON), { kind: "crashed", endpoint: ENDPOINT });
  admitted(POISON);
  members["vm-1"] = { state: "live", incarnation: "boot-2" };
  members["vm-2"] = { state: "live", incarnation: "boot-1" };
  expect(home.admit(run(POISON)).kind).toBe("busy");
  vi.advanceTimersByTime(5_000);
  expect(home.admit(run(POISON)).kind).toBe("alone");
});
