/** Queries of summaries that engines hold memory for. */
import {
  type EndpointId,
  type HeldRun,
  type RequestKey,
  type StreamId,
  summaryKeyFromEngineKey,
  type VmId,
  type WorkspaceId,
  workspaceOf,
} from "@teaselvalve/core";
import { ok } from "neverthrow";
import { readLoads } from "../load.ts";
import {
  type AdminContext,
  type AdminRoutes,
  configurationOf,
} from "../types.ts";

/** A run of a summary at one engine. */
export interface SummaryStatus {
  /** Workspace, caller and request id. */
  readonly key: RequestKey;
  readonly workspace: WorkspaceId;
  readonly stream: StreamId;
  readonly endpoint: EndpointId;
  /** The VM that its caller is connected to. */
  readonly owner: VmId;
  readonly generatedTokens: number;
  readonly memoryPieces: number;
}

/** Bodies that these queries answer. */
export interface SummaryQueries {
  "GET /admin/summaries": readonly SummaryStatus[];
}

/** Lists these queries. */
export function createSummaryQueries(
  context: AdminContext,
): AdminRoutes<SummaryQueries> {
  return {
    "GET /admin/summaries": {
      minimumRole: "reader",
      handle: async () => ok({ body: await listSummaries(context) }),
    },
  };
}

/** Lists the runs that the engines report, whichever VM owns them. */
export async function listSummaries(
  context: AdminContext,
): Promise<SummaryStatus[]> {
  const endpoints = configurationOf(context)?.bodies.endpoints ?? [];
  const reports = await readLoads(context, endpoints);
  const listed = [...reports].flatMap(([endpoint, report]) =>
    report.runs.map((run) => toStatus(run, endpoint))
  );
  return listed.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** True where a key names a run, with or without its caller. */
export function matchesKey(run: SummaryStatus, key: RequestKey): boolean {
  const [workspace, , ...request] = run.key.split("/");
  return run.key === key || `${workspace}/${request.join("/")}` === key;
}

function toStatus(run: HeldRun, endpoint: EndpointId): SummaryStatus {
  return {
    key: summaryKeyFromEngineKey(run.key),
    workspace: workspaceOf(run.key),
    stream: run.stream,
    endpoint,
    owner: run.owner.vm,
    generatedTokens: run.generatedTokens,
    memoryPieces: run.memoryPieces,
  };
}
