/** Lists the VM addresses that a caller should use. */
import type { Member, MembershipView } from "../membership/types.ts";
import { hash48 } from "../common/hash.ts";
import type { DataCentre, Region, VmId } from "../common/ids.ts";

const MAX_ADDRESSES = 4;

/** A VM's address for callers. */
export interface CallerAddress {
  readonly vm: VmId;
  readonly address: string;
  readonly dataCentre: DataCentre;
}

/** Addresses for one caller, in order of preference. */
export interface AddressAnswer {
  readonly addresses: readonly CallerAddress[];
  /** How long the caller may cache the answer. */
  readonly ttlMs: number;
}

/** Options of {@link listAddresses}. */
export interface AddressOptions {
  /** The caller's data centre, if it sent one. */
  dataCentre?: DataCentre;
  /** Hash key that spreads callers over VMs. */
  spreadBy: string;
  ttlMs: number;
  /** Whether a VM has more requests than it can serve; none by default. */
  isBusy?: (vm: VmId) => boolean;
}

/** Share of the VMs that must not be busy, so that callers don't all turn to a few. */
const MIN_FREE_SHARE = 0.5;

/**
 * Lists up to four usable VMs: first those in the caller's data centre, then the
 * others in its region, then the rest, each group ordered by a hash with `spreadBy`.
 * If the caller's data centre is known, one address is reserved for another one, so
 * that the caller keeps an address when its whole data centre is lost. Busy VMs are left
 * out while most are not.
 */
export function listAddresses(
  view: MembershipView,
  options: AddressOptions,
): AddressAnswer {
  const usable = view.members().filter(isUsable);
  const region =
    usable.find((member) => member.dataCentre === options.dataCentre)?.region ??
      view.self.region;
  const ranked = withoutBusy(usable, options.isBusy)
    .map((member) => ({
      member,
      distanceRank: distance(member, {
        dataCentre: options.dataCentre,
        region,
      }),
      order: hash48(`${options.spreadBy}\n${member.id}`),
    }))
    .sort((a, b) => a.distanceRank - b.distanceRank || a.order - b.order);
  const sameDataCentre = ranked.filter(({ distanceRank }) =>
    distanceRank === 0
  );
  const others = ranked.filter(({ distanceRank }) => distanceRank > 0);
  const maxSameDataCentre = MAX_ADDRESSES - (others.length > 0 ? 1 : 0);
  const addresses = [...sameDataCentre.slice(0, maxSameDataCentre), ...others]
    .slice(0, MAX_ADDRESSES)
    .map(({ member }) => ({
      vm: member.id,
      address: member.callerAddress,
      dataCentre: member.dataCentre,
    }));
  return { addresses, ttlMs: options.ttlMs };
}

function withoutBusy(
  members: readonly Member[],
  isBusy: (vm: VmId) => boolean = () => false,
): readonly Member[] {
  const free = members.filter(({ id }) => !isBusy(id));
  return free.length >= MIN_FREE_SHARE * members.length ? free : members;
}

// A VM without an incarnation is known from the platform's list only; it may have
// departed long ago.
function isUsable(member: Member): boolean {
  return member.state === "live" && member.incarnation !== null;
}

function distance(
  member: Member,
  caller: { dataCentre: DataCentre | undefined; region: Region },
): number {
  if (member.dataCentre === caller.dataCentre) return 0;
  return member.region === caller.region ? 1 : 2;
}
