/** Peer methods of membership. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, VmId } from "../common/ids.ts";
import type { MemberUpdate } from "./types.ts";

/** What a probe carries, both ways. */
export interface Probe {
  readonly from: VmId;
  readonly incarnation: Incarnation;
  /** Raised by the sender when it changes state or refutes a suspicion. */
  readonly statusVersion: number;
  readonly leaving: boolean;
  readonly configurationVersion: number;
  /** The same on VMs whose views agree. */
  readonly viewHash: number;
  /** Set in an answer to a VM that the answering one doesn't know. */
  readonly unknown?: boolean;
  /** News of a few other VMs. */
  readonly news: readonly MemberUpdate[];
}

/** Peer methods of membership. */
export interface MembershipHandlers {
  "membership/probe": (probe: Probe) => Probe;
  /** Probes a third VM on behalf of the caller. */
  "membership/probe-indirect": (
    params: { target: VmId },
  ) => Promise<{ reached: boolean }>;
}

/** What the handlers need. */
export interface MembershipAppOptions {
  answerProbe: (probe: Probe) => Probe;
  probeIndirect: (target: VmId) => Promise<boolean>;
}

/** Lists the peer methods of membership. */
export function createMembershipApp(
  options: MembershipAppOptions,
): App<MembershipHandlers> {
  return createApp<MembershipHandlers>({
    "membership/probe": options.answerProbe,
    "membership/probe-indirect": async ({ target }) => ({
      reached: await options.probeIndirect(target),
    }),
  });
}
