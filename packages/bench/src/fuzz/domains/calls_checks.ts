/** Invariants of calls that must run at most once. */
import { type CallRow, CALLS_TABLE } from "@teaselvalve/core";
import type { World } from "../../world/world.ts";
import { type Check, type FuzzModel, stateOf } from "../fuzz_domain.ts";
import {
  CALLS,
  type CallsState,
  isSameCall,
  keyOf,
  runsOf,
  runsOfSubmission,
  type Submission,
} from "./calls_state.ts";
import { FAULTS, type FaultsState } from "./faults.ts";

/** Upper bound of the latency from a caller to a VM or from a VM to a service. */
const TRANSIT_MS = 10;
/** How long after its deadline a call may receive its verdict. */
const LAST_VERDICT_MS = 1_000;
/** Minimum deadline with which a call must be answered when nothing fails. */
const EASY_DEADLINE_MS = 1_000;

type FindViolations = (
  state: CallsState,
  world: World,
  model: FuzzModel,
) => string[];

function check(name: string, when: Check["when"], find: FindViolations): Check {
  return {
    name: `calls: ${name}`,
    when,
    findViolations: (model, world) =>
      find(stateOf<CallsState>(model, CALLS), world, model),
  };
}

function describeSubmission({ call, filing }: Submission): string {
  const { caller, body } = call.request;
  return `${filing.request} of ${caller} with ${body} at ${call.vm}`;
}

/** Whether another submission of the same call could have run it at the given time. */
function couldHaveRun(
  state: CallsState,
  options: { besides: Submission; atMs: number },
): boolean {
  const { besides, atMs } = options;
  return state.submissions.some((other) => {
    const { verdict, answeredAtMs, sentAtMs } = other.call;
    if (other === besides || !isSameCall(other, besides)) return false;
    if (sentAtMs > atMs) return false;
    const reportedNotRun = verdict?.isErr() &&
      verdict.error.kind === "notRun" &&
      answeredAtMs! <= atMs;
    return !reportedNotRun;
  });
}

const atMostOneRun = check(
  "a filing ran more than once",
  "always",
  (state, world) =>
    state.filings
      .filter((filing) => runsOf(world, filing).length > 1)
      .map((filing) => `${filing.request}: ${runsOf(world, filing).length}`),
);

const noRunAfterNotRun = check(
  "reported as not run, but it ran",
  "always",
  (state, world) =>
    state.submissions.filter((submission) => {
      const { verdict, answeredAtMs } = submission.call;
      if (!verdict?.isErr() || verdict.error.kind !== "notRun") return false;
      const coversOneAttempt = verdict.error.earlierAttempts === "unknown";
      return runsOfSubmission(world, submission).some(({ ranAtMs }) => {
        const isEarlier = ranAtMs <= answeredAtMs! - TRANSIT_MS;
        if (isEarlier && !coversOneAttempt) return true;
        return !couldHaveRun(state, { besides: submission, atMs: ranAtMs });
      });
    }).map(describeSubmission),
);

const answerMatchesCall = check(
  "answered with another call's answer",
  "always",
  (state, world) =>
    state.submissions.filter((submission) => {
      const { verdict } = submission.call;
      if (!verdict?.isOk()) return false;
      const { registered } = JSON.parse(verdict.value.body);
      return registered !== keyOf(submission.filing) ||
        runsOfSubmission(world, submission).length === 0;
    }).map(describeSubmission),
);

const oneCallAnsweredPerKey = check(
  "two callers or two bodies were answered under one key",
  "always",
  (state) =>
    state.submissions.filter((submission) =>
      submission.call.verdict?.isOk() &&
      state.submissions.some((other) =>
        other.filing === submission.filing && other.call.verdict?.isOk() &&
        !isSameCall(submission, other)
      )
    ).map(describeSubmission),
);

const oneVerdictInTime = check(
  "no verdict in time, or more than one",
  "always",
  (state, world) => {
    const { everFrozen } = world.network;
    return state.submissions.filter(({ call }) => {
      if (call.extraVerdicts > 0) return true;
      if (call.broken || call.closed || everFrozen.has(call.vm)) return false;
      const dueAtMs = call.request.deadlineAtMs + LAST_VERDICT_MS;
      return (call.answeredAtMs ?? Date.now()) > dueAtMs;
    }).map(describeSubmission);
  },
);

const everyCallHasVerdict = check(
  "no verdict at all",
  "quiescence",
  (state) =>
    state.submissions.filter(({ call }) =>
      !call.verdict && !call.broken && !call.closed
    ).map(describeSubmission),
);

const noLateRun = check(
  "ran after every deadline given by its caller",
  "always",
  (state, world) =>
    state.submissions.filter((submission) =>
      runsOfSubmission(world, submission).some(({ ranAtMs }) =>
        state.submissions.every((other) =>
          !isSameCall(other, submission) ||
          other.call.request.deadlineAtMs + TRANSIT_MS < ranAtMs
        )
      )
    ).map(describeSubmission),
);

const noRunAfterCallerLeft = check(
  "sent after its only caller had disconnected",
  "always",
  (state, world) =>
    state.submissions.filter((submission) => {
      const sameCall = state.submissions.filter((other) =>
        isSameCall(other, submission)
      );
      const [only] = sameCall;
      if (sameCall.length > 1 || only?.call.closedAtMs === undefined) {
        return false;
      }
      const disconnectSeenAtMs = only.call.closedAtMs + TRANSIT_MS;
      return runsOfSubmission(world, submission).some(({ ranAtMs }) =>
        ranAtMs > disconnectSeenAtMs
      );
    }).map(describeSubmission),
);

const noClaimLeftOpen = check(
  "a claim is still held by a running VM",
  "quiescence",
  (_state, world) =>
    world.platform.scan(CALLS_TABLE, "", { limit: 10_000 })
      .map((row) => row.value as unknown as CallRow)
      .filter((row) =>
        row.state.kind === "claimed" && world.vms.has(row.claim.vm)
      )
      .map((row) => `${row.key} at ${row.claim.vm}`),
);

const answeredWithoutFaults = check(
  "refused although nothing failed",
  "quiescence",
  (state, world, model) => {
    const faultFree = !stateOf<FaultsState>(model, FAULTS).anyOccurred &&
      state.restartedServices.size === 0;
    if (!faultFree) return [];
    return state.filings.flatMap((filing) => {
      const sent = state.submissions.filter((one) => one.filing === filing);
      const [only] = sent;
      if (!only || sent.length > 1 || only.call.closed) return [];
      if (world.wasUnlisted(only.call)) return [];
      const { request, sentAtMs, verdict } = only.call;
      const isEasy = request.deadlineAtMs - sentAtMs >= EASY_DEADLINE_MS;
      return isEasy && !verdict?.isOk() ? [describeSubmission(only)] : [];
    });
  },
);

/** The checks of the calls domain. */
export const CALL_CHECKS: readonly Check[] = [
  atMostOneRun,
  noRunAfterNotRun,
  answerMatchesCall,
  oneCallAnsweredPerKey,
  oneVerdictInTime,
  everyCallHasVerdict,
  noLateRun,
  noRunAfterCallerLeft,
  noClaimLeftOpen,
  answeredWithoutFaults,
];
