/** Remembers which software versions have lost endpoints to crashes. */
import type { ServiceName } from "../common/ids.ts";
import type { EndpointEntry, SoftwareVersion, Stage } from "./types.ts";

/** How long a version may return: a crashed endpoint is back after some seconds. */
const RETURN_MS = 10_000;

/** A software version at one stage of a service. */
export interface StagedVersion {
  readonly service: ServiceName;
  /** Null for services without engines. */
  readonly stage: Stage | null;
  readonly version: SoftwareVersion;
}

/** Versions of endpoints that are gone without having been drained. */
export class LostVersions {
  #lostAtMs = new Map<string, number>();

  /** Records that an endpoint is gone since `atMs`, or will be from then on. */
  note(entry: EndpointEntry, atMs: number): void {
    if (entry.state !== "ready") return;
    const expiredMs = performance.now() - RETURN_MS;
    for (const [key, lostAtMs] of this.#lostAtMs) {
      if (lostAtMs <= expiredMs) this.#lostAtMs.delete(key);
    }
    const key = keyOf({ ...entry, version: entry.softwareVersion });
    this.#lostAtMs.set(key, atMs);
  }

  /** Whether an endpoint of the version may be back within seconds. */
  mayReturn(version: StagedVersion): boolean {
    const lostAtMs = this.#lostAtMs.get(keyOf(version)) ?? -Infinity;
    return performance.now() < lostAtMs + RETURN_MS;
  }
}

function keyOf({ service, stage, version }: StagedVersion): string {
  return `${service} ${stage} ${version}`;
}
