/** Notices that the process or its machine stood still. */
import { SuspensionDetector } from "./suspension.ts";

const CHECK_INTERVAL_MS = 500;
/** Delay of a check from which on the process counts as having stood still. */
const MIN_STALL_MS = 500;

/** Calls a listener after each stall of the process, and after each suspension of its machine. */
export class StallWatch {
  #onStall: () => void;
  #checkedAtMs = 0;
  #detector = new SuspensionDetector();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(onStall: () => void) {
    this.#onStall = onStall;
  }

  start(): void {
    this.#note();
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const delayMs = performance.now() - this.#checkedAtMs - CHECK_INTERVAL_MS;
    const isStall = delayMs >= MIN_STALL_MS ||
      this.#detector.suspendedMs() > 0;
    this.#note();
    if (isStall) this.#onStall();
  }

  #note(): void {
    this.#checkedAtMs = performance.now();
    this.#detector = new SuspensionDetector();
  }
}
