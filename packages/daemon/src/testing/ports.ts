/** Free TCP ports for tests. */
import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** Below the ephemeral ports, which connections of other tests may take at any time. */
const FIRST_PORT = 5_000;
const PORTS_PER_RANGE = 120;
const RANGES = 120;
/** Ports in these ranges that the Fetch standard blocks. */
const BLOCKED_PORTS: ReadonlySet<number> = new Set([
  5_060,
  5_061,
  6_000,
  6_566,
  6_665,
  6_666,
  6_667,
  6_668,
  6_669,
  6_679,
  6_697,
  10_080,
]);

/** Ranges that a process keeps; a test file needs fewer ports than these have. */
const MAX_CLAIMS = 3;

/** What claims the latest ranges of this process; the oldest comes first. */
const claims: Server[] = [];
let nextRange = Math.floor(Math.random() * RANGES);
let claiming: Promise<void> | undefined;
let nextPort = 0;
let endPort = 0;

/**
 * Returns a port that is free on loopback, that no other process is given while this one
 * lives, and that no other call returned recently.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    while (nextPort >= endPort) {
      claiming ??= claimRange().finally(() => (claiming = undefined));
      await claiming;
    }
    const port = nextPort;
    nextPort += 1;
    if (!BLOCKED_PORTS.has(port) && await isFree(port)) return port;
  }
}

// A process claims a range by listening on its first port.
async function claimRange(): Promise<void> {
  for (;;) {
    const firstPort = FIRST_PORT + nextRange * PORTS_PER_RANGE;
    nextRange = (nextRange + 1) % RANGES;
    const claim = createServer().unref();
    if (!await listens(claim, firstPort)) continue;
    claims.push(claim);
    if (claims.length > MAX_CLAIMS) claims.shift()!.close();
    nextPort = firstPort + 1;
    endPort = firstPort + PORTS_PER_RANGE;
    return;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  if (!await listens(server, port)) return false;
  server.close();
  await once(server, "close");
  return true;
}

async function listens(
  server: Server,
  port: number,
): Promise<boolean> {
  server.listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
    return true;
  } catch {
    // The port is in use.
    return false;
  }
}
