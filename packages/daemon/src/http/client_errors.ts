/** Refusals that are written to a socket directly, without a request to answer. */
import { notRun, type Refusal } from "@teaselvalve/core";
import { refusalOfMemory } from "./exchange.ts";
import type { PacedConnection } from "./paced_connection.ts";
import { formatRawProblem } from "./problem.ts";

/** A refusal and the status that it is sent with. */
export interface RawProblem {
  readonly refusal: Refusal;
  readonly status: number;
}

/** Returns the refusal of a request whose head isn't parsed. */
export function problemForHead(
  reason: "no-memory" | "bare-line-feed",
): RawProblem {
  if (reason === "no-memory") {
    return { refusal: refusalOfMemory(), status: 503 };
  }
  const detail = "A line of the head ends without a carriage return";
  return { refusal: notRun("bad-request", { detail }), status: 400 };
}

/** Writes a refusal and closes the connection. */
export function endWithProblem(
  connection: PacedConnection,
  { refusal, status }: RawProblem,
): void {
  if (!connection.writable) return void connection.destroy();
  connection.write(formatRawProblem(refusal, { status }));
  connection.destroySoon();
}

/** Returns the refusal for an error that Node's HTTP parser reports. */
export function problemForClientError(error: Error): RawProblem {
  const { code } = error as { code?: string };
  if (code === "HPE_HEADER_OVERFLOW") {
    return { refusal: notRun("headers-too-large"), status: 431 };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return { refusal: notRun("request-timeout"), status: 408 };
  }
  return { refusal: notRun("bad-request"), status: 400 };
}
