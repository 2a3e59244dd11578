/** Keeps the view of VMs: seeded by the platform's list, kept fresh by probes. */
import { rankByRendezvous } from "../shared/hash.ts";
import type { VmId } from "../shared/ids.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { Probe } from "./app.ts";
import type { Member, MembershipView, VmIdentity } from "./types.ts";

const LIST_INTERVAL_MS = 1_000;

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  configurationVersion: () => number;
}

/** Owns the view of VMs. */
export class MembershipTask implements MembershipView, VmTask {
  readonly self: VmIdentity;
  #context: VmContext;
  #options: MembershipTaskOptions;
  #members = new Map<VmId, Member>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #leaving = false;

  constructor(context: VmContext, options: MembershipTaskOptions) {
    this.self = context.identity;
    this.#context = context;
    this.#options = options;
    this.#members.set(this.self.id, { ...this.self, state: "live" });
  }

  async start(): Promise<void> {
    await this.#readList();
    this.#timer = setInterval(() => this.#readList(), LIST_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Announces that this VM is about to stop. */
  leave(): void {
    this.#leaving = true;
    this.#members.set(this.self.id, { ...this.self, state: "leaving" });
  }

  members(): readonly Member[] {
    return [...this.#members.values()];
  }

  member(id: VmId): Member | undefined {
    return this.#members.get(id);
  }

  homeOf(key: string): Member {
    const live = this.members().filter((member) =>
      member.state === "live" && member.region === this.self.region
    );
    const [home] = rankByRendezvous(key, live.map((member) => member.id));
    return (home && this.member(home)) ?? { ...this.self, state: "live" };
  }

  /** Answers a peer's probe. */
  answerProbe(_probe: Probe): Probe {
    return this.#probe();
  }

  /** Probes a VM on behalf of another. */
  async probeFor(target: VmId): Promise<boolean> {
    const member = this.member(target);
    if (!member) return false;
    const answer = await this.#context.ports.peers.call(
      member,
      "membership/probe",
      { params: this.#probe(), timeoutMs: 500 },
    );
    return answer.isOk();
  }

  #probe(): Probe {
    return {
      from: this.self.id,
      incarnation: this.self.incarnation,
      leaving: this.#leaving,
      configurationVersion: this.#options.configurationVersion(),
      news: [],
    };
  }

  async #readList(): Promise<void> {
    const listed = await this.#context.ports.platform.listVms();
    if (listed.isErr()) return;
    for (const vm of listed.value) {
      if (vm.id === this.self.id) continue;
      this.#members.set(vm.id, { ...vm, incarnation: null });
    }
  }
}
