/** Describes a routing VM's local view for operators. */
import type { EndpointId, ServiceName, VmId } from "../../common/ids.ts";
import type { Member, VmState } from "../../membership/types.ts";
import type { TraitId } from "../crashes/types.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { MeasuredSpeed } from "../placement/measured_speed.ts";

const MS_PER_S = 1_000;

/** One VM's local view of routing, with the age of its sources. */
export interface LocalRoutingView {
  readonly vm: VmId;
  /** Version 0 while there is none yet. */
  readonly routingTable: { readonly version: number; readonly ageMs: number };
  /** Time since the platform last answered for its list of endpoints. */
  readonly endpointsAgeMs: number;
  readonly endpoints: readonly LocalEndpointView[];
  readonly vms: readonly { readonly id: VmId; readonly state: VmState }[];
  /** Requests and prompt parts that are refused because they crash endpoints. */
  readonly quarantined: readonly {
    readonly trait: TraitId;
    readonly crashes: number;
  }[];
}

/** One VM's local view of an endpoint. */
export interface LocalEndpointView {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: string;
  readonly stage: string | null;
  /** `resting`: ejected after failures; `ordered`: to another stage; otherwise as in the directory. */
  readonly state: "ready" | "draining" | "gone" | "resting" | "ordered";
  /** Time until the ejection ends; 0 if not ejected. */
  readonly restsForMs: number;
  /** This VM's requests in progress at the endpoint. */
  readonly inFlight: number;
  readonly failuresInRow: number;
  /** Moving average of the response times seen by this VM; null before the first. */
  readonly latencyMs: number | null;
  /** Tokens that a stream generates per second there, as measured by this VM; null if unknown. */
  readonly decodeTokensPerS: number | null;
  /** Prompt tokens processed per second, as measured by this VM; null if unknown. */
  readonly prefillTokensPerS: number | null;
}

/** Describes an endpoint as of `nowMs`. */
export function describeEndpoint(
  record: EndpointRecord,
  nowMs: number,
): LocalEndpointView {
  const { entry, inFlight, failuresInRow, latencyMs } = record;
  const { decodeSpeed, prefillSpeed } = record;
  return {
    id: entry.id,
    service: entry.service,
    address: entry.address,
    stage: entry.stage,
    state: stateOf(record, nowMs),
    restsForMs: Math.max(0, Math.round(record.ejectedUntilMs - nowMs)),
    inFlight,
    failuresInRow,
    latencyMs: latencyMs === null ? null : Math.round(latencyMs),
    decodeTokensPerS: tokensPerS(decodeSpeed),
    prefillTokensPerS: tokensPerS(prefillSpeed),
  };
}

function tokensPerS(speed: MeasuredSpeed): number | null {
  const tokensPerMs = speed.current();
  return tokensPerMs === null ? null : Math.round(MS_PER_S * tokensPerMs);
}

/** Lists the members of a membership view with their states. */
export function describeVms(
  members: readonly Member[],
): LocalRoutingView["vms"] {
  return members.map(({ id, state }) => ({ id, state }));
}

function stateOf(
  record: EndpointRecord,
  nowMs: number,
): LocalEndpointView["state"] {
  if (record.isRemoved(nowMs)) return "gone";
  if (record.entry.state === "draining") return "draining";
  if (!record.mayTakeWork(nowMs)) return "ordered";
  return record.isHealthy(nowMs) ? "ready" : "resting";
}
