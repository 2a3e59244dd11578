/** The address question: which VMs a caller should use. */
import type { MembershipView } from "../membership/types.ts";
import { hashNumber } from "../shared/hash.ts";
import type { DataCentre, VmId } from "../shared/ids.ts";

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

/** Lists usable VMs: the caller's data centre first, then its region, spread by the caller. */
export function listAddresses(
  view: MembershipView,
  options: AddressOptions,
): AddressAnswer {
  const usable = view.members().filter((member) => member.state === "live");
  const addresses = usable
    .map((member) => ({
      member,
      far: member.dataCentre === options.dataCentre
        ? 0
        : member.region === view.self.region
        ? 1
        : 2,
      place: hashNumber(`${options.spreadBy}\n${member.id}`),
    }))
    .sort((a, b) => a.far - b.far || a.place - b.place)
    .slice(0, MAX_ADDRESSES)
    .map(({ member }) => ({
      vm: member.id,
      address: member.callerAddress,
      dataCentre: member.dataCentre,
    }));
  return { addresses, ttlMs: options.ttlMs };
}
