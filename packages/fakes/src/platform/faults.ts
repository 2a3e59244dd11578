/** Faults of the platform as its clients see them, for fakes in process and as processes. */
import { err, ok, type Result } from "neverthrow";
import type { StoreFailure } from "@teaselvalve/core";

/** Switches that tests turn. */
export interface PlatformFaults {
  /** Answers nothing and takes nothing. */
  down: boolean;
  /** Added to every call. */
  delayMs: number;
  /** How many of the next writes take effect but lose their reply. */
  loseReplies: number;
}

/** A platform without faults. */
export function noPlatformFaults(): PlatformFaults {
  return { down: false, delayMs: 0, loseReplies: 0 };
}

/** Options of {@link callWithFaults}. */
export interface FaultyCallOptions {
  faults: PlatformFaults;
  writes: boolean;
  latencyMs: number;
  timeoutMs: number;
}

/** Carries a call out through the faults; the effect takes place half-way. */
export async function callWithFaults<T>(
  effect: () => T,
  options: FaultyCallOptions,
): Promise<Result<T, StoreFailure>> {
  const { faults, latencyMs, timeoutMs } = options;
  const oneWayMs = (latencyMs + faults.delayMs) / 2;
  if (oneWayMs >= timeoutMs) {
    void wait(oneWayMs).then(() => faults.down || effect());
    return await failAfter(timeoutMs);
  }
  await wait(oneWayMs);
  if (faults.down) return await failAfter(timeoutMs - oneWayMs);
  const answer = effect();
  if (options.writes && faults.loseReplies > 0) {
    faults.loseReplies -= 1;
    return await failAfter(timeoutMs - oneWayMs);
  }
  if (oneWayMs * 2 >= timeoutMs) return await failAfter(timeoutMs - oneWayMs);
  await wait(oneWayMs);
  return ok(answer);
}

async function failAfter<T>(ms: number): Promise<Result<T, StoreFailure>> {
  await wait(ms);
  return err({ kind: "unknown", detail: "No answer in time" });
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
