/** Reports that nothing has arrived for some time, and again while this lasts. */

/** Interval of the further reports of one silence. */
const REPEAT_MS = 250;

/** Options of {@link SilenceWatch}. */
export interface SilenceWatchOptions {
  /** Silence after which the first report is made. */
  limitMs: number;
  onSilent: () => void;
  /** Called with an exception of `onSilent`, which would end the process. */
  onFault: (error: unknown) => void;
}

/** A timer that arrivals restart. It does nothing until {@link start}. */
export class SilenceWatch {
  #options: SilenceWatchOptions;
  #started = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #immediate: ReturnType<typeof setImmediate> | undefined;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
  }

  start(): void {
    this.#started = true;
    this.restart();
  }

  /** Records an arrival, or that arrivals are expected again after {@link stop}. */
  restart(): void {
    if (this.#started) this.#wait(this.#options.limitMs);
  }

  /** Stops reports until the next {@link restart}. */
  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  /** Ends the watch for good. */
  end(): void {
    this.#started = false;
    this.stop();
  }

  // After a freeze of the process, the timer fires before what arrived meanwhile is
  // read; the report waits until it has been.
  #wait(delayMs: number): void {
    this.stop();
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(() => {
        this.#wait(REPEAT_MS);
        try {
          this.#options.onSilent();
        } catch (error) {
          this.#options.onFault(error);
        }
      });
    }, delayMs);
  }
}
