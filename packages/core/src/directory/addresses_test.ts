import { expect, test } from "vitest";
import type { Member, MembershipView, VmState } from "../membership/types.ts";
import { asId } from "../common/ids.ts";
import { listAddresses } from "./addresses.ts";

const LOCATIONS = [
  ["helsinki-a", "suomi-etela"],
  ["espoo-b", "suomi-etela"],
  ["anadolu-a", "anadolu"],
] as const;

function member(index: number, state: VmState = "live"): Member {
  const [dataCentre, region] = LOCATIONS[index % LOCATIONS.length]!;
  return {
    id: asId(`vm-${index}`),
    incarnation: asId(`boot-${index}`),
    dataCentre: asId(dataCentre),
    region: asId(region),
    callerAddress: `vm-${index}:1`,
    peerAddress: `vm-${index}:2`,
    state,
  };
}

function viewOf(members: readonly Member[]): MembershipView {
  const self = members[0]!;
  return {
    self: { ...self, incarnation: self.incarnation! },
    members: () => members,
    member: (id) => members.find((one) => one.id === id),
    homeOf: () => self,
  };
}

function addressesFor(
  members: readonly Member[],
  options: { dataCentre?: string; spreadBy?: string } = {},
) {
  return listAddresses(viewOf(members), {
    dataCentre: asId(options.dataCentre ?? "espoo-b"),
    spreadBy: options.spreadBy ?? "caller-1",
    ttlMs: 10_000,
  }).addresses;
}

const fifteenVms = Array.from({ length: 15 }, (_, index) => member(index));

test("The caller's data centre comes first, and one address is in another data centre of its region", () => {
  const dataCentres = addressesFor(fifteenVms).map(({ dataCentre }) =>
    dataCentre
  );
  expect(dataCentres).toEqual(["espoo-b", "espoo-b", "espoo-b", "helsinki-a"]);
});

test("A caller in another region than this VM gets an address in its own data centre first", () => {
  const [first] = addressesFor(fifteenVms, { dataCentre: "anadolu-a" });
  expect(first!.dataCentre).toBe("anadolu-a");
});

test("VMs that are leaving, suspected, dead or without an incarnation are left out", () => {
  const members = [
    member(0),
    member(1, "leaving"),
    member(3, "suspected"),
    member(4, "dead"),
    { ...member(6), incarnation: null },
  ];
  expect(addressesFor(members).map(({ vm }) => vm)).toEqual(["vm-0"]);
});

test("Callers are spread over the VMs of their data centre", () => {
  const counts = new Map<string, number>();
  for (let caller = 0; caller < 1_000; caller += 1) {
    const [first] = addressesFor(fifteenVms, { spreadBy: `caller-${caller}` });
    counts.set(first!.vm, (counts.get(first!.vm) ?? 0) + 1);
  }
  expect(counts.size).toBe(5);
  expect(Math.max(...counts.values())).toBeLessThan(260);
});

test("Busy VMs are left out while most are not", () => {
  const busy = new Set(["vm-1", "vm-4", "vm-7"]);
  const listed = (isBusy: (vm: string) => boolean) =>
    listAddresses(viewOf(fifteenVms), {
      dataCentre: asId("espoo-b"),
      spreadBy: "caller-1",
      ttlMs: 10_000,
      isBusy,
    }).addresses.map(({ vm }) => vm);
  const withBusy = listed((vm) => busy.has(vm));
  expect(withBusy).toHaveLength(4);
  expect(withBusy.filter((vm) => busy.has(vm))).toEqual([]);
  expect(listed(() => true)).toEqual(listed(() => false));
});

test("A caller whose data centre has only busy VMs gets those of its region first", () => {
  const named = listAddresses(viewOf(fifteenVms), {
    dataCentre: asId("espoo-b"),
    spreadBy: "caller-1",
    ttlMs: 10_000,
    isBusy: (vm) => Number(vm.slice("vm-".length)) % LOCATIONS.length === 1,
  }).addresses;
  expect(named[0]!.dataCentre).toBe("helsinki-a");
});
