/** Lets a stream wait for the software version that it has to continue at. */
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { StagedVersion } from "./lost_versions.ts";

/** Largest share of its time that a stream waits; the rest is left for another VM. */
const MAX_WAIT_SHARE = 0.5;

/** The wait of one stream, which ends for good after a share of its time. */
export class VersionWait {
  #untilMs: number | null = null;

  /**
   * Returns whether endpoints of the version accept work, may do so within the wait of
   * a stream that has `spareMs` left, or don't.
   */
  check(
    endpoints: Pick<EndpointRegistry, "usable" | "mayReturn">,
    { spareMs, ...version }: StagedVersion & { spareMs: number },
  ): "present" | "awaited" | "gone" {
    const isPresent = endpoints.usable(version.service, version.stage)
      .some(({ entry }) => entry.softwareVersion === version.version);
    if (isPresent) return "present";
    const nowMs = performance.now();
    this.#untilMs ??= nowMs + MAX_WAIT_SHARE * spareMs;
    return nowMs < this.#untilMs && endpoints.mayReturn(version)
      ? "awaited"
      : "gone";
  }
}
