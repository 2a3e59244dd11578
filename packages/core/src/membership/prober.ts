/** Probes VMs: directly, on a fresh connection, and through others. */
import { hashNumber, mixNumber } from "../common/hash.ts";
import { asId, type VmId } from "../common/ids.ts";
import type { MembershipContext } from "./types.ts";
import type { GossipExchange } from "./gossip_exchange.ts";
import type { MemberRecord } from "./record.ts";
import type { Probe } from "./app.ts";
import type { MemberTable } from "./view.ts";

/** How long a probe may take. */
export const PROBE_TIMEOUT_MS = 500;
const INDIRECT_TIMEOUT_MS = 1_200;
const INDIRECT_PROBERS = 2;
/** A timer that is this late shows that this process was held up. */
const PAUSE_MS = 1_000;
/** Every so many probes, one goes to a suspected VM, so that it may come back. */
const SUSPECT_TURN = 4;
/** How often a VM sends a probe. */
export const PROBE_INTERVAL_MS = 1_000;

/** Options of {@link Prober}. */
export interface ProberOptions {
  table: MemberTable;
  exchange: GossipExchange;
  onAnswer: (answer: Probe) => void;
}

/** What probes of one VM came to. */
export type ProbeOutcome = "answered" | "reached" | "silent" | "unclear";

/** Sends probes and keeps the order in which VMs are probed. */
export class Prober {
  #context: MembershipContext;
  #options: ProberOptions;
  #turns = 0;

  constructor(context: MembershipContext, options: ProberOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * The VMs to probe next: the one that follows this VM in a ring that each
   * interval orders anew, and now and then a suspected one. VMs with the same
   * view and about the same time probe each VM once an interval between them.
   */
  nextTargets(): MemberRecord[] {
    this.#turns += 1;
    const follower = this.successor();
    const suspectsTurn = this.#turns % SUSPECT_TURN === 0;
    const suspect = suspectsTurn || !follower
      ? this.#pick(this.#inState("suspected"))
      : undefined;
    return [follower, suspect].filter((record) => record !== undefined);
  }

  /** The usable VM after this or another one in the ring of the present interval. */
  successor(after?: VmId): MemberRecord | undefined {
    const { records, self } = this.#options.table;
    const interval = mixNumber(Math.floor(Date.now() / PROBE_INTERVAL_MS) | 0);
    const placeOf = (idHash: number) => mixNumber(interval ^ idHash);
    const from = placeOf(hashNumber(after ?? self.id) | 0);
    const ring = [...records.values()]
      .filter(({ state }) => state === "live" || state === "leaving")
      .map((record) => ({ record, place: placeOf(record.idHash) }))
      .sort((a, b) => a.place - b.place);
    const next = ring.find(({ place }) => place > from) ?? ring[0];
    return next?.record;
  }

  /** Up to `count` live VMs at random. */
  sample(count: number, except?: VmId): MemberRecord[] {
    const live = this.#inState("live").filter(({ id }) => id !== except);
    return shuffle(live, this.#context.random).slice(0, count);
  }

  /** Probes a VM; if it does not answer, tries a fresh connection and two others. */
  async probe(
    record: MemberRecord,
    options: { onNoAnswer: () => void },
  ): Promise<ProbeOutcome> {
    const startedMs = performance.now();
    if (await this.probeDirectly(record)) return "answered";
    options.onNoAnswer();
    const helpers = this.sample(INDIRECT_PROBERS, record.id);
    const [again, ...reached] = await Promise.all([
      this.probeDirectly(record, { fresh: true }),
      ...helpers.map((helper) => this.#through(helper, record.id)),
    ]);
    if (again) return "answered";
    if (reached.some(Boolean)) return "reached";
    const longestMs = PROBE_TIMEOUT_MS + INDIRECT_TIMEOUT_MS + PAUSE_MS;
    const held = performance.now() - startedMs > longestMs;
    return held ? "unclear" : "silent";
  }

  /** Probes a VM without help and takes what it answers. */
  async probeDirectly(
    record: MemberRecord,
    options: { fresh?: boolean; about?: VmId } = {},
  ): Promise<Probe | null> {
    const { exchange } = this.#options;
    const answer = await this.#context.ports.peers.call(
      { id: record.id, ...record.place },
      "membership/probe",
      {
        params: exchange.composeProbe(record.id, { about: options.about }),
        timeoutMs: PROBE_TIMEOUT_MS,
        fresh: options.fresh,
      },
    );
    if (answer.isErr()) return null;
    // A VM that took over this one's address is not the VM that was probed.
    if (answer.value.from !== record.id) return null;
    this.#options.onAnswer(answer.value);
    return answer.value;
  }

  /** Probes whichever VM has an address, so that both come to know each other. */
  async probeAddress(peerAddress: string): Promise<void> {
    const { exchange } = this.#options;
    const answer = await this.#context.ports.peers.call(
      { id: peerAddress, peerAddress },
      "membership/probe",
      {
        params: exchange.composeProbe(asId<VmId>(peerAddress)),
        timeoutMs: PROBE_TIMEOUT_MS,
        fresh: true,
      },
    );
    if (answer.isOk()) this.#options.onAnswer(answer.value);
  }

  async #through(helper: MemberRecord, target: VmId): Promise<boolean> {
    const answer = await this.#context.ports.peers.call(
      { id: helper.id, ...helper.place },
      "membership/probe-indirect",
      { params: { target }, timeoutMs: INDIRECT_TIMEOUT_MS, fresh: true },
    );
    return answer.isOk() && answer.value.reached;
  }

  #inState(state: "live" | "suspected"): MemberRecord[] {
    return [...this.#options.table.records.values()].filter((record) =>
      record.state === state
    );
  }

  #pick(records: readonly MemberRecord[]): MemberRecord | undefined {
    return records[Math.floor(this.#context.random() * records.length)];
  }
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const at = Math.floor(random() * (last + 1));
    const held = shuffled[last]!;
    shuffled[last] = shuffled[at]!;
    shuffled[at] = held;
  }
  return shuffled;
}
