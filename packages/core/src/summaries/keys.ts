/** Keys of summaries: a request id belongs to the caller that made it. */
import type { CallerId, RequestId, WorkspaceId } from "../shared/ids.ts";
import { asId, type RequestKey } from "../shared/ids.ts";

/** Whose request it is. */
export interface SummaryIdentity {
  readonly workspace: WorkspaceId;
  readonly caller: CallerId;
  readonly request: RequestId;
}

/** Builds a summary's key, so that another caller's id never meets this one. */
export function summaryKey(identity: SummaryIdentity): RequestKey {
  const { workspace, caller, request } = identity;
  return asId(`${workspace}/${caller}/${request}`);
}

/** What decides the home of a summary's key. */
export function summaryHomeKey(key: RequestKey): string {
  return `summary/${key}`;
}
