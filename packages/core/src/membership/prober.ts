/** Probes VMs: directly, on a fresh connection, and through others. */
import { asId, type VmId } from "../common/ids.ts";
import type { MembershipContext } from "./types.ts";
import type { NewsExchange } from "./news_exchange.ts";
import type { MemberRecord } from "./record.ts";
import type { Probe } from "./app.ts";
import type { ViewTable } from "./view.ts";

/** How long a probe may take. */
export const PROBE_TIMEOUT_MS = 500;
const INDIRECT_TIMEOUT_MS = 1_200;
const INDIRECT_PROBERS = 2;
/** A timer that is this late shows that this process was held up. */
const PAUSE_MS = 1_000;
/** Every so many probes, one goes to a suspected VM, so that it may come back. */
const SUSPECT_TURN = 4;

/** Options of {@link Prober}. */
export interface ProberOptions {
  table: ViewTable;
  exchange: NewsExchange;
  onAnswer: (answer: Probe) => void;
}

/** What probes of one VM came to. */
export type ProbeOutcome = "answered" | "reached" | "silent" | "unclear";

/** Sends probes and keeps the order in which VMs are probed. */
export class Prober {
  #context: MembershipContext;
  #options: ProberOptions;
  #round: VmId[] = [];
  #turns = 0;

  constructor(context: MembershipContext, options: ProberOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** The VM to probe next: a random order, each VM once a round. */
  next(): MemberRecord | undefined {
    this.#turns += 1;
    const { records } = this.#options.table;
    if (this.#turns % SUSPECT_TURN === 0) {
      const suspects = this.#inState("suspected");
      if (suspects.length > 0) return this.#pick(suspects);
    }
    for (let tried = 0; tried <= records.size; tried += 1) {
      if (this.#round.length === 0) this.#round = this.#shuffled();
      const record = records.get(this.#round.pop()!);
      if (record?.state === "live" || record?.state === "leaving") {
        return record;
      }
    }
    return this.#pick(this.#inState("suspected"));
  }

  /** Up to `count` live VMs at random. */
  sample(count: number, except?: VmId): MemberRecord[] {
    const live = this.#inState("live").filter(({ id }) => id !== except);
    return shuffle(live, this.#context.random).slice(0, count);
  }

  /** Probes a VM; if it does not answer, tries a fresh connection and two others. */
  async probe(record: MemberRecord): Promise<ProbeOutcome> {
    const startedMs = performance.now();
    if (await this.direct(record)) return "answered";
    const helpers = this.sample(INDIRECT_PROBERS, record.id);
    const [again, ...reached] = await Promise.all([
      this.direct(record, { fresh: true }),
      ...helpers.map((helper) => this.#through(helper, record.id)),
    ]);
    if (again) return "answered";
    if (reached.some(Boolean)) return "reached";
    const longestMs = PROBE_TIMEOUT_MS + INDIRECT_TIMEOUT_MS + PAUSE_MS;
    const held = performance.now() - startedMs > longestMs;
    return held ? "unclear" : "silent";
  }

  /** Probes a VM without help and takes what it answers. */
  async direct(
    record: MemberRecord,
    options: { fresh?: boolean } = {},
  ): Promise<Probe | null> {
    const { exchange } = this.#options;
    const answer = await this.#context.ports.peers.call(
      { id: record.id, ...record.place },
      "membership/probe",
      {
        params: exchange.compose(record.id),
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
  async greet(peerAddress: string): Promise<void> {
    const { exchange } = this.#options;
    const answer = await this.#context.ports.peers.call(
      { id: peerAddress, peerAddress },
      "membership/probe",
      {
        params: exchange.compose(asId<VmId>(peerAddress)),
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

  #shuffled(): VmId[] {
    const ids = [...this.#options.table.records.keys()];
    return shuffle(ids, this.#context.random);
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
