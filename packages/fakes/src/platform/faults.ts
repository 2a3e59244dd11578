/** Switches that tests turn to make the platform fail. */
import { wait } from "@teaselvalve/core";

/** Faults of the platform as its clients see them. */
export interface PlatformFaults {
  /** The table service and the object store take nothing and answer nothing. */
  down: boolean;
  /** The list of VMs answers nothing. */
  listDown: boolean;
  /** Added before and again after the effect of every call. */
  delayMs: number;
  /** How many of the next writes take effect but lose their reply. */
  loseReplies: number;
}

/** A platform without faults. */
export function noPlatformFaults(): PlatformFaults {
  return { down: false, listDown: false, delayMs: 0, loseReplies: 0 };
}

/** Carries a call out through the faults; an answer that is lost never comes. */
export async function executeWithFaults<T>(
  faults: PlatformFaults,
  call: { service: "store" | "list"; effect: () => T; writes: boolean },
): Promise<T> {
  if (faults.delayMs > 0) await wait(faults.delayMs);
  const down = call.service === "store" ? faults.down : faults.listDown;
  if (down) return await never();
  const answer = call.effect();
  if (call.writes && faults.loseReplies > 0) {
    faults.loseReplies -= 1;
    return await never();
  }
  if (faults.delayMs > 0) await wait(faults.delayMs);
  return answer;
}

function never<T>(): Promise<T> {
  return new Promise(() => {});
}
