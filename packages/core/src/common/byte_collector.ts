/** Collects messages that arrive in pieces, within limits on the memory that they take. */
import { Buffer } from "node:buffer";
import {
  freeMemory,
  holdMemory,
  type MemoryBudget,
  type MemoryLease,
  type MemoryUse,
  PROCESS_MEMORY,
} from "./memory_budget.ts";

const EMPTY = Buffer.alloc(0);
const KIB = 1_024;
const MIN_CAPACITY_BYTES = KIB;
/** Part of a message that needs no lease, as it is paid for with its request. */
const UNLEASED_BYTES = 8 * KIB;
/** A message that grows beyond this reserves its limit, so that it can't get stuck halfway. */
const STEPWISE_BYTES = 64 * KIB;

/**
 * What became of a piece: `waiting` pieces are kept until there is memory for the
 * message; `refused` ones, and the whole message, are lost.
 */
export type CollectResult = "added" | "waiting" | "refused";

/** Options of {@link ByteCollector}. */
export interface ByteCollectorOptions {
  /** Maximum size of the message. */
  limitBytes: number;
  use: MemoryUse;
  /** By default that of the whole process. */
  memory?: MemoryBudget;
  /** Memory that has been reserved for the whole message. */
  lease?: MemoryLease;
  /**
   * Called once there is memory for a message that waits for it; its source pauses
   * until then. Without it, a message that finds no memory is given up.
   */
  onRoom?: () => void;
}

/**
 * Copies the pieces of one message into one buffer. An object for each piece would
 * take many times the memory of a piece of a few bytes.
 */
export class ByteCollector {
  readonly #options: ByteCollectorOptions;
  readonly #memory: MemoryBudget;
  #buffer: Buffer = EMPTY;
  #sizeBytes = 0;
  #expectedBytes = 0;
  #lease: MemoryLease | undefined;
  #leasedBytes = 0;
  #failure: "too-large" | "no-memory" | null = null;
  /** Pieces that wait for memory; null if it isn't waited for. */
  #waiting: Uint8Array[] | null = null;
  #wait: AbortController | undefined;

  constructor(options: ByteCollectorOptions) {
    this.#options = options;
    this.#memory = options.memory ?? PROCESS_MEMORY;
    this.#lease = options.lease;
    if (options.lease) this.#leasedBytes = options.limitBytes;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Why the message was given up, with its bytes; null as long as it wasn't. */
  get failure(): "too-large" | "no-memory" | null {
    return this.#failure;
  }

  /** Whether the message waits for memory. */
  get isWaiting(): boolean {
    return this.#waiting !== null;
  }

  /** The bytes so far; valid until the collector is changed. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#sizeBytes);
  }

  /**
   * Tells the size that the message will probably have, before its first piece. Returns
   * false if a message that can wait has to wait for its memory.
   */
  expect(sizeBytes: number): boolean {
    const { limitBytes, onRoom } = this.#options;
    if (sizeBytes > limitBytes) return true;
    this.#expectedBytes = sizeBytes;
    if (!onRoom || sizeBytes <= STEPWISE_BYTES) return true;
    return this.#reserve(sizeBytes) || this.#waitFor(sizeBytes) !== "waiting";
  }

  add(piece: Uint8Array): CollectResult {
    if (this.#failure) return "refused";
    if (this.#waiting) {
      this.#waiting.push(piece);
      return "waiting";
    }
    const sizeBytes = this.#sizeBytes + piece.length;
    if (sizeBytes > this.#options.limitBytes) return this.#giveUp("too-large");
    if (sizeBytes > this.#buffer.length) {
      const capacityBytes = this.#capacityFor(sizeBytes);
      if (!this.#reserve(capacityBytes)) {
        return this.#waitFor(capacityBytes, piece);
      }
      this.#grow(capacityBytes);
    }
    this.#buffer.set(piece, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
    return "added";
  }

  /**
   * Returns the whole message, or null if it was given up. A large one holds its
   * memory until `freeMemory` is called for it, or it is garbage collected.
   */
  take(): Buffer | null {
    if (this.#failure || this.#waiting) return null;
    const { bytes } = this;
    if (this.#lease) {
      this.#lease.resize(this.#buffer.length);
      holdMemory(bytes, this.#lease);
      this.#lease = undefined;
    }
    this.#buffer = EMPTY;
    this.discard();
    return bytes;
  }

  /** Drops the bytes and frees their memory. */
  discard(): void {
    freeMemory(this.#buffer);
    this.#buffer = EMPTY;
    this.#sizeBytes = 0;
    this.#waiting = null;
    this.#wait?.abort();
    this.#lease?.release();
    this.#lease = undefined;
    this.#leasedBytes = 0;
  }

  #giveUp(failure: "too-large" | "no-memory"): "refused" {
    this.#failure = failure;
    this.discard();
    return "refused";
  }

  #capacityFor(sizeBytes: number): number {
    const doubledBytes = Math.max(MIN_CAPACITY_BYTES, 2 * this.#buffer.length);
    const wantedBytes = Math.max(sizeBytes, doubledBytes, this.#expectedBytes);
    return Math.min(wantedBytes, this.#options.limitBytes);
  }

  // A message that can wait takes all that it may need at a time: several that have
  // a part each could wait for one another without end.
  #leaseFor(capacityBytes: number): number {
    const { onRoom, limitBytes } = this.#options;
    if (!onRoom || capacityBytes <= STEPWISE_BYTES) return capacityBytes;
    return this.#expectedBytes >= capacityBytes ? capacityBytes : limitBytes;
  }

  #reserve(capacityBytes: number): boolean {
    if (capacityBytes <= Math.max(UNLEASED_BYTES, this.#leasedBytes)) {
      return true;
    }
    const sizeBytes = this.#leaseFor(capacityBytes);
    if (this.#lease) {
      if (!this.#lease.resize(sizeBytes)) return false;
    } else {
      const lease = this.#memory.reserve(this.#options.use, sizeBytes);
      if (!lease) return false;
      this.#lease = lease;
    }
    this.#leasedBytes = sizeBytes;
    return true;
  }

  #waitFor(capacityBytes: number, piece?: Uint8Array): CollectResult {
    const { onRoom, use } = this.#options;
    if (!onRoom) return this.#giveUp("no-memory");
    this.#waiting = piece ? [piece] : [];
    this.#wait = new AbortController();
    const sizeBytes = this.#leaseFor(capacityBytes);
    const { signal } = this.#wait;
    void this.#memory.wait({ use, sizeBytes, signal }).then((lease) => {
      if (!lease) return;
      if (signal.aborted) return lease.release();
      this.#lease?.release();
      this.#lease = lease;
      this.#leasedBytes = sizeBytes;
      const pieces = this.#waiting ?? [];
      this.#waiting = null;
      for (const kept of pieces) this.add(kept);
      onRoom();
    });
    return "waiting";
  }

  // A large message grows in place, and its memory can be given back at once.
  #grow(capacityBytes: number): void {
    const { buffer } = this.#buffer;
    if (isResizable(buffer) && capacityBytes <= buffer.maxByteLength) {
      buffer.resize(capacityBytes);
      this.#buffer = Buffer.from(buffer);
      return;
    }
    const larger = capacityBytes > STEPWISE_BYTES
      ? this.#createResizable(capacityBytes)
      : Buffer.allocUnsafeSlow(capacityBytes);
    this.bytes.copy(larger);
    freeMemory(this.#buffer);
    this.#buffer = larger;
  }

  // What may be added to it takes addresses only.
  #createResizable(sizeBytes: number): Buffer {
    const { limitBytes } = this.#options;
    const maxByteLength = this.#expectedBytes >= sizeBytes
      ? this.#expectedBytes
      : limitBytes;
    return Buffer.from(new ArrayBuffer(sizeBytes, { maxByteLength }));
  }
}

function isResizable(buffer: ArrayBufferLike): buffer is ArrayBuffer {
  return buffer instanceof ArrayBuffer && buffer.resizable;
}
