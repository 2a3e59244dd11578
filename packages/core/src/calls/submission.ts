/** A caller's request for a call that must run at most once. */
import type { Service } from "../configuration/types.ts";
import type { RequestKey } from "../common/ids.ts";
import type { Refusal } from "../common/verdict.ts";
import type { CallerConnection, CallRequest, CallRow } from "./types.ts";

/** A call request and the values derived from it. */
export interface Submission {
  readonly call: CallRequest;
  readonly connection: CallerConnection;
  /** Identifies this submission across all VMs, so that a newer one supersedes it. */
  readonly id: string;
  readonly key: RequestKey;
  readonly bodyDigest: CallRow["bodyDigest"];
  readonly service: Service;
  /** When the row may be deleted, in ms of `Date.now`. */
  readonly expiresAtMs: number;
}

/**
 * Result of a step: an answer, a refusal, or `again` if the row has to be
 * examined once more.
 */
export type StepResult<T> =
  | {
    readonly kind: "answered";
    readonly answer: T;
    readonly replayed: boolean;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "again" };

/** Time left until the caller's deadline. */
export function remainingMs(submission: Submission): number {
  return submission.call.deadlineAtMs - Date.now();
}

/**
 * Waits for a promise until the caller's deadline; undefined if the deadline
 * came first.
 */
export async function untilDeadline<T>(
  submission: Submission,
  awaited: Promise<T>,
): Promise<T | undefined> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(
      () => resolve(undefined),
      Math.max(0, remainingMs(submission)),
    );
  });
  const result = await Promise.race([awaited, timeout]);
  clearTimeout(timer);
  return result;
}
