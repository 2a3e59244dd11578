/** Fetches load reports from engines with limited concurrency. */
import type { Endpoint, EndpointId, LoadReport } from "@teaselvalve/core";
import type { AdminContext } from "./types.ts";

const REPORT_TIMEOUT_MS = 1_000;
const CONCURRENT_READS = 32;

/** Fetches the load reports of all engines among `endpoints`; engines that fail are omitted. */
export async function readLoads(
  { vm }: AdminContext,
  endpoints: readonly Endpoint[],
): Promise<Map<EndpointId, LoadReport>> {
  const reports = new Map<EndpointId, LoadReport>();
  const remaining = endpoints.filter((endpoint) => endpoint.kind !== "service");
  const readNext = async (): Promise<void> => {
    for (let next = remaining.pop(); next; next = remaining.pop()) {
      const report = await vm.context.ports.engines.report(next, {
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      if (report.isOk()) reports.set(next.id, report.value);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_READS }, readNext));
  return reports;
}
