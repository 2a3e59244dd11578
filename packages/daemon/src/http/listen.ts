/** Makes a server listen, and handles its errors from then on. */
import type { Server } from "node:net";
import { type Observer, wait } from "@teaselvalve/core";

/** Below the limit for the start of a part, so that the reason is known. */
const PORT_WAIT_MS = 9_500;
const RETRY_INTERVAL_MS = 100;
const ERROR_LOG_INTERVAL_MS = 5_000;
/** Errors that end when another process or connection releases the port or address. */
const TEMPORARY_CODES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);

/** Options of {@link listenWhenFree}. */
export interface ListenOptions {
  /** Name of the interface. */
  readonly name: string;
  /** Address to listen on, as `host:port`. */
  readonly address: string;
  readonly backlog: number;
  readonly observer: Observer;
  /** True once the interface need not listen any more. */
  readonly stopped: () => boolean;
}

/**
 * Listens once the port is free. Rejects with the server's error if that takes longer
 * than about ten seconds, and at once if waiting can't help.
 */
export async function listenWhenFree(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  const { name, address, observer } = options;
  const startedMs = performance.now();
  const waitedMs = () => Math.round(performance.now() - startedMs);
  let waiting = false;
  for (;;) {
    const error = await tryToListen(server, options);
    if (!error) break;
    const { code } = error;
    if (!TEMPORARY_CODES.has(code) || waitedMs() > PORT_WAIT_MS) throw error;
    if (!waiting) {
      waiting = true;
      observer.log({
        event: "port-awaited",
        level: "warn",
        interface: name,
        address,
        code,
      });
    }
    await wait(RETRY_INTERVAL_MS);
    if (options.stopped()) throw error;
  }
  ownErrors(server, options);
  if (!waiting) return;
  observer.log({
    event: "port-obtained",
    interface: name,
    address,
    waitedMs: waitedMs(),
  });
}

function tryToListen(
  server: Server,
  { address, backlog }: ListenOptions,
): Promise<NodeJS.ErrnoException | null> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const onError = (error: Error) => {
      server.off("listening", onListening);
      resolve(error);
    };
    const onListening = () => {
      server.off("error", onError);
      resolve(null);
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen({ port, host, backlog });
  });
}

// An accept that fails, for example for lack of a descriptor, is tried again by Node.
function ownErrors(server: Server, { name, observer }: ListenOptions): void {
  let loggedAtMs = -Infinity;
  let errors = 0;
  server.on("error", (error: NodeJS.ErrnoException) => {
    const code = error.code ?? "unknown";
    observer.count("listener_errors", `${name}-${code}`);
    errors += 1;
    if (performance.now() - loggedAtMs < ERROR_LOG_INTERVAL_MS) return;
    loggedAtMs = performance.now();
    observer.log({
      event: "listener-error",
      level: "error",
      interface: name,
      code,
      errors,
      message: error.message,
    });
  });
}

/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): [string, number] {
  const colonAt = address.lastIndexOf(":");
  return [address.slice(0, colonAt), Number(address.slice(colonAt + 1))];
}
