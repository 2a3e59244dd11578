/** Query for summaries that hold memory on engines. */
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

/** A summary run on one engine. */
export interface SummaryStatus {
  /** Workspace, caller and request id, separated by slashes. */
  readonly key: RequestKey;
  readonly workspace: WorkspaceId;
  readonly stream: StreamId;
  readonly endpoint: EndpointId;
  /** The VM that the caller is connected to. */
  readonly owner: VmId;
  readonly generatedTokens: number;
  readonly memoryPieces: number;
}

/** Response bodies of the summary queries. */
export interface SummaryQueries {
  "GET /admin/summaries": readonly SummaryStatus[];
}

/** Creates the summary queries. */
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

/** Lists all runs in the engines' load reports, including those owned by other VMs. */
export async function listSummaries(
  context: AdminContext,
): Promise<SummaryStatus[]> {
  const endpoints = configurationOf(context)?.bodies.endpoints ?? [];
  const reports = await readLoads(context, endpoints);
  const runs = [...reports].flatMap(([endpoint, report]) =>
    report.runs.map((run) => toStatus(run, endpoint))
  );
  return runs.sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Returns whether `key` identifies a run; the caller segment of the key is optional. */
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
