/** Queries of calls that may not be repeated. */
import {
  type CallerId,
  type CallRow,
  CALLS_TABLE,
  type Digest,
  notRun,
  type RequestKey,
  type VmId,
} from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import type { AdminContext, AdminRoutes } from "../types.ts";

const READ_TIMEOUT_MS = 2_000;

/** A call as operators see it: what is known of its run, without its answer's body. */
export interface CallStatus {
  readonly key: RequestKey;
  readonly caller: CallerId;
  readonly bodyDigest: Digest;
  readonly attempt: number;
  readonly state: CallRow["state"]["kind"];
  /** The VM that claimed it last. */
  readonly vm: VmId;
  /** The answer's status; null unless it is done. */
  readonly answerStatus: number | null;
  readonly expiresAtMs: number;
}

/** Bodies that these queries answer. */
export interface CallQueries {
  "GET /admin/calls/:key": CallStatus;
}

/** Lists these queries. */
export function createCallQueries(
  { vm }: AdminContext,
): AdminRoutes<CallQueries> {
  return {
    "GET /admin/calls/:key": {
      minimumRole: "reader",
      async handle({ params }) {
        const row = await vm.context.ports.platform.read(
          CALLS_TABLE,
          params.key!,
          { timeoutMs: READ_TIMEOUT_MS },
        );
        if (row.isErr()) return err(notRun("store-unavailable"));
        if (row.value === null) return err(notRun("not-found"));
        return ok({ body: toStatus(row.value.value as unknown as CallRow) });
      },
    },
  };
}

function toStatus(row: CallRow): CallStatus {
  const { state } = row;
  return {
    key: row.key,
    caller: row.caller,
    bodyDigest: row.bodyDigest,
    attempt: row.attempt,
    state: state.kind,
    vm: row.claim.vm,
    answerStatus: state.kind === "done" ? state.answer.status : null,
    expiresAtMs: row.expiresAtMs,
  };
}
