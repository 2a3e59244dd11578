import { expect, test } from "vitest";
import type { Member, MembershipView } from "../membership/types.ts";
import { asId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import { rankHomes } from "./homes.ts";
import { ReportsTask } from "./task.ts";

const MODEL = "tiivistaja";

function member(name: string): Member {
  return {
    id: asId(name),
    incarnation: null,
    dataCentre: asId("helsinki-a"),
    region: asId("suomi-etela"),
    callerAddress: name,
    peerAddress: name,
    state: "live",
  };
}

function viewOf(self: string): MembershipView {
  const members = ["vm-1", "vm-2", "vm-3", "vm-4"].map(member);
  return {
    self: { ...member(self), incarnation: asId("boot") },
    members: () => members,
    member: (id) => members.find((one) => one.id === id),
    homeOf: () => members[1]!,
  };
}

async function countPolls(self: string, reachable: string[]) {
  let polls = 0;
  const report = () => {
    polls += 1;
    return Promise.resolve({ isErr: () => true });
  };
  const context = { ports: { engines: { report } } } as unknown as VmContext;
  const endpoint = {
    id: "decode-1",
    kind: "decode",
    model: MODEL,
    dataCentre: "helsinki-a",
  };
  const task = new ReportsTask(context, {
    configuration: {
      current: () => ({ bodies: { endpoints: [endpoint] } }) as never,
    },
    membership: viewOf(self),
    isReachable: (vm) => Promise.resolve(reachable.includes(vm.id)),
  });
  await task.poll();
  return polls;
}

test("Only the home polls; while it does not answer, the next VM in the ranking does", async () => {
  const ranked = rankHomes(viewOf("vm-1"), `shard/${MODEL}/all`, 3);
  expect(ranked).toHaveLength(3);
  expect(ranked[0]!.id).toBe("vm-2");
  const [home, second, third] = ranked.map((one) => one.id as string);
  const all = [home!, second!, third!];
  expect(await countPolls(home!, all)).toBe(1);
  expect(await countPolls(second!, all)).toBe(0);
  expect(await countPolls(second!, [third!])).toBe(1);
  expect(await countPolls(third!, [second!])).toBe(0);
  expect(await countPolls(third!, [])).toBe(1);
});
