/** Speeds of engines by this VM's own measurements, for placement without a home. */
import type { EndpointRecord } from "../endpoint_record.ts";
import { relativeSpeeds, type SpeedKind } from "./engine_speeds.ts";

/** Returns the speeds of engines as multiples of the typical one; 1 where nothing shows a difference. */
export function ownRelativeSpeeds(
  kind: SpeedKind,
  engines: readonly EndpointRecord[],
): (engine: EndpointRecord) => number {
  const speeds = new Map<EndpointRecord, number>();
  for (const engine of engines) {
    const { decodeSpeed, prefillSpeed } = engine;
    const measured = kind === "decode" ? decodeSpeed : prefillSpeed;
    const speed = measured.current();
    if (speed !== null) speeds.set(engine, speed);
  }
  return relativeSpeeds(kind, speeds);
}
