/** Methods of membership that a VM's peers call. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, VmId } from "../common/ids.ts";
import type { MemberUpdate } from "./types.ts";

/** Parameters of a probe, and the answer to it. */
export interface Probe {
  readonly from: VmId;
  readonly incarnation: Incarnation;
  /** Raised by the sender when it changes state or refutes a suspicion. */
  readonly statusVersion: number;
  readonly leaving: boolean;
  readonly configurationVersion: number;
  /** Equal on VMs that have the same evidence on crashes; absent where none is kept. */
  readonly evidenceHash?: number;
  /** Whether the sender refuses requests because it has too many; absent if not. */
  readonly busy?: boolean;
  /** Whether the sender checks the table version of forwarded requests; absent if not. */
  readonly checksHops?: boolean;
  /** Equal on VMs whose views agree. */
  readonly viewHash: number;
  /** Set in an answer if the answering VM doesn't know the one that sent the probe. */
  readonly unknown?: boolean;
  /**
   * Updates about VMs, limited in size; a suspicion of the receiver or of a newly
   * suspected VM goes first.
   */
  readonly news: readonly MemberUpdate[];
}

/** Peer methods of membership, by method name. */
export interface MembershipHandlers {
  "membership/probe": (probe: Probe) => Probe;
  /** Probes a third VM on behalf of the requesting VM. */
  "membership/probe-indirect": (
    params: { target: VmId },
  ) => Promise<{ reached: boolean }>;
}

/** Functions that the handlers call. */
export interface MembershipAppOptions {
  answerProbe: (probe: Probe) => Probe;
  probeIndirect: (target: VmId) => Promise<boolean>;
}

/** Creates the handlers of the peer methods. */
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
