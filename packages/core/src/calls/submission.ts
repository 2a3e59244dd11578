/** One connection's request for a call that may not be repeated. */
import type { Service } from "../configuration/types.ts";
import type { RequestKey } from "../common/ids.ts";
import type { Refusal } from "../common/verdict.ts";
import type { CallRequest, CallRow, CallWaiter } from "./types.ts";

/** A request with what was derived of it. */
export interface Submission {
  readonly call: CallRequest;
  readonly waiter: CallWaiter;
  /** Names the connection among all VMs. */
  readonly id: string;
  readonly key: RequestKey;
  readonly bodyDigest: CallRow["bodyDigest"];
  readonly service: Service;
  /** When the row may be deleted. */
  readonly expiresAtMs: number;
}

/** How a step ended: with a verdict, or with a reason to look at the row again. */
export type StepResult<T> =
  | {
    readonly kind: "answered";
    readonly answer: T;
    readonly replayed: boolean;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "again" };

/** Time left until the caller stops waiting. */
export function remainingMs(submission: Submission): number {
  return submission.call.deadlineAtMs - Date.now();
}

/** Waits for a promise until the caller stops waiting; undefined when that came first. */
export async function untilDeadline<T>(
  submission: Submission,
  awaited: Promise<T>,
): Promise<T | undefined> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(
      () => resolve(undefined),
      Math.max(0, remainingMs(submission)),
    );
  });
  const first = await Promise.race([awaited, late]);
  clearTimeout(timer);
  return first;
}
