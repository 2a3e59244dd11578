/** What a routing VM believes, for operators. */
import type { EndpointId, ServiceName, VmId } from "../../common/ids.ts";
import type { Member, VmState } from "../../membership/types.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/** What one VM believes, and how old that is. */
export interface RoutingBeliefs {
  readonly vm: VmId;
  /** Version 0 where there is none yet. */
  readonly routingTable: { readonly version: number; readonly ageMs: number };
  /** Time since the platform was last heard of its list of endpoints. */
  readonly endpointsAgeMs: number;
  readonly endpoints: readonly EndpointBelief[];
  readonly vms: readonly { readonly id: VmId; readonly state: VmState }[];
}

/** What a VM believes of one endpoint. */
export interface EndpointBelief {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: string;
  readonly stage: string | null;
  /** `resting` after failures, `ordered` to another stage, or as the directory says. */
  readonly state: "ready" | "draining" | "gone" | "resting" | "ordered";
  /** How long it goes on resting. */
  readonly restsForMs: number;
  /** Requests of this VM that it works on. */
  readonly inFlight: number;
  readonly failuresInRow: number;
  /** Moving average of its answer times at this VM; null before the first. */
  readonly latencyMs: number | null;
}

/** Describes an endpoint as its VM sees it now. */
export function describeEndpoint(
  record: EndpointRecord,
  nowMs: number,
): EndpointBelief {
  const { entry, inFlight, failuresInRow, latencyMs } = record;
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
  };
}

/** Describes the VMs of a view. */
export function describeVms(
  members: readonly Member[],
): RoutingBeliefs["vms"] {
  return members.map(({ id, state }) => ({ id, state }));
}

function stateOf(
  record: EndpointRecord,
  nowMs: number,
): EndpointBelief["state"] {
  if (record.isRemoved(nowMs)) return "gone";
  if (record.entry.state === "draining") return "draining";
  if (!record.mayTakeWork(nowMs)) return "ordered";
  return record.isHealthy(nowMs) ? "ready" : "resting";
}
