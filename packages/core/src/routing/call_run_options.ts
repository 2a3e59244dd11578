/** What a call needs to run. */
import type { ServiceName } from "../common/ids.ts";
import type { Route, RoutedRequest } from "./types.ts";

/** Options of `CallRun`. */
export interface CallRunOptions {
  request: RoutedRequest;
  route: Route;
  service: ServiceName;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** Sent once only, to find out whether the request still crashes endpoints. */
  isTrial?: boolean;
}
