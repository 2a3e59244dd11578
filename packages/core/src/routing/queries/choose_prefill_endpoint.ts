/** Chooses the prefill endpoint for a prompt. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import { ownRelativeSpeeds } from "../placement/own_speeds.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import { minimumBy } from "./choose_endpoint.ts";

/** Larger backlog that is accepted to avoid a KV cache handover between data centres. */
const REMOTE_PENALTY_TOKENS = 1_500;
/** Maximum random jitter, so that VMs with the same local view choose different endpoints. */
const JITTER_TOKENS = 500;

/** Options of {@link choosePrefillEndpoint}. */
export interface ChoosePrefillOptions {
  /** The data centre of the decode endpoint that fetches the KV cache. */
  decodeDataCentre: DataCentre;
  tried: ReadonlySet<EndpointId>;
  nowMs: number;
  random: () => number;
}

/**
 * Returns the healthy endpoint with the smallest prompt backlog, as a multiple for slow
 * ones, that is not limited,
 * and prefers the decode endpoint's data centre if the difference is small. If there
 * is none, chooses among all untried ones; undefined if there are none.
 */
export function choosePrefillEndpoint(
  usable: readonly EndpointRecord[],
  options: ChoosePrefillOptions,
): EndpointRecord | undefined {
  const { tried, nowMs, decodeDataCentre, random } = options;
  const untried = usable.filter(({ entry }) => !tried.has(entry.id));
  const healthy = untried.filter((record) =>
    record.isHealthy(nowMs) && record.keepsHandles(nowMs) &&
    !record.isLimited(nowMs)
  );
  const speedOf = ownRelativeSpeeds("prefill", untried);
  return minimumBy(healthy.length > 0 ? healthy : untried, (record) => {
    const remoteTokens = record.entry.dataCentre === decodeDataCentre
      ? 0
      : REMOTE_PENALTY_TOKENS;
    const tokens = record.inFlightTokens + JITTER_TOKENS * random();
    return tokens / speedOf(record) + remoteTokens;
  });
}
