/** A small deployment for the cases: VMs as processes by the deploy file, stand-ins on loopback. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  type WriteStream,
} from "node:fs";
import { type Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import { FakeStore } from "../../platform/src/testing/fake_store.ts";
import { SilentProxy } from "./silent_proxy.ts";

export { wait };

/** False for the run without the disruption. */
export const TROUBLE = process.env["TROUBLE"] !== "0";

const RULE_HELD = 0;
const RULE_BROKEN = 1;
const NOT_RUN = 2;
const RUN_LIMIT_MS = 110_000;
const READY_LIMIT_MS = 20_000;
const RESTART_DELAY_MS = 1_000;

/**
 * After such a gap clients abandon a stream: the longest of two seconds, four times the
 * objective (900 ms) and eight times the pause that the sheet allows (300 ms).
 */
export const ABANDON_MS = Math.max(2_000, 4 * 900, 8 * 300);

/** Bounds of the small deployments' sheets. */
export const BOUNDS = {
  contactMs: 3_000,
  configMs: 2_000,
  drainMs: 2_000,
  graceS: 8,
  retryBudget: 0.2,
  budgetSlack: 54,
  ttlMaxS: 5,
  memoryMb: 200,
  descriptors: 4_100,
};

/** What a client received. `status` is null if no answer began. */
export interface Received {
  status: number | null;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Whether the answer looks complete. */
  complete: boolean;
  tookMs: number;
  /** Whether the client gave it up after a gap. */
  abandoned: boolean;
  /** Whether it was sent on a connection that had served another request. */
  onKeptConnection: boolean;
}

/** One VM: its process, and its own way to the store. */
export interface Vm {
  readonly id: string;
  readonly front: string;
  readonly ready: string;
  readonly storeProxy: SilentProxy;
  readonly settingsPath: string;
  child: ChildProcess;
  /** When its process became ready. */
  readyAtMs: number;
  /** How its processes ended by themselves. */
  readonly ownEnds: string[];
}

/** Writes `record.txt`, with the time since the start of the case. */
export class CaseRecord {
  #out: WriteStream;
  #startedMs = performance.now();

  constructor(folder: string) {
    this.#out = createWriteStream(join(folder, "record.txt"));
  }

  note(text: string): void {
    const atS = (performance.now() - this.#startedMs) / 1_000;
    this.#out.write(`${atS.toFixed(3)} ${text}\n`);
  }

  async end(): Promise<void> {
    this.#out.end();
    await once(this.#out, "finish");
  }
}

/** Owns the store and the VMs of a case. */
export class Deployment {
  readonly vms: Vm[] = [];
  readonly store: FakeStore;
  readonly folder = mkdtempSync(join(tmpdir(), "teaselvalve-review-"));
  #record: CaseRecord;
  #isEnding = false;

  private constructor(store: FakeStore, record: CaseRecord) {
    this.store = store;
    this.#record = record;
  }

  static async start(record: CaseRecord): Promise<Deployment> {
    return new Deployment(await FakeStore.start(), record);
  }

  /** Starts VMs that know up to three seeds, and waits until all are ready. */
  async addVms(count: number): Promise<void> {
    const ports = await freePorts(count * 5);
    const settings: { id: string; path: string; listen: string[] }[] = [];
    const seeds = Array.from(
      { length: Math.min(3, count) },
      (_, index) => `127.0.0.1:${ports[index * 5 + 3]}`,
    );
    const proxies: SilentProxy[] = [];
    for (let index = 0; index < count; index += 1) {
      const own = ports.slice(index * 5, index * 5 + 5);
      const listen = own.map((port) => `127.0.0.1:${port}`);
      const id = `vm-${index + 1}`;
      const storeProxy = await SilentProxy.start(this.store.address);
      proxies.push(storeProxy);
      const path = join(this.folder, `${id}.ini`);
      writeFileSync(path, fillTemplate({ id, listen, seeds, storeProxy }));
      settings.push({ id, path, listen });
    }
    for (const [index, { id, path, listen }] of settings.entries()) {
      const vm: Vm = {
        id,
        front: listen[0]!,
        ready: listen[1]!,
        storeProxy: proxies[index]!,
        settingsPath: path,
        child: this.#spawn(id, path),
        readyAtMs: Infinity,
        ownEnds: [],
      };
      this.#watch(vm);
      this.vms.push(vm);
    }
    await Promise.all(this.vms.map((vm) => awaitReady(vm)));
    this.#record.note(`${count} VMs are ready`);
  }

  async stop(): Promise<void> {
    this.#isEnding = true;
    for (const { child, storeProxy } of this.vms) {
      const isRunning = child.exitCode === null && child.signalCode === null;
      if (isRunning) {
        const exited = once(child, "exit");
        child.kill("SIGKILL");
        await exited;
      }
      storeProxy.close();
    }
    this.store.close();
    if (!process.env["KEEP"]) rmSync(this.folder, { recursive: true });
  }

  // The platform starts a process that has ended again.
  #watch(vm: Vm): void {
    vm.child.once("exit", (code, signal) => {
      vm.readyAtMs = Infinity;
      if (this.#isEnding) return;
      const end = `code ${code}, signal ${signal}`;
      vm.ownEnds.push(end);
      this.#record.note(`${vm.id} ended by itself: ${end}`);
      setTimeout(() => {
        if (this.#isEnding) return;
        vm.child = this.#spawn(vm.id, vm.settingsPath);
        this.#record.note(`${vm.id} is started again`);
        this.#watch(vm);
        awaitReady(vm).catch((error) => this.#record.note(String(error)));
      }, RESTART_DELAY_MS);
    });
  }

  // The command of the deploy file, with the settings at another place.
  #spawn(id: string, settingsPath: string): ChildProcess {
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const [, run = ""] = /^run = "(.*)"$/m.exec(deploy) ?? [];
    const [program, ...words] = run.split(" ").map((word) =>
      word === "/etc/teaselvalve/settings.toml" ? settingsPath : word
    );
    const { PATH = "", HOME = "", LANG = "" } = process.env;
    const child = spawn(program!, words, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH, HOME, LANG },
    });
    const log = createWriteStream(join(this.folder, `${id}.log`), {
      flags: "a",
    });
    child.stdout!.pipe(log, { end: false });
    child.stderr!.pipe(log, { end: false });
    child.stderr!.on("data", (bytes: Uint8Array) => {
      const text = new TextDecoder().decode(bytes);
      const fatal = text.split("\n").find((line) => /FATAL|Error/.test(line));
      if (fatal) this.#record.note(`${id} wrote: ${fatal.slice(0, 160)}`);
    });
    return child;
  }
}

// The settings that the platform would render from the deploy file's template.
function fillTemplate(
  { id, listen, seeds, storeProxy }: {
    id: string;
    listen: readonly string[];
    seeds: readonly string[];
    storeProxy: SilentProxy;
  },
): string {
  const [front, ready, directory, control, metrics] = listen;
  const values: { [name: string]: string | number } = {
    "node_name": id,
    "zone": "helsinki-a",
    "region": "suomi-etela",
    "listen.front": front!,
    "listen.ready_addr": ready!,
    "listen.directory": directory!,
    "listen.control": control!,
    "seeds": seeds.join(","),
    "platform.address": storeProxy.address,
    "bounds.retry_budget": BOUNDS.retryBudget,
    "bounds.budget_slack": BOUNDS.budgetSlack,
    "bounds.grace_s": BOUNDS.graceS,
    "bounds.contact_ms": BOUNDS.contactMs,
    "bounds.config_ms": BOUNDS.configMs,
    "bounds.drain_ms": BOUNDS.drainMs,
    "bounds.ttl_max_s": BOUNDS.ttlMaxS,
    "limits.memory_mb": BOUNDS.memoryMb,
    "limits.max_fds": BOUNDS.descriptors,
  };
  return readFileSync("deploy/settings.ini.template", "utf8")
    // All VMs of the case share one address, so that the fixed port would collide.
    .replace("{{ip}}:9464", metrics!)
    .replace(/{{([\w.]+)}}/g, (_, name: string) => {
      if (!(name in values)) throw new Error(`No value for ${name}`);
      return String(values[name]);
    });
}

// Below the range from which the system takes the ports of outgoing connections, which
// could otherwise take one before its VM listens on it.
async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = 12_000 + Math.floor(18_000 * Math.random());
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    server.close();
    await once(server, "close");
    ports.add(port);
  }
  return [...ports];
}

/** Options of {@link send}. */
export interface SendOptions {
  id: string;
  path: string;
  method?: string;
  body?: string;
  deadlineMs?: number;
  headers?: { [name: string]: string };
  timeoutMs?: number;
  /** A client abandons a stream after a gap as long as this, also before its first event. */
  gapMs?: number;
  /** Keeps its connections open; by default each request has its own. */
  agent?: Agent;
}

/** Sends a request as a client does, on a new connection, and reads the whole answer. */
export function send(address: string, options: SendOptions): Promise<Received> {
  const [host, port] = address.split(":");
  const startedMs = performance.now();
  const received: Received = {
    status: null,
    headers: {},
    body: "",
    complete: false,
    tookMs: 0,
    abandoned: false,
    onKeptConnection: false,
  };
  return new Promise((resolve) => {
    const finish = () => {
      received.tookMs = Math.round(performance.now() - startedMs);
      clearTimeout(timer);
      clearTimeout(gapTimer);
      received.onKeptConnection = outgoing.reusedSocket;
      resolve(received);
    };
    const outgoing = httpRequest({
      host,
      port,
      agent: options.agent ?? false,
      method: options.method ?? "POST",
      path: options.path,
      headers: {
        host: "office.example",
        "x-request-id": options.id,
        "x-deadline-ms": String(options.deadlineMs ?? 1_500),
        ...options.headers,
      },
    });
    const timer = setTimeout(
      () => outgoing.destroy(),
      options.timeoutMs ?? (options.deadlineMs ?? 1_500) + 500,
    );
    let gapTimer: ReturnType<typeof setTimeout> | undefined;
    const awaitEvent = () => {
      clearTimeout(gapTimer);
      if (options.gapMs === undefined) return;
      gapTimer = setTimeout(() => {
        received.abandoned = true;
        outgoing.destroy();
      }, options.gapMs);
    };
    awaitEvent();
    outgoing.on("response", (incoming) => {
      received.status = incoming.statusCode ?? null;
      received.headers = incoming.headers;
      incoming.setEncoding("utf8");
      incoming.on("data", (text: string) => {
        received.body += text;
        awaitEvent();
      });
      incoming.on("error", () => {});
      incoming.on("close", () => {
        received.complete = incoming.complete;
        finish();
      });
    });
    outgoing.on("error", finish);
    outgoing.end(options.body ?? "{}");
  });
}

async function awaitReady(vm: Vm): Promise<void> {
  const endsAtMs = performance.now() + READY_LIMIT_MS;
  while (performance.now() < endsAtMs) {
    const { status } = await send(vm.ready, {
      id: "ready",
      method: "GET",
      path: "/teaselvalve/ready",
      body: "",
    });
    if (status === 200) {
      vm.readyAtMs = performance.now();
      return;
    }
    await wait(50);
  }
  throw new Error(`${vm.id} did not become ready`);
}

/** What a case gets. */
export interface CaseTools {
  readonly record: CaseRecord;
  readonly deployment: Deployment;
}

/**
 * Runs a case in the folder that its first argument names, and exits with 1 if it
 * returns what broke the rule, 0 for null, and 2 if it couldn't run.
 */
export async function runCase(
  play: (tools: CaseTools) => Promise<string | null>,
): Promise<void> {
  const record = new CaseRecord(process.argv[2] ?? ".");
  let code = NOT_RUN;
  const deployment = await Deployment.start(record);
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => {
      void deployment.stop().finally(() => process.exit(NOT_RUN));
    });
  }
  try {
    const limit = wait(RUN_LIMIT_MS).then(() => {
      throw new Error("The case took too long");
    });
    const broken = await Promise.race([play({ record, deployment }), limit]);
    code = broken === null ? RULE_HELD : RULE_BROKEN;
    record.note(broken === null ? "rule held" : `rule broken: ${broken}`);
    process.stdout.write(`${broken ?? "rule held"}\n`);
  } catch (error) {
    record.note(`could not run: ${error}`);
    process.stdout.write(`could not run: ${error}\n`);
  } finally {
    await deployment.stop();
    await record.end();
  }
  process.exit(code);
}
