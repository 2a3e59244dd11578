/** What an HTTP server of the daemon needs from its surroundings. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { LogValue, MemoryUse, Observer, Refusal } from "@teaselvalve/core";
import type { TlsCredentials } from "../settings/load.ts";
import type { Limits } from "../settings/schema.ts";
import type { Admission } from "./admission.ts";
import type { Exchange } from "./exchange.ts";

/** Options of {@link createHttpComponent}. */
export interface HttpComponentOptions {
  name: string;
  /** Address to listen on, as `host:port`. */
  address: string;
  handle: (exchange: Exchange) => Promise<void> | void;
  observer: Observer;
  limits: Limits;
  /** Plain HTTP when absent. */
  tls?: TlsCredentials | undefined;
  /** Level of the log line that is written for each request. */
  requestLogLevel: "debug" | "info";
  /**
   * Leaves out the `date` and `request-id` headers, which are only used for
   * diagnosis; calls between VMs are too frequent to send them each time.
   */
  omitDiagnosticHeaders?: boolean;
  /** What the memory of requests is reserved for; `request` by default. */
  requestMemoryUse?: MemoryUse;
  /** Which requests are begun; without it, each is begun as it comes. */
  admission?: AdmittedRequests | undefined;
  /** True while each response closes its connection, for example before a shutdown. */
  shouldCloseConnections?: () => boolean;
  stopTimeoutMs?: number;
}

/** How the requests of an interface are admitted. */
export interface AdmittedRequests {
  gate: Admission;
  /** How long the caller of a request waits, in milliseconds; null if it didn't say. */
  timeoutMs: (headers: IncomingHttpHeaders) => number | null;
  /** Fields that identify a request in a log line. */
  describe: (headers: IncomingHttpHeaders) => Record<string, LogValue>;
  /** Formats the `retry-after` header of a refusal. */
  formatRetryAfter: (retryAfterMs: number) => string;
  /** Whether a request is admitted in turn; the others are begun at once. All by default. */
  applies?: (headers: IncomingHttpHeaders) => boolean;
  /** Marks the response of a refused request. */
  mark?: (response: ServerResponse, refusal: Refusal) => void;
}
