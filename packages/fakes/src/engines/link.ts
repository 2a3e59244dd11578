/** A link of limited rate that its transfers share evenly. */

interface Transfer {
  bytesLeft: number;
  readonly onFinished: () => void;
}

/** A transfer under way. */
export interface TransferHandle {
  /** Gives the transfer up; `finished` is not called. */
  abort(): void;
}

/** Shares a rate evenly between transfers. */
export class Link {
  #bytesPerMs: number;
  #transfers = new Set<Transfer>();
  #lastMs = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #stalled = false;

  constructor(bytesPerMs: number) {
    this.#bytesPerMs = bytesPerMs;
  }

  /** Starts a transfer; `finished` is called once all bytes have arrived. */
  transfer(sizeBytes: number, finished: () => void): TransferHandle {
    this.#advance();
    const transfer: Transfer = { bytesLeft: sizeBytes, onFinished: finished };
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

  /** Stops all transfers, or lets them go on. */
  stall(stalled: boolean): void {
    this.#advance();
    this.#stalled = stalled;
    this.#schedule();
  }

  #advance(): void {
    const nowMs = performance.now();
    const share = this.#stalled
      ? 0
      : (nowMs - this.#lastMs) * this.#bytesPerMs / this.#transfers.size;
    for (const transfer of this.#transfers) transfer.bytesLeft -= share;
    this.#lastMs = nowMs;
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    if (this.#transfers.size === 0 || this.#stalled) return;
    const least = Math.min(...[...this.#transfers].map((one) => one.bytesLeft));
    const waitMs = Math.max(0, least * this.#transfers.size / this.#bytesPerMs);
    this.#timer = setTimeout(() => this.#finish(), Math.ceil(waitMs));
  }

  #finish(): void {
    this.#advance();
    const done = [...this.#transfers].filter((one) => one.bytesLeft < 1);
    for (const transfer of done) this.#transfers.delete(transfer);
    this.#schedule();
    for (const transfer of done) transfer.onFinished();
  }
}
