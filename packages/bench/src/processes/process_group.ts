/** Starts the system's programs as processes and ends them. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { freePort } from "@teaselvalve/daemon/gateway";

/** Paths of the bundled programs. */
export const PROGRAMS = {
  daemon: bundlePath("daemon/dist/teaselvalved.js"),
  tool: bundlePath("cli/dist/teaselvalve.js"),
  fakes: bundlePath("fakes/dist/fakes.js"),
};

/** Options of {@link ProcessGroup.spawn}. */
export interface SpawnOptions {
  /** Name of the process within its group. */
  name: string;
  /** Path of the bundle. */
  program: string;
  args: string[];
  /** Arguments for Node itself. */
  nodeArgs?: readonly string[] | undefined;
  /** File to which stdout and stderr are appended. */
  logFile: string;
}

/** Starts processes and keeps them by name, to signal and end them. */
export class ProcessGroup {
  #children = new Map<string, ChildProcess>();

  /** Starts a program under a name. */
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

  /** Returns the process of a name; throws if there is none. */
  get(name: string): ChildProcess {
    const child = this.#children.get(name);
    if (!child) throw new Error(`No process is named ${name}`);
    return child;
  }

  /** Sends a signal to a process that still runs and waits for its exit. */
  async end(name: string, signal: NodeJS.Signals = "SIGTERM"): Promise<void> {
    const child = this.get(name);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }

  /** Kills all processes without waiting for their exit. */
  killAll(): void {
    for (const child of this.#children.values()) child.kill("SIGKILL");
  }

  /** Kills all processes and waits for their exit. */
  async endAll(): Promise<void> {
    await Promise.all(
      [...this.#children.keys()].map((name) => this.end(name, "SIGKILL")),
    );
  }
}

/** Picks ports that are free on loopback, and that no other process is given. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await freePort());
  return ports;
}

// Works from the source and from the bundle, which are at different depths.
function bundlePath(path: string): string {
  const [root] = fileURLToPath(import.meta.url).split("/packages/bench/");
  return `${root}/packages/${path}`;
}
