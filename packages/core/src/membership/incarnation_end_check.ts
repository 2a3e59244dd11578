/** Checks whether an incarnation (one start) of a VM has ended. */
import type { RunOwner } from "../ports/engines.ts";
import type { VmId } from "../common/ids.ts";
import { SUSPICION_MS } from "./machine.ts";
import type { Prober } from "./prober.ts";
import type { MemberTable } from "./view.ts";

/**
 * How long an unknown VM must stay unlisted to count as ended, as the platform's
 * list lags.
 */
const UNKNOWN_WAIT_MS = 15_000;
/** Maximum number of unknown VMs whose first check is recorded. */
const MAX_UNKNOWN_VMS = 1_000;

/** Options of {@link IncarnationEndCheck}. */
export interface IncarnationEndCheckOptions {
  table: MemberTable;
  prober: Prober;
  /**
   * Reads the platform's list unless it was just read; resolves to false if it
   * can't be read.
   */
  refreshList: () => Promise<boolean>;
}

/**
 * Decides `IncarnationCheck.confirmEnded`. Without clear evidence the result is
 * false, and the check has to be repeated later.
 */
export class IncarnationEndCheck {
  #options: IncarnationEndCheckOptions;
  /** When each unknown VM was first checked. */
  #checkedAtMs = new Map<VmId, number>();

  constructor(options: IncarnationEndCheckOptions) {
    this.#options = options;
  }

  /** Returns true only with evidence that the incarnation has ended. */
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
    if (!record) return this.#isUnlistedLongEnough(owner.vm);
    if (record.context.listing !== "absent") return false;
    if (record.state === "dead") return true;
    const suspectedMs = performance.now() - record.context.suspectedAtMs;
    return record.state === "suspected" && suspectedMs >= SUSPICION_MS;
  }

  #isUnlistedLongEnough(vm: VmId): boolean {
    if (this.#options.table.records.has(vm)) return false;
    const nowMs = performance.now();
    const checkedAtMs = this.#checkedAtMs.get(vm);
    if (checkedAtMs === undefined) {
      if (this.#checkedAtMs.size >= MAX_UNKNOWN_VMS) this.#checkedAtMs.clear();
      this.#checkedAtMs.set(vm, nowMs);
      return false;
    }
    return nowMs - checkedAtMs >= UNKNOWN_WAIT_MS;
  }
}
