/** Query for endpoints and their load. */
import type {
  DataCentre,
  Endpoint,
  EndpointId,
  LoadReport,
} from "@teaselvalve/core";
import { ok } from "neverthrow";
import { readLoads } from "../load.ts";
import {
  type AdminContext,
  type AdminRoutes,
  configurationOf,
} from "../types.ts";

/** An endpoint's load, from its latest report. */
export interface EndpointLoad {
  readonly ageMs: number;
  readonly state: LoadReport["state"];
  readonly usedSlots: number;
  readonly slots: number;
  readonly usedPieces: number;
  readonly memoryPieces: number;
  readonly queuedTokens: number;
}

/** An endpoint as shown to operators. */
export interface EndpointStatus {
  readonly id: EndpointId;
  readonly kind: Endpoint["kind"];
  readonly address: string;
  readonly dataCentre: DataCentre;
  /** Name of the model or plain service that the endpoint serves. */
  readonly serves: string;
  readonly state: Endpoint["state"];
  /** Null for plain services, which report no load, and for engines that did not respond. */
  readonly load: EndpointLoad | null;
}

/** Response bodies of the endpoint queries. */
export interface EndpointQueries {
  "GET /admin/endpoints": readonly EndpointStatus[];
}

/** Creates the endpoint queries. */
export function createEndpointQueries(
  context: AdminContext,
): AdminRoutes<EndpointQueries> {
  return {
    "GET /admin/endpoints": {
      minimumRole: "reader",
      async handle() {
        const endpoints = configurationOf(context)?.bodies.endpoints ?? [];
        const loads = await readLoads(context, endpoints);
        const body = endpoints
          .map((endpoint) => toStatus(endpoint, loads.get(endpoint.id)))
          .sort((a, b) => (a.id < b.id ? -1 : 1));
        return ok({ body });
      },
    },
  };
}

function toStatus(
  endpoint: Endpoint,
  report: LoadReport | undefined,
): EndpointStatus {
  const { id, kind, address, dataCentre, state } = endpoint;
  return {
    id,
    kind,
    address,
    dataCentre,
    serves: endpoint.model ?? endpoint.service ?? "",
    state,
    load: report ? toLoad(report) : null,
  };
}

function toLoad(report: LoadReport): EndpointLoad {
  return {
    ageMs: Math.round(report.ageMs),
    state: report.state,
    usedSlots: report.runs.length,
    slots: report.slots,
    usedPieces: report.runs.reduce((sum, run) => sum + run.memoryPieces, 0),
    memoryPieces: report.memoryPieces,
    queuedTokens: report.queuedTokens,
  };
}
