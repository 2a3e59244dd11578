// Leases while the store comes back from an earlier copy, which may lack their rows.
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { SILENT_OBSERVER } from "../common/observe.ts";
import type { Row, RowWrite } from "../ports/platform.ts";
import { EraTracker } from "../store/eras.ts";
import { type StoreEra, StoreVersion } from "../store/version.ts";
import { ShardLease } from "./lease.ts";
import { LEASE_MS, ORDER_TIMEOUT_MS } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const SETTLED_MS = LEASE_MS + ORDER_TIMEOUT_MS;

/** A store that can go back; each VM notices its era with its own calls. */
class ReturningStore {
  #rows = new Map<string, Row>();
  #number = 0;
  #era = 1 as StoreEra;
  /** Called before a transaction is carried out. */
  beforeWrite = () => {};

  copy() {
    return { rows: new Map(this.#rows), number: this.#number };
  }

  returnTo({ rows, number }: ReturnType<ReturningStore["copy"]>) {
    this.#rows = new Map(rows);
    this.#number = number;
    this.#era = this.#era + 1 as StoreEra;
  }

  portOf(eras: EraTracker) {
    eras.note(this.#era);
    return {
      eras,
      transact: (writes: readonly RowWrite[]) => {
        this.beforeWrite();
        eras.note(this.#era);
        return Promise.resolve(ok(this.#transact(writes)));
      },
      read: (_table: string, key: string) => {
        eras.note(this.#era);
        const row = this.#rows.get(key);
        const number = row?.version.numberIn(row.version.era) ?? 0;
        const version = new StoreVersion(number, this.#era);
        return Promise.resolve(ok(row ? { ...row, version } : null));
      },
    };
  }

  // Compares numbers only, as a store does that gives them out again.
  #transact(writes: readonly RowWrite[]) {
    for (const { key, expect: expected } of writes) {
      const version = this.#rows.get(key)?.version;
      const isMet = expected.kind === "version"
        ? version?.numberIn(version.era) ===
          expected.version.numberIn(expected.version.era)
        : expected.kind === "any" || !version;
      if (!isMet) return { kind: "conflict" as const, conflicts: [] };
    }
    this.#number += 1;
    for (const { table, key, value } of writes) {
      const version = new StoreVersion(this.#number, this.#era);
      this.#rows.set(key, { table, key, value, version });
    }
    return { kind: "committed" as const };
  }
}

let store: ReturningStore;

beforeEach(() => {
  store = new ReturningStore();
});

function createVm(name: string) {
  const eras = new EraTracker(SILENT_OBSERVER);
  const lease = new ShardLease({
    identity: { incarnation: asId(name) },
    ports: { platform: store.portOf(eras) },
  }, asId("m"));
  return { eras, lease };
}

/** Tries to get the lease once a second; returns the fencing numbers that were held. */
async function tryFor(ms: number, lease: ShardLease): Promise<number[]> {
  const numbers = new Set<number>();
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1_000) {
    lease.acquire();
    await vi.advanceTimersByTimeAsync(1_000);
    const { held } = lease;
    if (held && held.endsAtMs > performance.now()) {
      numbers.add(held.fencingNumber);
    }
  }
  return [...numbers];
}

test("A lease ends when its VM notices that the store has come back from a copy", async () => {
  const { eras, lease } = createVm("vm-1");
  await tryFor(SETTLED_MS + 2_000, lease);
  expect(lease.held).not.toBeNull();
  eras.note(2 as StoreEra);
  expect(lease.held).toBeNull();
});

test.each([
  { name: "no row", releases: false },
  { name: "a released row", releases: true },
])(
  "After a return to a copy with $name, no lease is taken while an earlier one may be held",
  async ({ releases }) => {
    const first = createVm("vm-1");
    const empty = store.copy();
    await tryFor(SETTLED_MS + 2_000, first.lease);
    if (releases) first.lease.release();
    await vi.advanceTimersByTimeAsync(10);
    const copy = releases ? store.copy() : empty;
    const holder = createVm("vm-2");
    await tryFor(SETTLED_MS + 2_000, holder.lease);
    store.returnTo(copy);
    // The holder hears nothing of it, and acts under its lease until that ends.
    const other = createVm("vm-3");
    expect(await tryFor(SETTLED_MS - 1_000, other.lease)).toEqual([]);
    expect(await tryFor(4_000, other.lease)).toHaveLength(1);
  },
);

test("Fencing numbers rise over returns of the store, although the copies lack all rows", async () => {
  const copy = store.copy();
  const used: number[] = [];
  for (let era = 1; era <= 3; era += 1) {
    for (const name of ["vm-1", "vm-2"]) {
      const { lease } = createVm(`${name} in ${era}`);
      used.push(...await tryFor(2 * SETTLED_MS, lease));
    }
    store.returnTo(copy);
  }
  expect(used.length).toBeGreaterThanOrEqual(6);
  expect(used).toEqual([...new Set(used)].sort((a, b) => a - b));
});

test("A write that is carried out after the store came back gives no lease", async () => {
  const { lease } = createVm("vm-1");
  const copy = store.copy();
  let returns = 0;
  store.beforeWrite = () => {
    returns += 1;
    if (returns === 1) store.returnTo(copy);
  };
  expect(await tryFor(SETTLED_MS + 5_000, lease)).toEqual([]);
});
