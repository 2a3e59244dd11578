/** Collects messages that arrive in pieces, within limits on the memory that they take. */
import { Buffer } from "node:buffer";

const MIB = 1_024 * 1_024;
/** Memory for all messages that a process is collecting. */
const SHARED_LIMIT_BYTES = 32 * MIB;
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Limits the memory that all its collectors hold together. When it is used up, the
 * largest message is given up, so that smaller ones can still be collected.
 */
export class CollectorPool {
  readonly #limitBytes: number;
  #heldBytes = 0;
  #collectors = new Map<ByteCollector, number>();

  constructor({ limitBytes }: { limitBytes: number }) {
    this.#limitBytes = limitBytes;
  }

  /** Memory held by all collectors, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Sets the memory that a collector holds; collectors may be given up for it. */
  hold(collector: ByteCollector, capacityBytes: number): void {
    this.#heldBytes += capacityBytes - (this.#collectors.get(collector) ?? 0);
    if (capacityBytes > 0) this.#collectors.set(collector, capacityBytes);
    else this.#collectors.delete(collector);
    while (this.#heldBytes > this.#limitBytes) this.#largest().giveUp();
  }

  #largest(): ByteCollector {
    const [first, ...others] = this.#collectors;
    return others.reduce(
      (largest, other) => other[1] > largest[1] ? other : largest,
      first!,
    )[0];
  }
}

const SHARED_POOL = new CollectorPool({ limitBytes: SHARED_LIMIT_BYTES });

/** Options of {@link ByteCollector}. */
export interface ByteCollectorOptions {
  /** Maximum size of the message. */
  limitBytes: number;
  /** By default the pool that the whole process shares. */
  pool?: CollectorPool;
}

/**
 * Copies the pieces of one message into one buffer. An object for each piece would
 * take many times the memory of a piece of a few bytes.
 */
export class ByteCollector {
  readonly #limitBytes: number;
  readonly #pool: CollectorPool;
  #buffer: Buffer = Buffer.alloc(0);
  #sizeBytes = 0;
  #overflowed = false;

  constructor({ limitBytes, pool = SHARED_POOL }: ByteCollectorOptions) {
    this.#limitBytes = limitBytes;
    this.#pool = pool;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Whether the message was given up because of a limit; its bytes are lost then. */
  get overflowed(): boolean {
    return this.#overflowed;
  }

  /** The bytes so far; valid until the collector is changed. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#sizeBytes);
  }

  /** Adds a piece; returns false if the message is given up. */
  add(piece: Uint8Array): boolean {
    if (this.#overflowed) return false;
    const sizeBytes = this.#sizeBytes + piece.length;
    if (sizeBytes > this.#limitBytes) this.giveUp();
    else if (sizeBytes > this.#buffer.length) this.#grow(sizeBytes);
    if (this.#overflowed) return false;
    this.#buffer.set(piece, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
    return true;
  }

  /** Removes the first bytes, and frees the memory if none are left. */
  drop(countBytes: number): void {
    const rest = this.bytes.subarray(countBytes);
    if (rest.length === 0) return this.discard();
    this.#buffer.copyWithin(0, countBytes, this.#sizeBytes);
    this.#sizeBytes = rest.length;
  }

  /** Returns the whole message and frees the collector; null if the message was given up. */
  take(): Buffer | null {
    if (this.#overflowed) return null;
    const { bytes } = this;
    this.discard();
    return bytes;
  }

  /** Drops the bytes and frees their memory. */
  discard(): void {
    this.#buffer = Buffer.alloc(0);
    this.#sizeBytes = 0;
    this.#pool.hold(this, 0);
  }

  /** Gives the message up for lack of memory; later pieces are refused. */
  giveUp(): void {
    this.#overflowed = true;
    this.discard();
  }

  #grow(sizeBytes: number): void {
    const doubledBytes = Math.max(MIN_CAPACITY_BYTES, 2 * this.#buffer.length);
    const capacityBytes = Math.max(
      sizeBytes,
      Math.min(doubledBytes, this.#limitBytes),
    );
    this.#pool.hold(this, capacityBytes);
    if (this.#overflowed) return;
    const larger = Buffer.allocUnsafeSlow(capacityBytes);
    this.bytes.copy(larger);
    this.#buffer = larger;
  }
}
