/** Deletes expired rows of calls, one scan page at a time. */
import type { MembershipView } from "../../membership/types.ts";
import type { Row } from "../../ports/platform.ts";
import type { VmContext, VmTask } from "../../vm/types.ts";
import type { CallRow } from "../types.ts";
import { CALLS_TABLE } from "./claim_store.ts";
import { clearStoredAnswer } from "./stored_answer.ts";

const SWEEP_INTERVAL_MS = 5_000;
const SCAN_ROWS = 500;
/** Rows are kept this much longer than `expiresAtMs`, because the clocks of VMs differ. */
const CLOCK_SKEW_MARGIN_MS = 60_000;

/**
 * Runs the sweep on the home of `calls/sweep`, the VM of the region that rendezvous
 * hashing picks. Two VMs that sweep at the same time are harmless.
 */
export class RowSweeper implements VmTask {
  #context: VmContext;
  #membership: MembershipView;
  #after: string | undefined;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, membership: MembershipView) {
    this.#context = context;
    this.#membership = membership;
  }

  start(): void {
    this.#timer = setInterval(() => void this.sweep(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Scans the next page of rows and deletes those that have expired. */
  async sweep(): Promise<void> {
    const { self } = this.#membership;
    if (this.#membership.homeOf("calls/sweep").id !== self.id) return;
    const { platform } = this.#context.ports;
    const rows = await platform.scan(CALLS_TABLE, "", {
      limit: SCAN_ROWS,
      after: this.#after,
    });
    if (rows.isErr()) return;
    this.#after = rows.value.length < SCAN_ROWS
      ? undefined
      : rows.value.at(-1)?.key;
    const expired = rows.value.filter(isExpired);
    if (expired.length === 0) return;
    for (const row of expired) {
      const { state } = row.value as unknown as CallRow;
      const object = state.kind === "done" ? state.object : undefined;
      if (object !== undefined) await clearStoredAnswer(platform, object);
    }
    await platform.transact(expired.map(({ key, version }) => ({
      table: CALLS_TABLE,
      key,
      expect: { kind: "version", version },
      value: null,
    })));
  }
}

function isExpired(row: Row): boolean {
  const { expiresAtMs } = row.value as unknown as CallRow;
  return expiresAtMs + CLOCK_SKEW_MARGIN_MS <= Date.now();
}
