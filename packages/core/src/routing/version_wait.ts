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
   * `spareMs` left. While the stream waits, they may also be listed but fail, or be
   * awaited after a crash; otherwise all have limits that end too late, or are gone.
   */
  check(
    endpoints: Pick<EndpointRegistry, "usable" | "mayReturn">,
    { spareMs, ...version }: StagedVersion & { spareMs: number },
  ): "present" | "failing" | "awaited" | "limited" | "gone" {
    const nowMs = performance.now();
    const listed = endpoints.usable(version.service, version.stage)
      .filter(({ entry }) => entry.softwareVersion === version.version);
    const healthy = listed.filter((endpoint) => endpoint.isHealthy(nowMs));
    const untilMs = nowMs + spareMs;
    if (healthy.some(({ limitedUntilMs }) => limitedUntilMs <= untilMs)) {
      return "present";
    }
    this.#untilMs ??= nowMs + MAX_WAIT_SHARE * spareMs;
    if (nowMs < this.#untilMs) {
      if (healthy.length < listed.length) return "failing";
      if (endpoints.mayReturn(version)) return "awaited";
    }
    return healthy.length > 0 ? "limited" : "gone";
  }
}
