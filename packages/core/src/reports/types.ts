/** Types of the load reports that a shard's home collects. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";

/** A load report and the time at which it was taken. */
export interface ReceivedReport {
  readonly endpoint: Endpoint;
  readonly report: LoadReport;
  /** On the clock of `performance.now`. */
  readonly takenAtMs: number;
}

/** Called with each report, in order of arrival. */
export type ReportListener = (received: ReceivedReport) => void;

/** Gives access to the load reports of the shards that this VM is responsible for. */
export interface ReportsView {
  /** Adds a listener; the returned function removes it. */
  onReport(listener: ReportListener): () => void;
}
