/** Finds evidence that one start of a VM has ended. */
import type { RunOwner } from "../ports/engines.ts";
import type { VmId } from "../common/ids.ts";
import { SUSPICION_MS } from "./machine.ts";
import type { Prober } from "./prober.ts";
import type { MemberTable } from "./view.ts";

/** How long an unknown VM must stay unlisted, as the platform's list lags. */
const UNKNOWN_WAIT_MS = 15_000;
const MAX_ASKED = 1_000;

/** Options of {@link IncarnationEndCheck}. */
export interface IncarnationEndCheckOptions {
  table: MemberTable;
  prober: Prober;
  /** Reads the platform's list, unless it was read just before; false when it can't be read. */
  refreshList: () => Promise<boolean>;
}

/** Answers `confirmGone`. Every doubt is answered by false, which makes the asker wait. */
export class IncarnationEndCheck {
  #options: IncarnationEndCheckOptions;
  #askedAtMs = new Map<VmId, number>();

  constructor(options: IncarnationEndCheckOptions) {
    this.#options = options;
  }

  /** True only with evidence that this start of the VM has ended. */
  async confirm(owner: RunOwner): Promise<boolean> {
    const { table, prober, refreshList } = this.#options;
    if (owner.vm === table.self.id) {
      return owner.incarnation !== table.self.incarnation;
    }
    const record = table.records.get(owner.vm);
    const answer = record &&
      await prober.probeDirectly(record, { fresh: true });
    if (answer) return answer.incarnation !== owner.incarnation;
    if (!await refreshList()) return false;
    if (!record) return this.#unknownTooLong(owner.vm);
    if (record.context.listing !== "absent") return false;
    if (record.state === "dead") return true;
    const suspectedMs = performance.now() - record.context.suspectedAtMs;
    return record.state === "suspected" && suspectedMs >= SUSPICION_MS;
  }

  #unknownTooLong(vm: VmId): boolean {
    if (this.#options.table.records.has(vm)) return false;
    const nowMs = performance.now();
    const askedAtMs = this.#askedAtMs.get(vm);
    if (askedAtMs === undefined) {
      if (this.#askedAtMs.size >= MAX_ASKED) this.#askedAtMs.clear();
      this.#askedAtMs.set(vm, nowMs);
      return false;
    }
    return nowMs - askedAtMs >= UNKNOWN_WAIT_MS;
  }
}
