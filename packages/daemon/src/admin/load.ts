/** Reads the load reports of many engines, a few at a time. */
import type { Endpoint, EndpointId, LoadReport } from "@teaselvalve/core";
import type { AdminContext } from "./types.ts";

const REPORT_TIMEOUT_MS = 1_000;
const CONCURRENT_READS = 32;

/** Reads the reports of the engines among some endpoints; those that fail are left out. */
export async function readLoads(
  { vm }: AdminContext,
  endpoints: readonly Endpoint[],
): Promise<Map<EndpointId, LoadReport>> {
  const reports = new Map<EndpointId, LoadReport>();
  const waiting = endpoints.filter((endpoint) => endpoint.kind !== "service");
  const readNext = async (): Promise<void> => {
    for (let next = waiting.pop(); next; next = waiting.pop()) {
      const report = await vm.context.ports.engines.report(next, {
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      if (report.isOk()) reports.set(next.id, report.value);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_READS }, readNext));
  return reports;
}
