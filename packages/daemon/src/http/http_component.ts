/** What the daemon sees of an HTTP interface. */
import type { Component } from "../lifecycle/manager.ts";

/** Current load of an interface. */
export interface Activity {
  readonly connections: number;
  readonly requests: number;
  /** Responses whose headers were sent but that haven't ended. */
  readonly streams: number;
}

/** A component that serves one HTTP interface. */
export interface HttpComponent extends Component {
  activity(): Activity;
  /**
   * Refuses requests from now on. Resolves once what has reached this host was accepted
   * and read; what waits in the kernel when a listener closes is reset.
   */
  refuseArrivals(): Promise<void>;
  /** Changes the idle timeout and the header timeout for later requests. */
  setTimeouts(timeouts: { idleMs: number; headersMs: number }): void;
}
