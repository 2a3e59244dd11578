/** Carries out what a shard's lease asks of the table service. */
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

/** What a lease needs of the VM that may hold it. */
export interface LeaseContext {
  readonly identity: { readonly incarnation: Incarnation };
  readonly ports: {
    readonly platform: Pick<PlatformPort, "transact" | "read">;
  };
}

/** One shard's lease at one VM. */
export class ShardLease {
  #context: LeaseContext;
  #model: ModelName;
  #machine: MachineTask<typeof leaseMachine>;
  #writes = 0;

  constructor(context: LeaseContext, model: ModelName) {
    this.#context = context;
    this.#model = model;
    this.#machine = new MachineTask(leaseMachine, {
      input: { incarnation: context.identity.incarnation },
      perform: (effect) => this.#perform(effect),
    });
  }

  /** The lease, where this VM holds it; it may have ended since. */
  get held(): HeldLease | null {
    return this.#machine.snapshot.context.held;
  }

  /** There is something to do: takes or renews the lease, in time. */
  acquire(): void {
    this.#machine.send({ type: "want", nowMs: performance.now() });
  }

  /** There is nothing left to do. */
  release(): void {
    this.#machine.send({ type: "done" });
  }

  /** An endpoint has refused this lease's fencing number. */
  markFenced(): void {
    this.#machine.send({ type: "lost" });
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
      seen === "failed"
        ? { type: "lost" }
        : { type: "rowSeen", seen, nowMs: performance.now() },
    );
  }

  async #write(write: LeaseWrite): Promise<void> {
    const startedAtMs = performance.now();
    const number = await this.#transact(write);
    // The row tells what became of the write, also when its reply was lost. An
    // earlier write that came through late is not this one, and is waited out.
    const seen = await this.#readRow();
    const isMine = seen !== "failed" && seen !== null &&
      seen.lease.incarnation === write.lease.incarnation &&
      seen.lease.write === number;
    this.#machine.send(
      isMine
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
    this.#writes += 1;
    const number = this.#writes;
    await this.#platform.transact([{
      table: ORDERS_TABLE,
      key: leaseKey(this.#model),
      expect: rowVersion === null
        ? { kind: "absent" }
        : { kind: "version", version: rowVersion },
      value: { ...lease, write: number } as unknown as Json,
    }], { timeoutMs: STORE_TIMEOUT_MS });
    return number;
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
