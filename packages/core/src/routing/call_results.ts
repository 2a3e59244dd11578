/** Results of single sends of a call. */
import type { Result } from "neverthrow";
import type { EndpointAnswer, SendFailure } from "./port.ts";

const FIRST_SERVER_ERROR = 500;

/** The whole answer, or how the send failed. */
export type SendResult = Result<EndpointAnswer, SendFailure>;

/** Whether nothing was sent because of the endpoint's limit. */
export function isLimited(result: SendResult): boolean {
  return result.isErr() && result.error.kind === "limited";
}

/** Whether the answer is passed on without another try. */
export function isFinal(result: SendResult): boolean {
  return result.isOk() && result.value.status < FIRST_SERVER_ERROR;
}
