/** The address question: which VMs a caller should use. */
import type { Member, MembershipView } from "../membership/types.ts";
import { hashNumber } from "../common/hash.ts";
import type { DataCentre, Region, VmId } from "../common/ids.ts";

const MAX_ADDRESSES = 4;

/** An address that a caller may use. */
export interface CallerAddress {
  readonly vm: VmId;
  readonly address: string;
  readonly dataCentre: DataCentre;
}

/** The answer to the address question. */
export interface AddressAnswer {
  readonly addresses: readonly CallerAddress[];
  /** How long the answer may be kept. */
  readonly ttlMs: number;
}

/** Options of {@link listAddresses}. */
export interface AddressOptions {
  /** The caller's data centre, where it names one. */
  dataCentre?: DataCentre;
  /** Spreads callers over VMs. */
  spreadBy: string;
  ttlMs: number;
}

/**
 * Lists usable VMs: the caller's data centre first, then its region, spread by
 * the caller. One place is kept for another data centre, so that the loss of a
 * whole one leaves the caller an address.
 */
export function listAddresses(
  view: MembershipView,
  options: AddressOptions,
): AddressAnswer {
  const usable = view.members().filter(isUsable);
  const region =
    usable.find((member) => member.dataCentre === options.dataCentre)?.region ??
      view.self.region;
  const ranked = usable
    .map((member) => ({
      member,
      far: distance(member, { dataCentre: options.dataCentre, region }),
      place: hashNumber(`${options.spreadBy}\n${member.id}`),
    }))
    .sort((a, b) => a.far - b.far || a.place - b.place);
  const near = ranked.filter(({ far }) => far === 0);
  const others = ranked.filter(({ far }) => far > 0);
  const places = MAX_ADDRESSES - (others.length > 0 ? 1 : 0);
  const addresses = [...near.slice(0, places), ...others]
    .slice(0, MAX_ADDRESSES)
    .map(({ member }) => ({
      vm: member.id,
      address: member.callerAddress,
      dataCentre: member.dataCentre,
    }));
  return { addresses, ttlMs: options.ttlMs };
}

// A VM that was only listed, and has never been heard of by a probe, may be long gone.
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
