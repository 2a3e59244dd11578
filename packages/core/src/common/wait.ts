/** Waits by the runtime's clock. */

/** Resolves after a time. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
