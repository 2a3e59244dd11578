/** Statuses of responses that other processes send. */

const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Whether a status has one of the classes that HTTP defines. The parser takes any three
 * digits; a response with another status is a failure of the process that sent it.
 */
export function isHttpStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
