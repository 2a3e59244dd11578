/** Starts the system's programs as processes and ends them. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** The bundled programs. */
export const PROGRAMS = {
  daemon: bundle("daemon/dist/teaselvalved.js"),
  tool: bundle("cli/dist/teaselvalve.js"),
  fakes: bundle("fakes/dist/fakes.js"),
};

/** Options of {@link ProcessGroup.spawn}. */
export interface SpawnOptions {
  name: string;
  program: string;
  args: string[];
  /** Arguments of Node itself. */
  nodeArgs?: readonly string[] | undefined;
  /** File that takes the output. */
  logFile: string;
}

/** Owns the processes that it started. */
export class ProcessGroup {
  #children = new Map<string, ChildProcess>();

  /** Starts a program. */
  spawn(options: SpawnOptions): ChildProcess {
    const { nodeArgs = [], program, args } = options;
    const child = spawn(process.execPath, [...nodeArgs, program, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(options.logFile, { flags: "a" });
    child.stdout!.pipe(log, { end: false });
    child.stderr!.pipe(log, { end: false });
    this.#children.set(options.name, child);
    return child;
  }

  /** Finds a process by the name that it was started under. */
  get(name: string): ChildProcess {
    const child = this.#children.get(name);
    if (!child) throw new Error(`No process ${name}`);
    return child;
  }

  /** Ends one process by a signal and waits for its exit. */
  async end(name: string, signal: NodeJS.Signals = "SIGTERM"): Promise<void> {
    const child = this.get(name);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }

  /** Ends all processes. */
  async endAll(): Promise<void> {
    await Promise.all(
      [...this.#children.keys()].map((name) => this.end(name, "SIGKILL")),
    );
  }
}

/** Finds ports that are free on loopback. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    ports.push((server.address() as AddressInfo).port);
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

// Holds for the source as well as for the bundle, which lie at different depths.
function bundle(path: string): string {
  const [root] = fileURLToPath(import.meta.url).split("/packages/bench/");
  return `${root}/packages/${path}`;
}
