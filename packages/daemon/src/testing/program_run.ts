/** Runs a built program and collects what it writes, for tests of its start and end. */
import { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import process from "node:process";

/** Options of {@link ProgramRun}. */
export interface ProgramRunOptions {
  /** Path of the built program. */
  readonly program: string;
  readonly args: readonly string[];
  /** Arguments of Node, such as a limit of its heap. */
  readonly nodeArguments?: readonly string[];
  /** Limit of open file descriptors; that of the test by default. */
  readonly descriptors?: number;
}

/** The arguments of Node in the deploy file. */
export function deployedArguments(): string[] {
  const deploy = readFileSync("deploy/system.toml", "utf8");
  return deploy.match(/--max-[\w-]+=\d+/g) ?? [];
}

/** A program that runs, or has run. */
export class ProgramRun {
  readonly child: ChildProcess;
  #output = "";
  #exited: Promise<unknown[]>;
  #closed: Promise<unknown[]>;

  constructor(options: ProgramRunOptions) {
    const { program, args, nodeArguments = [], descriptors } = options;
    const command = [process.execPath, ...nodeArguments, program, ...args];
    const limit = descriptors ? `ulimit -n ${descriptors}; ` : "";
    this.child = spawn("sh", ["-c", `${limit}exec "$0" "$@"`, ...command], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const collect = (piece: Buffer) => void (this.#output += piece);
    this.child.stdout!.on("data", collect);
    this.child.stderr!.on("data", collect);
    this.#exited = once(this.child, "exit");
    this.#closed = once(this.child, "close");
  }

  /** Whole lines of both outputs so far. */
  get lines(): string[] {
    return this.#output.split("\n").filter(Boolean);
  }

  /** Whether the program hasn't ended yet. */
  get running(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Returns the lines of an event. */
  linesOf(event: string): string[] {
    return this.lines.filter((line) => line.includes(` event=${event} `));
  }

  /** Waits for the end and returns its code, or the signal that ended the program. */
  async ended(): Promise<number | string> {
    await this.#closed;
    return await this.exited();
  }

  /** As {@link ended}, without waiting for the rest of the output. */
  async exited(): Promise<number | string> {
    const [code, signal] = await this.#exited;
    return (code ?? signal) as number | string;
  }

  /** Kills the program if it still runs, and waits for its end. */
  async kill(): Promise<void> {
    this.child.kill("SIGKILL");
    this.child.stdout!.resume();
    await this.#exited;
  }
}
