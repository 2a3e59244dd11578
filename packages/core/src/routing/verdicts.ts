/** Maps failed sends to the refusals that callers receive. */
import {
  mayHaveRun,
  type NotRun,
  notRun,
  type Refusal,
} from "../common/verdict.ts";
import type { SendFailure } from "./port.ts";

/** Retry delay after a failure that another endpoint may not have. */
const RETRY_SOON_MS = 100;

/** Retry delay while a software version has no endpoint: one that crashed is back after some seconds. */
const MISSING_VERSION_RETRY_MS = 2_000;

/** Retry delay while all endpoints are full: several times the duration of a short call. */
const FULL_RETRY_MS = 200;

/** Refusal of a stream that no endpoint of its software version can continue. */
export function refusalOfMissingVersion(): NotRun {
  return notRun("version-unavailable", {
    retryAfterMs: MISSING_VERSION_RETRY_MS,
  });
}

/** Refusal of a request that another VM sent on to one that has lost its links as well. */
export function refusalOfLinks(): NotRun {
  return notRun("no-links", { retryAfterMs: RETRY_SOON_MS });
}

/** Whether a failed send proves that the request did not run. */
export function provesNotRun(failure: SendFailure): boolean {
  return failure.kind === "notSent" || failure.kind === "notExecuted" ||
    failure.kind === "misdirected" || failure.kind === "restarted" ||
    failure.kind === "limited";
}

/** Refusal of a request that an earlier send may have run, whatever the last send returned. */
export function refusalOfEarlierSend(): Refusal {
  return refusalOfFailure({ kind: "lost", detail: "An earlier send failed" });
}

/** Refusal of a request whose endpoints have all used up their limits. */
export function refusalOfLimit(retryAfterMs: number): NotRun {
  return notRun("endpoint-limited", {
    retryAfterMs: Math.max(RETRY_SOON_MS, retryAfterMs),
  });
}

/** Refusal of a call that all endpoints would refuse for as long as it may wait. */
export function refusalOfFullEndpoints(): NotRun {
  return notRun("no-capacity", { retryAfterMs: FULL_RETRY_MS });
}

/** Refusal for the way in which the last send of a request failed. */
export function refusalOfFailure(failure: SendFailure): Refusal {
  switch (failure.kind) {
    case "notSent":
      return notRun("no-endpoint", { retryAfterMs: RETRY_SOON_MS });
    case "limited":
      return refusalOfLimit(failure.retryAfterMs);
    case "notExecuted":
    case "misdirected":
    case "restarted":
      return notRun("endpoint-refused", { retryAfterMs: RETRY_SOON_MS });
    case "lost":
      return mayHaveRun("connection-lost", failure.detail);
    case "timeout":
      return mayHaveRun("endpoint-timeout");
    case "aborted":
      return mayHaveRun("cancelled");
  }
}
