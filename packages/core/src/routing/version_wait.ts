/** Lets a stream wait for the software version that it has to continue at. */
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { StagedVersion } from "./lost_versions.ts";

/** Largest share of its time that a stream waits; the rest is left for another VM. */
const MAX_WAIT_SHARE = 0.5;

/** The wait of one stream, which ends for good after a share of its time. */
export class VersionWait {
  #untilMs: number | null = null;

  /**
   * Returns whether endpoints of the version accept work in time for a stream that has
   * `spareMs` left, are listed but don't, may return, or none of that is so. The last
   * three are the same once the stream's wait is over.
   */
  check(
    endpoints: Pick<EndpointRegistry, "usable" | "mayReturn">,
    { spareMs, ...version }: StagedVersion & { spareMs: number },
  ): "present" | "failing" | "awaited" | "gone" {
    const nowMs = performance.now();
    const listed = endpoints.usable(version.service, version.stage)
      .filter(({ entry }) => entry.softwareVersion === version.version);
    const isPresent = listed.some((endpoint) =>
      endpoint.isHealthy(nowMs) && endpoint.limitedUntilMs <= nowMs + spareMs
    );
    if (isPresent) return "present";
    this.#untilMs ??= nowMs + MAX_WAIT_SHARE * spareMs;
    if (nowMs >= this.#untilMs) return "gone";
    if (listed.length > 0) return "failing";
    return endpoints.mayReturn(version) ? "awaited" : "gone";
  }
}
