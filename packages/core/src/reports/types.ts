/** Load reports as a shard's home collects them. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";

/** A load report with the time it was taken at. */
export interface ReceivedReport {
  readonly endpoint: Endpoint;
  readonly report: LoadReport;
  /** On the clock of `performance.now`. */
  readonly takenAtMs: number;
}

/** Told of each report, in the order in which they arrive. */
export type ReportListener = (received: ReceivedReport) => void;

/** Reads the load reports of the shards that this VM looks after. */
export interface ReportsView {
  /** Adds a listener; the function returned removes it. */
  onReport(listener: ReportListener): () => void;
}
