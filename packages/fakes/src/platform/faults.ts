/** Faults that tests inject into the platform. */
import { wait } from "@teaselvalve/core";

/** Active faults of the platform. */
export interface PlatformFaults {
  /** The table service and the object store execute nothing and don't respond. */
  down: boolean;
  /** Requests for the list of VMs get no response. */
  listDown: boolean;
  /** Delay before each call executes and, in the same process, again after it. */
  delayMs: number;
  /** Number of upcoming writes that take effect but whose reply is lost. */
  loseReplies: number;
}

/** Creates faults that are all off. */
export function noPlatformFaults(): PlatformFaults {
  return { down: false, listDown: false, delayMs: 0, loseReplies: 0 };
}

/** Executes a call under faults; never resolves if the service is down or the reply is lost. */
export async function executeWithFaults<T>(
  faults: PlatformFaults,
  call: { service: "store" | "list"; execute: () => T; writes: boolean },
): Promise<T> {
  if (faults.delayMs > 0) await wait(faults.delayMs);
  const down = call.service === "store" ? faults.down : faults.listDown;
  if (down) return await never();
  const answer = call.execute();
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
