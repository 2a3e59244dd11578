/**
 * A small deployment on loopback: VMs as processes, started with the command and the
 * settings template of the deploy file, a stand-in of the store, and proxies before it.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { FakeStore } from "../../platform/src/testing/fake_store.ts";
import { FaultProxy } from "../../platform/src/testing/soak/fault_proxy.ts";

export const HOST = "office.example";

/** Bounds of the sheet of valmis-tilasto. */
export const BOUNDS = {
  retry_budget: 0.2,
  budget_slack: 54,
  budget_window_s: 10,
  grace_s: 8,
  contact_ms: 3_000,
  config_ms: 2_000,
  drain_ms: 2_000,
  ttl_max_s: 5,
} as const;

export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until a check holds; throws after `limitMs`, so that the case couldn't run. */
export async function until(
  what: string,
  check: () => boolean | Promise<boolean>,
  limitMs = 15_000,
): Promise<void> {
  const endsAtMs = performance.now() + limitMs;
  while (!await check()) {
    if (performance.now() > endsAtMs) throw new Error(`Not in time: ${what}`);
    await wait(50);
  }
}

/** Returns a free port of an address. */
async function freePort(host: string): Promise<number> {
  const server = createServer();
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

// Fills in `{{a.b}}`; lists are joined by commas, as DEPLOY says.
function render(template: string, fields: unknown): string {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_all, path: string) => {
    const value = path.split(".").reduce<unknown>(
      (parent, key) => (parent as Record<string, unknown> | undefined)?.[key],
      fields,
    );
    return Array.isArray(value) ? value.join(",") : String(value ?? "");
  });
}

function deployLine(name: string): string {
  const text = readFileSync("deploy/system.toml", "utf8");
  return new RegExp(`^${name} = "(.*)"$`, "m").exec(text)![1]!;
}

/** Addresses of a VM's interfaces. */
export interface VmAddresses {
  readonly front: string;
  readonly ready_addr: string;
  readonly control: string;
  readonly directory: string;
}

/** One VM, which can be killed and started again. */
export class Vm {
  readonly id: string;
  readonly listen: VmAddresses;
  readonly storeProxy: FaultProxy;
  startedAtMs = -Infinity;
  readyAtMs = -Infinity;
  #folder: string;
  #settings: string;
  #child: ChildProcess | undefined;

  constructor(options: {
    id: string;
    ip: string;
    listen: VmAddresses;
    seeds: readonly string[];
    storeProxy: FaultProxy;
    folder: string;
  }) {
    const { id, ip, listen, seeds, storeProxy, folder } = options;
    this.id = id;
    this.listen = listen;
    this.storeProxy = storeProxy;
    this.#folder = folder;
    this.#settings = join(folder, `${id}.ini`);
    writeFileSync(
      this.#settings,
      render(readFileSync(deployLine("template"), "utf8"), {
        node_name: id,
        ip,
        zone: "helsinki-a",
        region: "suomi-etela",
        listen,
        seeds,
        platform: { address: storeProxy.address },
        bounds: BOUNDS,
        limits: { memory_mb: 200, max_fds: 4_100 },
      }),
    );
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    const child = this.#child;
    return !!child && child.exitCode === null && child.signalCode === null;
  }

  start(): void {
    const [program = "", ...words] = deployLine("run").split(" ");
    const args = words.map((word, index) =>
      words[index - 1] === "--settings" ? this.#settings : word
    );
    const child = spawn(program === "node" ? process.execPath : program, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, HOME: process.env.HOME },
    });
    const log = createWriteStream(join(this.#folder, `${this.id}.log`), {
      flags: "a",
    });
    child.stdout!.pipe(log, { end: false });
    child.stderr!.pipe(log, { end: false });
    this.#child = child;
    this.startedAtMs = performance.now();
    this.readyAtMs = Infinity;
  }

  async awaitReady(): Promise<void> {
    await until(
      `${this.id} is ready`,
      async () =>
        (await get(this.listen.ready_addr, "/teaselvalve/ready")).status ===
          200,
    );
    this.readyAtMs = performance.now();
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child!.kill(signal);
  }

  async end(signal: NodeJS.Signals): Promise<void> {
    if (!this.isRunning) return;
    const exited = once(this.#child!, "exit");
    this.#child!.kill(signal);
    await exited;
  }

  /** Lines of its log that hold a text. */
  logLines(text: string): string[] {
    return readFileSync(join(this.#folder, `${this.id}.log`), "utf8")
      .split("\n").filter((line) => line.includes(text));
  }
}

/** Sends a small request and reads the answer; status 0 if there is none. */
export function get(
  address: string,
  path: string,
): Promise<{ status: number; body: string }> {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const outgoing = request({ host, port, path, agent: false });
    const fail = () => resolve({ status: 0, body: "" });
    outgoing.setTimeout(1_000, () => outgoing.destroy());
    outgoing.on("error", fail);
    outgoing.on("response", (incoming) => {
      let body = "";
      incoming.on("data", (bytes) => (body += bytes));
      incoming.on("error", fail);
      incoming.on(
        "end",
        () => resolve({ status: incoming.statusCode ?? 0, body }),
      );
    });
    outgoing.end();
  });
}

/** Owns the store, the proxies and the VMs, and ends all of them. */
export class Deployment {
  readonly store: FakeStore;
  readonly vms: Vm[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), "teaselvalve-review-"));
  /** Each run has addresses of its own, so that runs don't meet. */
  readonly #net = `127.${1 + process.pid % 250}.${
    1 + Math.floor(process.pid / 250) % 250
  }`;

  private constructor(store: FakeStore) {
    this.store = store;
  }

  static async start(): Promise<Deployment> {
    return new Deployment(await FakeStore.start());
  }

  /**
   * Starts VMs together, as the platform does, and waits until they are ready. A VM in
   * `views` reads the store at another address, which may name proxies to the replicas.
   */
  async startVms(
    count: number,
    { views = new Map() }: { views?: ReadonlyMap<number, string> } = {},
  ): Promise<void> {
    const listens: VmAddresses[] = [];
    for (let index = 0; index < count; index += 1) {
      const ip = `${this.#net}.${index + 1}`;
      const address = async () => `${ip}:${await freePort(ip)}`;
      listens.push({
        front: await address(),
        ready_addr: await address(),
        control: await address(),
        directory: await address(),
      });
    }
    const seeds = listens.slice(0, 3).map(({ control }) => control);
    for (const [index, listen] of listens.entries()) {
      this.vms.push(
        new Vm({
          id: `front-${index + 1}`,
          ip: `${this.#net}.${index + 1}`,
          listen,
          seeds,
          storeProxy: await FaultProxy.start(
            views.get(index) ?? this.store.address,
          ),
          folder: this.folder,
        }),
      );
    }
    for (const vm of this.vms) vm.start();
    await Promise.all(this.vms.map((vm) => vm.awaitReady()));
  }

  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.end("SIGKILL")));
    for (const { storeProxy } of this.vms) storeProxy.close();
    this.store.close();
    if (process.env.KEEP === "1") console.log(`logs: ${this.folder}`);
    else rmSync(this.folder, { recursive: true });
  }
}

/** Routes and services like those of valmis-tilasto. */
export const ENGINES = "tiivistaja";
export const PLAIN = "kirjaamo";

export function createConfig(
  version: number,
  { plainService = PLAIN, services = [PLAIN] } = {},
): unknown {
  const common = { host: HOST, priority: 1 };
  return {
    version,
    routes: [
      {
        ...common,
        name: "r-stream",
        prefix: "/stream/",
        kind: "streaming",
        service: ENGINES,
        timeout_ms: 14_000,
        target_latency_ms: 900,
        max_attempts: 2,
        affinity: true,
        resumable: true,
        gap_aim_ms: 300,
      },
      {
        ...common,
        name: "r-safe",
        prefix: "/safe/",
        kind: "safe",
        service: plainService,
        timeout_ms: 1_500,
        target_latency_ms: 193,
        max_attempts: 2,
      },
      {
        ...common,
        name: "r-unsafe",
        prefix: "/unsafe/",
        kind: "unsafe",
        service: plainService,
        timeout_ms: 1_500,
        target_latency_ms: 193,
        max_attempts: 2,
      },
    ],
    services: [
      {
        name: ENGINES,
        health_path: "/health",
        max_conns: 200,
        protocol: "h1",
        tls: false,
        engine: {
          slots: 24,
          kv_tokens: 33_466,
          token_kv_bytes: 163_840,
          link_mbps: 1_400_000,
          moves: true,
          backups: true,
          stride: 1,
          most: 12,
          kv_ttl_s: 0.5,
          reconfig_s: 6,
          pin_ms: 4_000,
          hold_ms: 2_000,
          models: [{ name: "m" }],
        },
      },
      ...services.map((name) => ({
        name,
        health_path: "/health",
        max_conns: 100,
        protocol: "h1",
        tls: false,
      })),
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
