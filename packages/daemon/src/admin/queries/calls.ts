/** Queries for calls to services that must not be executed twice. */
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

/** The state of a call as shown to operators, without its response body. */
export interface CallStatus {
  readonly key: RequestKey;
  readonly caller: CallerId;
  readonly bodyDigest: Digest;
  readonly attempt: number;
  readonly state: CallRow["state"]["kind"];
  /** The VM that claimed the call last. */
  readonly vm: VmId;
  /** HTTP status of the response, or null unless the call is done. */
  readonly answerStatus: number | null;
  readonly expiresAtMs: number;
}

/** Response bodies of the call queries. */
export interface CallQueries {
  "GET /admin/calls/:key": CallStatus;
}

/** Creates the call queries. */
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
