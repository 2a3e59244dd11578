/** Chooses the prefill endpoint of a prompt. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import { minimumBy } from "./choose_endpoint.ts";

/** Tokens of backlog that a hand-over between data centres is worth avoiding. */
const REMOTE_TOKENS = 1_500;
/** Spreads VMs that know the same. */
const TIE_TOKENS = 500;

/** Options of {@link choosePrefillEndpoint}. */
export interface ChoosePrefillOptions {
  /** The data centre of the decode endpoint that fetches the KV cache. */
  decodeDataCentre: DataCentre;
  tried: ReadonlySet<EndpointId>;
  nowMs: number;
  random: () => number;
}

/** The sound endpoint with the least to read before this prompt, near the decode endpoint if that costs little. */
export function choosePrefillEndpoint(
  usable: readonly EndpointRecord[],
  options: ChoosePrefillOptions,
): EndpointRecord | undefined {
  const { tried, nowMs, decodeDataCentre, random } = options;
  const untried = usable.filter(({ entry }) => !tried.has(entry.id));
  const sound = untried.filter((one) =>
    one.isHealthy(nowMs) && one.keepsHandles(nowMs)
  );
  return minimumBy(sound.length > 0 ? sound : untried, (one) => {
    const remote = one.entry.dataCentre === decodeDataCentre
      ? 0
      : REMOTE_TOKENS;
    return one.inFlightTokens + remote + TIE_TOKENS * random();
  });
}
