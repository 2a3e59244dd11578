/** Reads and writes the row of a shard's lease in the table service. */
import type { Json, PlatformPort } from "../ports/platform.ts";
import type { Incarnation, ModelName } from "../common/ids.ts";
import { type Effect, MachineTask } from "../common/machine_task.ts";
import {
  type LeaseEffect,
  leaseMachine,
  type LeaseWrite,
} from "./lease_machine.ts";
import {
  type HeldLease,
  LEASE_MS,
  leaseKey,
  type LeaseRow,
  ORDERS_TABLE,
  type VersionedLease,
} from "./types.ts";

const STORE_TIMEOUT_MS = 1_000;

/** The components of the VM that its leases use. */
export interface LeaseContext {
  readonly identity: { readonly incarnation: Incarnation };
  readonly ports: {
    readonly platform: Pick<PlatformPort, "transact" | "read" | "eras">;
  };
}

/** The lease of one shard at this VM, held or not. */
export class ShardLease {
  #context: LeaseContext;
  #model: ModelName;
  #machine: MachineTask<typeof leaseMachine>;
  #writeCount = 0;

  constructor(context: LeaseContext, model: ModelName) {
    this.#context = context;
    this.#model = model;
    this.#machine = new MachineTask(leaseMachine, {
      input: { incarnation: context.identity.incarnation },
      perform: (effect) => this.#perform(effect),
    });
  }

  /**
   * The lease if this VM holds it, else null. It may have ended since: check
   * `endsAtMs`. A lease of an earlier era of the store is not held, as its row may
   * be gone.
   */
  get held(): HeldLease | null {
    const { held } = this.#machine.snapshot.context;
    const { era } = this.#platform.eras.current;
    return held?.rowVersion.era === era ? held : null;
  }

  /**
   * Starts to acquire the lease, or to renew it if it is about to end; the result
   * shows in `held` once the writes are done.
   */
  acquire(): void {
    this.#dropEndedEra();
    this.#machine.send({ type: "acquire", nowMs: performance.now() });
  }

  /** Releases the lease if it is held. */
  release(): void {
    this.#dropEndedEra();
    this.#machine.send({ type: "release" });
  }

  /**
   * Drops the lease without releasing it, because an endpoint refused its fencing
   * number or it may have ended unnoticed.
   */
  markLost(): void {
    this.#machine.send({ type: "lost" });
  }

  #dropEndedEra(): void {
    const { context } = this.#machine.snapshot;
    if (context.held && !this.held) this.markLost();
  }

  #perform(effect: Effect): void {
    const { type, params } = effect as LeaseEffect;
    switch (type) {
      case "readRow":
        return void this.#read();
      case "writeRow":
        return void this.#write(params);
      case "releaseRow":
        return void this.#release(params);
    }
  }

  async #read(): Promise<void> {
    const seen = await this.#readRow();
    this.#machine.send(
      seen === "failed" ? { type: "lost" } : {
        type: "rowSeen",
        seen,
        era: this.#platform.eras.current,
        nowMs: performance.now(),
      },
    );
  }

  async #write(write: LeaseWrite): Promise<void> {
    const startedAtMs = performance.now();
    const writeNumber = await this.#transact(write);
    // The row shows the outcome of the write, even if its reply was lost. If it shows
    // an earlier write that arrived late, this one failed, and that lease must run out.
    const seen = await this.#readRow();
    // A write of an earlier era may be carried out in this one, beside another lease.
    const isOwnWrite = seen !== "failed" && seen !== null &&
      seen.rowVersion.era === write.lease.era &&
      seen.lease.incarnation === write.lease.incarnation &&
      seen.lease.write === writeNumber;
    this.#machine.send(
      isOwnWrite
        ? {
          type: "written",
          held: {
            fencingNumber: seen.lease.fencingNumber,
            rowVersion: seen.rowVersion,
            endsAtMs: startedAtMs + LEASE_MS,
          },
        }
        : { type: "lost" },
    );
  }

  async #release(write: LeaseWrite): Promise<void> {
    await this.#transact(write);
    this.#machine.send({ type: "released" });
  }

  async #transact(write: LeaseWrite): Promise<number> {
    const { rowVersion, lease } = write;
    this.#writeCount += 1;
    const writeNumber = this.#writeCount;
    await this.#platform.transact([{
      table: ORDERS_TABLE,
      key: leaseKey(this.#model),
      expect: rowVersion === null
        ? { kind: "absent" }
        : { kind: "version", version: rowVersion },
      value: { ...lease, write: writeNumber } as unknown as Json,
    }], { timeoutMs: STORE_TIMEOUT_MS });
    return writeNumber;
  }

  async #readRow(): Promise<VersionedLease | null | "failed"> {
    const row = await this.#platform.read(
      ORDERS_TABLE,
      leaseKey(this.#model),
      { timeoutMs: STORE_TIMEOUT_MS },
    );
    if (row.isErr()) return "failed";
    return row.value && {
      rowVersion: row.value.version,
      lease: row.value.value as unknown as LeaseRow,
    };
  }

  get #platform(): LeaseContext["ports"]["platform"] {
    return this.#context.ports.platform;
  }
}
