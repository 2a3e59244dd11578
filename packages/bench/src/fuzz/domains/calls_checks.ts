/** What must hold for calls that may not be repeated. */
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

/** One way from a caller to a VM or from a VM to a service, rounded up. */
const TRANSIT_MS = 10;
const LAST_VERDICT_MS = 1_000;
/** Least deadline for which a call must be answered when nothing fails. */
const EASY_DEADLINE_MS = 1_000;

type Find = (part: CallsState, world: World, model: FuzzModel) => string[];

function check(name: string, when: Check["when"], find: Find): Check {
  return {
    name: `calls: ${name}`,
    when,
    findViolations: (model, world) =>
      find(stateOf<CallsState>(model, CALLS), world, model),
  };
}

function nameOf({ call, filing }: Submission): string {
  const { caller, body } = call.request;
  return `${filing.request} of ${caller} with ${body} at ${call.vm}`;
}

/** Sendings of the same call that could have run it at a time, besides a given one. */
function couldHaveRun(
  part: CallsState,
  options: { besides: Submission; atMs: number },
): boolean {
  const { besides, atMs } = options;
  return part.submissions.some((other) => {
    const { verdict, answeredAtMs, askedAtMs } = other.call;
    if (other === besides || !isSameCall(other, besides)) return false;
    if (askedAtMs > atMs) return false;
    const toldBefore = verdict?.isErr() && verdict.error.kind === "notRun" &&
      answeredAtMs! <= atMs;
    return !toldBefore;
  });
}

const atMostOneRun = check(
  "a filing ran more than once",
  "always",
  (part, world) =>
    part.filings
      .filter((filing) => runsOf(world, filing).length > 1)
      .map((filing) => `${filing.request}: ${runsOf(world, filing).length}`),
);

const notRunIsTrue = check(
  "told not run, but it ran",
  "always",
  (part, world) =>
    part.submissions.filter((submission) => {
      const { verdict, answeredAtMs } = submission.call;
      if (!verdict?.isErr() || verdict.error.kind !== "notRun") return false;
      const attemptOnly = verdict.error.earlierAttempts === "unknown";
      return runsOfSubmission(world, submission).some(({ ranAtMs }) => {
        const isEarlier = ranAtMs <= answeredAtMs! - TRANSIT_MS;
        if (isEarlier && !attemptOnly) return true;
        return !couldHaveRun(part, { besides: submission, atMs: ranAtMs });
      });
    }).map(nameOf),
);

const ownAnswer = check(
  "answered with something else's answer",
  "always",
  (part, world) =>
    part.submissions.filter((submission) => {
      const { verdict } = submission.call;
      if (!verdict?.isOk()) return false;
      const { registered } = JSON.parse(verdict.value.body);
      return registered !== keyOf(submission.filing) ||
        runsOfSubmission(world, submission).length === 0;
    }).map(nameOf),
);

const oneAnswered = check(
  "two callers or two bodies were answered under one key",
  "always",
  (part) =>
    part.submissions.filter((one) =>
      one.call.verdict?.isOk() &&
      part.submissions.some((other) =>
        other.filing === one.filing && other.call.verdict?.isOk() &&
        !isSameCall(one, other)
      )
    ).map(nameOf),
);

const oneVerdict = check(
  "no verdict in time, or more than one",
  "always",
  (part, world) => {
    const { everFrozen } = world.network;
    return part.submissions.filter(({ call }) => {
      if (call.extraVerdicts > 0) return true;
      if (call.broken || call.closed || everFrozen.has(call.vm)) return false;
      const dueAtMs = call.request.deadlineAtMs + LAST_VERDICT_MS;
      return (call.answeredAtMs ?? Date.now()) > dueAtMs;
    }).map(nameOf);
  },
);

const allVerdicts = check(
  "no verdict at all",
  "quiescence",
  (part) =>
    part.submissions.filter(({ call }) =>
      !call.verdict && !call.broken && !call.closed
    ).map(nameOf),
);

const noLateRun = check(
  "ran after every deadline that its caller gave",
  "always",
  (part, world) =>
    part.submissions.filter((submission) =>
      runsOfSubmission(world, submission).some(({ ranAtMs }) =>
        part.submissions.every((other) =>
          !isSameCall(other, submission) ||
          other.call.request.deadlineAtMs + TRANSIT_MS < ranAtMs
        )
      )
    ).map(nameOf),
);

const noRunForTheGone = check(
  "sent after its only caller had left",
  "always",
  (part, world) =>
    part.submissions.filter((submission) => {
      const sendings = part.submissions.filter((other) =>
        isSameCall(other, submission)
      );
      const [only] = sendings;
      if (sendings.length > 1 || only?.call.closedAtMs === undefined) {
        return false;
      }
      const knownAtMs = only.call.closedAtMs + TRANSIT_MS;
      return runsOfSubmission(world, submission).some(({ ranAtMs }) =>
        ranAtMs > knownAtMs
      );
    }).map(nameOf),
);

const noStandingClaim = check(
  "a claim stands in the name of a VM that lives",
  "quiescence",
  (_part, world) =>
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
  (part, world, model) => {
    const quiet = !stateOf<FaultsState>(model, FAULTS).anyOccurred &&
      part.everStopped.size === 0;
    if (!quiet) return [];
    return part.filings.flatMap((filing) => {
      const sent = part.submissions.filter((one) => one.filing === filing);
      const [only] = sent;
      if (!only || sent.length > 1 || only.call.closed) return [];
      if (world.wasUnlisted(only.call)) return [];
      const { request, askedAtMs, verdict } = only.call;
      const isEasy = request.deadlineAtMs - askedAtMs >= EASY_DEADLINE_MS;
      return isEasy && !verdict?.isOk() ? [nameOf(only)] : [];
    });
  },
);

/** What must hold for calls that may not be repeated. */
export const CALL_CHECKS: readonly Check[] = [
  atMostOneRun,
  notRunIsTrue,
  ownAnswer,
  oneAnswered,
  oneVerdict,
  allVerdicts,
  noLateRun,
  noRunForTheGone,
  noStandingClaim,
  answeredWithoutFaults,
];
