/** Reads how many connections wait in the kernel to be accepted. */
import { readFileSync } from "node:fs";

const LISTENING = "0A";

/**
 * Returns how many connections to a listener at `address` (`host:port`, IPv4) are
 * complete and not accepted; null where the system doesn't tell.
 */
export function countUnaccepted(address: string): number | null {
  try {
    const port = Number(address.split(":").at(-1)).toString(16).toUpperCase();
    const suffix = `:${port.padStart(4, "0")}`;
    // For a listener, the receive queue counts connections.
    for (const line of readFileSync("/proc/self/net/tcp", "utf8").split("\n")) {
      const [, local, , state, queues] = line.trim().split(/\s+/);
      if (state !== LISTENING || !local?.endsWith(suffix)) continue;
      return Number.parseInt(queues!.split(":")[1]!, 16);
    }
    return null;
  } catch {
    // Only Linux has this file.
    return null;
  }
}
