/** One budget for the memory of everything that a process has accepted. */
import { DecayingCount } from "./decaying_count.ts";
import {
  MeasuredMemory,
  type MeasuredMemoryOptions,
} from "./measured_memory.ts";

const MIB = 1_024 * 1_024;
/** Messages up to this size are served before larger ones that wait. */
const SMALL_BYTES = 64 * 1_024;
/** What has been read of messages that wait isn't paid for, so that few may do so. */
const MAX_WAITING_BODIES = 64;
/** Share of the limit that can be used, however much the process takes beside it. */
const MIN_SHARE = 0.25;
/** How often the process is measured while messages wait. */
const ROOM_CHECK_MS = 50;
/** Share of the limit below which memory is short. */
const SHORT_SHARE = 0.5;

/**
 * What memory is reserved for: `head` are heads that haven't arrived completely, and
 * requests that wait behind another; `request` is a request in progress without its
 * body and answer; `internal` are messages of the VM itself.
 */
export const MEMORY_USES = [
  "head",
  "request",
  "body",
  "answer",
  "internal",
] as const;

/** One of {@link MEMORY_USES}. */
export type MemoryUse = (typeof MEMORY_USES)[number];

/** How much a use may take of the budget. */
interface UseLimit {
  /** How full the budget may be. */
  readonly share: number;
  /** Uses that share a part of the budget, and that part. */
  readonly group: readonly MemoryUse[];
  readonly groupShare: number;
}

const LARGE_MESSAGES: readonly MemoryUse[] = ["body", "answer"];
/** Part of the budget for bodies and answers that large ones leave to small ones. */
const SMALL_GROUP_SHARE = 0.75;

/**
 * Large messages leave room for small requests, and bodies for answers: what has been
 * accepted can be finished, and what comes new is refused.
 */
const LIMITS: Readonly<Record<MemoryUse, UseLimit>> = {
  head: { share: 0.9, group: ["head"], groupShare: 0.1 },
  request: { share: 0.95, group: ["request"], groupShare: 0.95 },
  body: { share: 0.9, group: LARGE_MESSAGES, groupShare: 0.5 },
  answer: { share: 1, group: LARGE_MESSAGES, groupShare: 0.7 },
  // Bounded by the few calls that a VM makes at a time.
  internal: { share: Infinity, group: [], groupShare: Infinity },
};

/** Memory that is reserved until it is released. */
export interface MemoryLease {
  /** Changes the size; returns false, and changes nothing, if the budget has no room. */
  resize(sizeBytes: number): boolean;
  /** Gives the memory back; further calls have no effect. */
  release(): void;
}

/** Options of {@link MemoryBudget.wait}. */
export interface MemoryWaitOptions {
  use: MemoryUse;
  sizeBytes: number;
  /** Ends the wait without a lease. */
  signal: AbortSignal;
}

interface SizeChange {
  readonly fromBytes: number;
  readonly toBytes: number;
}

interface Waiter {
  readonly sizeBytes: number;
  readonly grant: (lease: MemoryLease) => void;
}

/** Reserves memory up to a limit, and lets large messages wait for it in turn. */
export class MemoryBudget {
  #limitBytes: number;
  #measured: MeasuredMemory | undefined;
  #usedBytes = 0;
  #usedBy = new Map<MemoryUse, number>();
  /** Bytes that were given back lately. */
  #freed = new DecayingCount();
  #largeBytes = 0;
  #roomTimer: ReturnType<typeof setTimeout> | undefined;
  /** How many messages beyond the size of small ones hold memory, by use. */
  #largeMessages = new Map<MemoryUse, number>(
    LARGE_MESSAGES.map((use) => [use, 0]),
  );
  #waiters = new Map<MemoryUse, Set<Waiter>>(
    LARGE_MESSAGES.map((use) => [use, new Set()]),
  );

  constructor({ limitBytes }: { limitBytes: number }) {
    this.#limitBytes = limitBytes;
  }

  /** What may be reserved in all; less than was set while the process takes much beside. */
  get limitBytes(): number {
    const roomBytes = this.#measured?.roomBytes(this.#usedBytes) ?? Infinity;
    return Math.min(
      this.#limitBytes,
      Math.max(MIN_SHARE * this.#limitBytes, roomBytes),
    );
  }

  /** Whether the process takes so much beside that only a part of the limit is left. */
  get isShort(): boolean {
    return this.limitBytes < SHORT_SHARE * this.#limitBytes;
  }

  /** Memory that is reserved for a use, or for all of them, in bytes. */
  usedBytes(use?: MemoryUse): number {
    return use ? this.#usedBy.get(use) ?? 0 : this.#usedBytes;
  }

  /** Changes the limit; what is reserved stays so. */
  setLimit(limitBytes: number): void {
    this.#limitBytes = limitBytes;
    this.#serveWaiters();
  }

  /**
   * Keeps what is reserved, together with what the process takes beside it, within a
   * limit.
   */
  measureProcess(options: MeasuredMemoryOptions): void {
    this.#measured = new MeasuredMemory(options);
  }

  /** Reserves memory at once; null if there is no room, or others wait for it. */
  reserve(use: MemoryUse, sizeBytes: number): MemoryLease | null {
    return this.#isBehind(use, sizeBytes) ? null : this.#take(use, sizeBytes);
  }

  /**
   * Reserves memory as soon as there is room, in the order of the calls; null if aborted
   * before, or too many wait.
   */
  wait({ use, sizeBytes, signal }: MemoryWaitOptions): Promise<
    MemoryLease | null
  > {
    const lease = signal.aborted ? null : this.reserve(use, sizeBytes);
    const waiters = this.#waiters.get(use);
    const isFull = use === "body" && waiters?.size === MAX_WAITING_BODIES;
    if (lease || signal.aborted || !waiters || isFull) {
      return Promise.resolve(lease);
    }
    return new Promise((resolve) => {
      const end = (granted: MemoryLease | null) => {
        waiters.delete(waiter);
        signal.removeEventListener("abort", onAbort);
        resolve(granted);
      };
      const onAbort = () => {
        end(null);
        this.#serveWaiters();
      };
      const waiter: Waiter = { sizeBytes, grant: end };
      waiters.add(waiter);
      signal.addEventListener("abort", onAbort);
      this.#watchRoom();
    });
  }

  /**
   * Returns after how long there will be room for a message behind those that wait, in
   * milliseconds, if memory is given back as fast as lately; infinite if none was.
   */
  estimateWaitMs(use: MemoryUse, sizeBytes: number): number {
    let aheadBytes = 0;
    for (const waiter of this.#waiters.get(use) ?? []) {
      aheadBytes += waiter.sizeBytes;
    }
    const neededBytes = aheadBytes + sizeBytes;
    return neededBytes === 0 ? 0 : neededBytes / this.#freed.ratePerMs();
  }

  // The process may take less beside the budget without any lease being given back.
  #watchRoom(): void {
    if (!this.#measured || this.#roomTimer || !this.#hasWaiters()) return;
    this.#roomTimer = setTimeout(() => {
      this.#roomTimer = undefined;
      this.#serveWaiters();
      this.#watchRoom();
    }, ROOM_CHECK_MS);
  }

  #hasWaiters(): boolean {
    return [...this.#waiters.values()].some(({ size }) => size > 0);
  }

  #isBehind(use: MemoryUse, sizeBytes: number): boolean {
    const waiting = this.#waiters.get(use)?.size ?? 0;
    return sizeBytes > SMALL_BYTES && waiting > 0;
  }

  #take(use: MemoryUse, sizeBytes: number): MemoryLease | null {
    if (!this.#hasRoom(use, { fromBytes: 0, toBytes: sizeBytes })) return null;
    let heldBytes = 0;
    let isReleased = false;
    const change = (nextBytes: number) => {
      this.#add(use, { fromBytes: heldBytes, toBytes: nextBytes });
      const isLess = nextBytes < heldBytes;
      heldBytes = nextBytes;
      if (isLess) this.#serveWaiters();
    };
    change(sizeBytes);
    return {
      resize: (nextBytes) => {
        if (isReleased) return false;
        const isRefused = this.#isBehind(use, nextBytes) ||
          !this.#hasRoom(use, { fromBytes: heldBytes, toBytes: nextBytes });
        if (nextBytes > heldBytes && isRefused) return false;
        change(nextBytes);
        return true;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        change(0);
      },
    };
  }

  #hasRoom(use: MemoryUse, { fromBytes, toBytes }: SizeChange): boolean {
    // However large a message is, one can always be served.
    const isFirst = (this.#largeMessages.get(use) ?? 1) === 0;
    if (isFirst && toBytes > SMALL_BYTES) return true;
    const { share, group } = LIMITS[use];
    const isMessage = group === LARGE_MESSAGES;
    const isLarge = isMessage && toBytes > SMALL_BYTES;
    const groupShare = isMessage && !isLarge
      ? SMALL_GROUP_SHARE
      : LIMITS[use].groupShare;
    const groupBytes = group.reduce((sum, other) => {
      return sum + this.usedBytes(other);
    }, 0);
    const moreBytes = toBytes - fromBytes;
    const usedBytes = this.#usedBytes + moreBytes;
    const { limitBytes } = this;
    // Large messages that were taken before the room became less cost no small request.
    if (!isLarge && usedBytes - this.#largeBytes > share * limitBytes) {
      return false;
    }
    const fullBytes = isLarge ? limitBytes : this.#limitBytes;
    return usedBytes <= share * fullBytes &&
      groupBytes + moreBytes <= groupShare * fullBytes;
  }

  #add(use: MemoryUse, { fromBytes, toBytes }: SizeChange): void {
    const moreBytes = toBytes - fromBytes;
    this.#usedBytes += moreBytes;
    if (moreBytes < 0) this.#freed.add(-moreBytes);
    this.#usedBy.set(use, this.usedBytes(use) + moreBytes);
    const large = this.#largeMessages.get(use);
    if (large === undefined) return;
    const moreLarge = Number(toBytes > SMALL_BYTES) -
      Number(fromBytes > SMALL_BYTES);
    this.#largeBytes += largePart(toBytes) - largePart(fromBytes);
    this.#largeMessages.set(use, large + moreLarge);
  }

  #serveWaiters(): void {
    for (const [use, waiters] of this.#waiters) {
      for (const waiter of waiters) {
        const lease = this.#take(use, waiter.sizeBytes);
        if (!lease) break;
        waiter.grant(lease);
      }
    }
  }
}

function largePart(messageBytes: number): number {
  return messageBytes > SMALL_BYTES ? messageBytes : 0;
}

/** The budget of the whole process. */
export const PROCESS_MEMORY = new MemoryBudget({ limitBytes: 32 * MIB });

const LEASES = new WeakMap<Uint8Array, MemoryLease>();
const COLLECTED = new FinalizationRegistry<MemoryLease>((lease) =>
  lease.release()
);

/** Keeps a lease until the bytes are freed or released, or garbage collected. */
export function holdMemory(bytes: Uint8Array, lease: MemoryLease): void {
  LEASES.set(bytes, lease);
  COLLECTED.register(bytes, lease, bytes);
}

/**
 * Frees the memory of bytes that are no longer needed. The pages of a resizable buffer
 * are given back at once, whatever still refers to it; its bytes can't be read any more.
 */
export function freeMemory(bytes: Uint8Array): void {
  releaseMemory(bytes);
  const { buffer } = bytes;
  if (buffer instanceof ArrayBuffer && buffer.resizable) buffer.resize(0);
}

/** Gives back the lease of bytes, if there is one, and leaves them as they are. */
export function releaseMemory(bytes: Uint8Array): void {
  const lease = LEASES.get(bytes);
  if (!lease) return;
  COLLECTED.unregister(bytes);
  LEASES.delete(bytes);
  lease.release();
}
