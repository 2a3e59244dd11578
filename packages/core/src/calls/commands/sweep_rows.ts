/** Deletes the rows of calls whose time of keeping is over, a few at a time. */
import type { MembershipView } from "../../membership/types.ts";
import type { Row } from "../../ports/platform.ts";
import type { VmContext, VmTask } from "../../vm/types.ts";
import type { CallRow } from "../types.ts";
import { CALLS_TABLE } from "./claim_store.ts";
import { clearStoredAnswer } from "./stored_answer.ts";

const INTERVAL_MS = 5_000;
const SCAN_ROWS = 500;
/** Rows are kept a little longer than promised, as clocks differ. */
const MARGIN_MS = 60_000;

/** Owns the sweep. Only one VM of a region sweeps at a time; two do no harm. */
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
    this.#timer = setInterval(() => void this.sweep(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Looks through the next rows. */
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
    const over = rows.value.filter(isOver);
    if (over.length === 0) return;
    for (const row of over) {
      const { state } = row.value as unknown as CallRow;
      const object = state.kind === "done" ? state.object : undefined;
      if (object !== undefined) await clearStoredAnswer(platform, object);
    }
    await platform.transact(over.map(({ key, version }) => ({
      table: CALLS_TABLE,
      key,
      expect: { kind: "version", version },
      value: null,
    })));
  }
}

function isOver(row: Row): boolean {
  const { expiresAtMs } = row.value as unknown as CallRow;
  return expiresAtMs + MARGIN_MS <= Date.now();
}
