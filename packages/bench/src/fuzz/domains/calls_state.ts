/** What the calls domain knows of a run. */
import { type CallRow, CALLS_TABLE } from "@teaselvalve/core";
import type { ServiceRun } from "@teaselvalve/fakes";
import type { CallerCall } from "../../world/caller.ts";
import type { World } from "../../world/world.ts";

/** The domain's name. */
export const CALLS = "calls";

/** A filing as its caller first meant it. */
export interface Filing {
  readonly request: string;
  readonly caller: string;
  readonly body: string;
}

/** One sending of a filing, or of something else under its key. */
export interface Submission {
  readonly call: CallerCall;
  readonly filing: Filing;
}

/** What the domain knows of a run. */
export interface CallsState {
  readonly filings: Filing[];
  readonly submissions: Submission[];
  /** Plain services that are down now. */
  readonly stoppedServices: Set<string>;
  /** Plain services that were down at any time. */
  readonly everStopped: Set<string>;
}

/** Names a filing's key. */
export function keyOf(filing: Filing): string {
  return `lenders/${filing.request}`;
}

/** All that the services ran under a filing's key. */
export function runsOf(world: World, filing: Filing): ServiceRun[] {
  const key = keyOf(filing);
  return [...world.services.values()].flatMap((service) =>
    service.runs.filter((run) => run.key === key)
  );
}

/** The row of a filing. */
export function rowOf(world: World, filing: Filing): CallRow | undefined {
  const row = world.platform.read(CALLS_TABLE, keyOf(filing));
  return row?.value as unknown as CallRow | undefined;
}

/** The runs that a submission can be told of: with its body, under its caller's claim. */
export function runsOfSubmission(
  world: World,
  submission: Submission,
): ServiceRun[] {
  const { request } = submission.call;
  const row = rowOf(world, submission.filing);
  if (row && row.caller !== request.caller) return [];
  return runsOf(world, submission.filing).filter((run) =>
    run.body === request.body
  );
}

/** Whether two submissions are sendings of the same call. */
export function isSameCall(a: Submission, b: Submission): boolean {
  return a.filing === b.filing && a.call.request.body === b.call.request.body &&
    a.call.request.caller === b.call.request.caller;
}
