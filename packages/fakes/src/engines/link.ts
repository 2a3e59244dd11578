/** A link of limited bandwidth that its transfers share evenly. */

interface Transfer {
  bytesLeft: number;
  readonly onFinished: () => void;
}

/** A running transfer. */
export interface TransferHandle {
  /** Aborts the transfer; `onFinished` is not called. */
  abort(): void;
}

/** Divides its bandwidth evenly between the running transfers. */
export class Link {
  #bytesPerMs: number;
  #transfers = new Set<Transfer>();
  #advancedAtMs = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #stalled = false;

  constructor(bytesPerMs: number) {
    this.#bytesPerMs = bytesPerMs;
  }

  /** Starts a transfer; `onFinished` is called once all bytes have arrived. */
  transfer(sizeBytes: number, onFinished: () => void): TransferHandle {
    this.#advance();
    const transfer: Transfer = { bytesLeft: sizeBytes, onFinished };
    this.#transfers.add(transfer);
    this.#schedule();
    return {
      abort: () => {
        this.#advance();
        this.#transfers.delete(transfer);
        this.#schedule();
      },
    };
  }

  /** Pauses or resumes all transfers. */
  stall(stalled: boolean): void {
    this.#advance();
    this.#stalled = stalled;
    this.#schedule();
  }

  #advance(): void {
    const nowMs = performance.now();
    const bytesEach = this.#stalled
      ? 0
      : (nowMs - this.#advancedAtMs) * this.#bytesPerMs / this.#transfers.size;
    for (const transfer of this.#transfers) transfer.bytesLeft -= bytesEach;
    this.#advancedAtMs = nowMs;
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    if (this.#transfers.size === 0 || this.#stalled) return;
    const minBytesLeft = Math.min(
      ...[...this.#transfers].map((transfer) => transfer.bytesLeft),
    );
    const waitMs = Math.max(
      0,
      minBytesLeft * this.#transfers.size / this.#bytesPerMs,
    );
    this.#timer = setTimeout(() => this.#finish(), Math.ceil(waitMs));
  }

  #finish(): void {
    this.#advance();
    const finished = [...this.#transfers].filter((transfer) =>
      transfer.bytesLeft < 1
    );
    for (const transfer of finished) this.#transfers.delete(transfer);
    this.#schedule();
    for (const transfer of finished) transfer.onFinished();
  }
}
