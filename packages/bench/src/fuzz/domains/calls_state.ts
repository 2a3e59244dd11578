/** State of the calls domain in one run. */
import { type CallRow, CALLS_TABLE } from "@teaselvalve/core";
import type { ServiceRun } from "@teaselvalve/fakes";
import type { CallerCall } from "../../world/caller.ts";
import type { World } from "../../world/world.ts";

/** Name of the calls domain. */
export const CALLS = "calls";

/** A filing with the caller and body of its first submission. */
export interface Filing {
  readonly request: string;
  readonly caller: string;
  readonly body: string;
}

/** One call sent with a filing's key, perhaps with another body or by another caller. */
export interface Submission {
  readonly call: CallerCall;
  readonly filing: Filing;
}

/** Filings, submissions and service outages of one run. */
export interface CallsState {
  readonly filings: Filing[];
  readonly submissions: Submission[];
  /** Plain services that are currently down. */
  readonly stoppedServices: Set<string>;
  /** Plain services that were down and have been started again. */
  readonly restartedServices: Set<string>;
}

/** Returns a filing's key: workspace and request id. */
export function keyOf(filing: Filing): string {
  return `lenders/${filing.request}`;
}

/** Returns every run by any service under a filing's key. */
export function runsOf(world: World, filing: Filing): ServiceRun[] {
  const key = keyOf(filing);
  return [...world.services.values()].flatMap((service) =>
    service.runs.filter((run) => run.key === key)
  );
}

/** Returns a filing's row in the calls table, if it has one. */
export function rowOf(world: World, filing: Filing): CallRow | undefined {
  const row = world.platform.read(CALLS_TABLE, keyOf(filing));
  return row?.value as unknown as CallRow | undefined;
}

/** Returns the runs that a submission's answer may report: those with its body, or none if another caller owns the filing's row. */
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

/** Whether two submissions have the same filing, body and caller. */
export function isSameCall(a: Submission, b: Submission): boolean {
  return a.filing === b.filing && a.call.request.body === b.call.request.body &&
    a.call.request.caller === b.call.request.caller;
}
