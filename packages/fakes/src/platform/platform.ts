/** A fake platform: a transactional table, an object store and a delayed list of VMs. */
import {
  type Json,
  type ListedVm,
  type Row,
  type RowWrite,
  StoreVersion,
  type TransactionOutcome,
} from "@teaselvalve/core";

/** Options of {@link FakePlatform}. */
export interface FakePlatformOptions {
  /** Delay before a change appears in the list of VMs. Defaults to 2 s. */
  listLagMs?: number;
}

interface ListChange {
  readonly atMs: number;
  readonly vm: ListedVm | null;
  readonly id: string;
}

/** Numbers of operations that the platform has served, for measurements. */
export interface PlatformUsage {
  transactions: number;
  rowsWritten: number;
  reads: number;
}

/** Keeps rows, objects and VMs in memory. Only the list of VMs is delayed. */
export class FakePlatform {
  readonly usage: PlatformUsage = { transactions: 0, rowsWritten: 0, reads: 0 };
  #rows = new Map<string, Row>();
  #versions = new Map<string, number>();
  #objects = new Map<string, string>();
  #listChanges: ListChange[] = [];
  #listLagMs: number;

  constructor(options: FakePlatformOptions = {}) {
    this.#listLagMs = options.listLagMs ?? 2_000;
  }

  /** Commits all writes, or none if any expectation fails; returns the conflicts. */
  transact(writes: readonly RowWrite[]): TransactionOutcome {
    this.usage.transactions += 1;
    const conflicts = writes.flatMap((write, index) => {
      const row = this.#rows.get(rowKey(write)) ?? null;
      return meetsExpectation(write, row) ? [] : [{ index, row }];
    });
    if (conflicts.length > 0) return { kind: "conflict", conflicts };
    for (const write of writes) this.#write(write);
    this.usage.rowsWritten += writes.length;
    return { kind: "committed" };
  }

  /** Reads one row; null if there is none. */
  read(table: string, key: string): Row | null {
    this.usage.reads += 1;
    return this.#rows.get(rowKey({ table, key })) ?? null;
  }

  /** Reads rows by key prefix in key order, from the first key greater than `after`. */
  scan(
    table: string,
    prefix: string,
    options: { limit: number; after?: string },
  ): Row[] {
    this.usage.reads += 1;
    const after = options.after ?? "";
    return [...this.#rows.values()]
      .filter((row) =>
        row.table === table && row.key.startsWith(prefix) && row.key > after
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, options.limit);
  }

  /** Stores an object, replacing one with the same name. */
  putObject(name: string, body: string): void {
    this.#objects.set(name, body);
  }

  /** Returns an object; null if there is none. */
  getObject(name: string): string | null {
    return this.#objects.get(name) ?? null;
  }

  /** Adds a VM to the list or changes its entry. */
  upsertListedVm(vm: ListedVm): void {
    this.#listChanges.push({ atMs: performance.now(), vm, id: vm.id });
  }

  /** Removes a VM from the list. */
  removeListedVm(id: string): void {
    this.#listChanges.push({ atMs: performance.now(), vm: null, id });
  }

  /** Returns the list as it was `listLagMs` ago. */
  listVms(): ListedVm[] {
    const visibleUntilMs = performance.now() - this.#listLagMs;
    const visible = new Map<string, ListedVm>();
    for (const change of this.#listChanges) {
      if (change.atMs > visibleUntilMs) break;
      if (change.vm) visible.set(change.id, change.vm);
      else visible.delete(change.id);
    }
    return [...visible.values()];
  }

  #write(write: RowWrite): void {
    const name = rowKey(write);
    const number = (this.#versions.get(name) ?? 0) + 1;
    this.#versions.set(name, number);
    if (write.value === null) {
      this.#rows.delete(name);
      return;
    }
    const { table, key } = write;
    // Copied because a real store doesn't share objects with its clients.
    const value = JSON.parse(JSON.stringify(write.value)) as Json;
    const version = new StoreVersion(number);
    this.#rows.set(name, { table, key, version, value });
  }
}

function rowKey(row: { table: string; key: string }): string {
  return `${row.table}\n${row.key}`;
}

function meetsExpectation(write: RowWrite, row: Row | null): boolean {
  switch (write.expect.kind) {
    case "any":
      return true;
    case "absent":
      return row === null;
    case "version":
      return row?.version.equals(write.expect.version) ?? false;
  }
}
