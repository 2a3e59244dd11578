/** Probes VMs: directly, on a new connection, and through other VMs. */
import { hash48, mix32 } from "../common/hash.ts";
import { asId, type VmId } from "../common/ids.ts";
import { shuffle } from "../common/shuffle.ts";
import type { MembershipContext } from "./types.ts";
import type { GossipExchange } from "./gossip_exchange.ts";
import type { MemberRecord } from "./record.ts";
import type { Probe } from "./app.ts";
import type { MemberTable } from "./view.ts";

/** Time limit of a direct probe. */
export const PROBE_TIMEOUT_MS = 500;
const INDIRECT_TIMEOUT_MS = 1_200;
const INDIRECT_PROBERS = 2;
/**
 * A probe that ends this much after its time limits shows that this process was
 * frozen.
 */
const PROCESS_FREEZE_MS = 1_000;
/**
 * Every this many rounds, a suspected VM is probed too, so that it can refute the
 * suspicion.
 */
const SUSPECT_PROBE_ROUNDS = 4;
/** Time between two rounds of probes. */
export const PROBE_INTERVAL_MS = 1_000;

/** Options of {@link Prober}. */
export interface ProberOptions {
  table: MemberTable;
  exchange: GossipExchange;
  onAnswer: (answer: Probe) => void;
}

/**
 * Outcome of probing a VM. `answered`: this VM got an answer; `reached`: only helpers
 * (VMs that probe it for this one) did; `silent`: nobody did; `unclear`: nobody did,
 * but this process was frozen.
 */
export type ProbeOutcome = "answered" | "reached" | "silent" | "unclear";

/** Sends probes and chooses the VMs to probe. */
export class Prober {
  #context: MembershipContext;
  #options: ProberOptions;
  #rounds = 0;

  constructor(context: MembershipContext, options: ProberOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Returns the VMs to probe in the next round: this VM's successor in the probe
   * ring and, in some rounds or without a successor, a random suspected VM. The
   * ring has a new order in each interval, the same on every VM: VMs whose views
   * and clocks agree probe each VM once per interval between them.
   */
  nextTargets(): MemberRecord[] {
    this.#rounds += 1;
    const successor = this.successor();
    const isSuspectRound = this.#rounds % SUSPECT_PROBE_ROUNDS === 0;
    const suspect = isSuspectRound || !successor
      ? this.#pickRandom(this.#recordsIn("suspected"))
      : undefined;
    return [successor, suspect].filter((record) => record !== undefined);
  }

  /**
   * Returns the live or leaving VM after this one, or after `after`, in the current
   * interval's ring.
   */
  successor(after?: VmId): MemberRecord | undefined {
    const { records, self } = this.#options.table;
    const intervalHash = mix32(
      Math.floor(Date.now() / PROBE_INTERVAL_MS) | 0,
    );
    const positionOf = (idHash: number) => mix32(intervalHash ^ idHash);
    const startPosition = positionOf(hash48(after ?? self.id) | 0);
    const ring = [...records.values()]
      .filter(({ state }) => state === "live" || state === "leaving")
      .map((record) => ({ record, position: positionOf(record.idHash) }))
      .sort((a, b) => a.position - b.position);
    const next = ring.find(({ position }) => position > startPosition) ??
      ring[0];
    return next?.record;
  }

  /** Returns up to `count` random live VMs. */
  sample(count: number, except?: VmId): MemberRecord[] {
    const live = this.#recordsIn("live").filter(({ id }) => id !== except);
    return shuffle(live, this.#context.random).slice(0, count);
  }

  /**
   * Probes a VM; if it doesn't answer, calls `onNoAnswer` and then probes it on a new
   * connection and through other VMs.
   */
  async probe(
    record: MemberRecord,
    options: { onNoAnswer: () => void },
  ): Promise<ProbeOutcome> {
    const startedMs = performance.now();
    if (await this.probeDirectly(record)) return "answered";
    options.onNoAnswer();
    const helpers = this.sample(INDIRECT_PROBERS, record.id);
    const [secondAnswer, ...reached] = await Promise.all([
      this.probeDirectly(record, { fresh: true }),
      ...helpers.map((helper) => this.#probeThrough(helper, record.id)),
    ]);
    if (secondAnswer) return "answered";
    if (reached.some(Boolean)) return "reached";
    const maxDurationMs = PROBE_TIMEOUT_MS + INDIRECT_TIMEOUT_MS +
      PROCESS_FREEZE_MS;
    const wasFrozen = performance.now() - startedMs > maxDurationMs;
    return wasFrozen ? "unclear" : "silent";
  }

  /**
   * Sends one probe to a VM and passes its answer to `onAnswer`; null if there is none.
   * `fresh` uses a new connection; a suspicion of the VM `about` goes first on the probe.
   */
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
    // Another VM may have taken over the address of the probed one.
    if (answer.value.from !== record.id) return null;
    this.#options.onAnswer(answer.value);
    return answer.value;
  }

  /**
   * Probes the VM at an address, whatever its id, so that both add each other to
   * their tables.
   */
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

  async #probeThrough(helper: MemberRecord, target: VmId): Promise<boolean> {
    const answer = await this.#context.ports.peers.call(
      { id: helper.id, ...helper.place },
      "membership/probe-indirect",
      { params: { target }, timeoutMs: INDIRECT_TIMEOUT_MS, fresh: true },
    );
    return answer.isOk() && answer.value.reached;
  }

  #recordsIn(state: "live" | "suspected"): MemberRecord[] {
    return [...this.#options.table.records.values()].filter((record) =>
      record.state === state
    );
  }

  #pickRandom(records: readonly MemberRecord[]): MemberRecord | undefined {
    return records[Math.floor(this.#context.random() * records.length)];
  }
}
