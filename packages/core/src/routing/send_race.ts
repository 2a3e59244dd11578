/**
 * A send of a stream and its backups. An endpoint that stops sending is not given
 * up: a backup is prepared at another one, and the first send that receives bytes
 * closes all others.
 */
import { err } from "neverthrow";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { SendResult, StreamSend, StreamSendHooks } from "./stream_send.ts";

/** Options of {@link SendRace}. */
export interface SendRaceOptions {
  createSend(
    reservation: DecodeReservation,
    hooks: StreamSendHooks & { isBackup: boolean },
  ): StreamSend;
  /** Reserves a place for a backup of the open sends; null if there is none to be had. */
  reserveBackup(
    open: readonly StreamSend[],
    signal: AbortSignal,
  ): Promise<DecodeReservation | null>;
  /** Returns a reservation that is not needed any more. */
  release(reservation: DecodeReservation): void;
  /** Called at the end of each send, also of those that were closed. */
  onEnd(send: StreamSend, result: SendResult): void;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** Runs one send and at most one further backup at a time. */
export class SendRace {
  #options: SendRaceOptions;
  #open = new Map<StreamSend, AbortController>();
  /** Set while a backup waits for its place; aborts the wait. */
  #reserving: AbortController | null = null;
  #lastFailure: SendResult = err({ kind: "notSent" });
  #resolve: (result: SendResult) => void = () => {};
  #reject: (error: unknown) => void = () => {};

  constructor(options: SendRaceOptions) {
    this.#options = options;
  }

  /**
   * Resolves with the completed send, or with the last failure once no send is open;
   * rejects with an exception within a send, whose others are closed.
   */
  run(reservation: DecodeReservation): Promise<SendResult> {
    return new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      this.#start(reservation, { isBackup: false });
    });
  }

  #start(
    reservation: DecodeReservation,
    { isBackup }: { isBackup: boolean },
  ): void {
    const cancellation = new AbortController();
    const signals = [this.#options.signal, cancellation.signal];
    const send = this.#options.createSend(reservation, {
      isBackup,
      signal: AbortSignal.any(signals),
      onProgress: () => this.#closeOthers(send),
      onSilent: () => {
        this.#backUp(send).catch((error) => this.#fail(error));
      },
      onFault: (error) => this.#fail(error),
    });
    this.#open.set(send, cancellation);
    send.run().then((result) => this.#end(send, result))
      .catch((error) => this.#fail(error));
  }

  #fail(error: unknown): void {
    this.#reject(error);
    this.#reserving?.abort();
    for (const cancellation of this.#open.values()) cancellation.abort();
  }

  #end(send: StreamSend, result: SendResult): void {
    this.#options.onEnd(send, result);
    if (!this.#open.has(send)) return;
    if (result.isOk()) {
      this.#closeOthers(send);
      return this.#resolve(result);
    }
    this.#open.delete(send);
    this.#lastFailure = result;
    this.#resolveIfIdle();
  }

  #closeOthers(winner: StreamSend): void {
    if (this.#open.size === 1 && !this.#reserving) return;
    this.#reserving?.abort();
    this.#reserving = null;
    for (const [send, cancellation] of this.#open) {
      if (send === winner) continue;
      this.#open.delete(send);
      if (send.ordinal < winner.ordinal) send.replace();
      else cancellation.abort();
    }
  }

  async #backUp(silent: StreamSend): Promise<void> {
    if (this.#reserving || this.#hasBackup(silent)) return;
    const reserving = new AbortController();
    this.#reserving = reserving;
    const reservation = await this.#options.reserveBackup(
      [...this.#open.keys()],
      AbortSignal.any([this.#options.signal, reserving.signal]),
    );
    if (reserving.signal.aborted) {
      if (reservation) this.#options.release(reservation);
      return;
    }
    this.#reserving = null;
    if (reservation) this.#start(reservation, { isBackup: true });
    else this.#resolveIfIdle();
  }

  #hasBackup(silent: StreamSend): boolean {
    return [...this.#open.keys()].some(({ ordinal }) =>
      ordinal > silent.ordinal
    );
  }

  #resolveIfIdle(): void {
    if (this.#open.size > 0 || this.#reserving) return;
    this.#resolve(this.#lastFailure);
  }
}
