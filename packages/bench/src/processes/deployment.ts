/** A small deployment on loopback: real daemon processes and the fakes they talk to. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { join } from "node:path";
import { createHash } from "node:crypto";
import { request } from "undici";
import { freePorts, ProcessGroup, PROGRAMS } from "./process_group.ts";

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  /** Number of VMs. */
  vms?: number;
  prefills?: number;
  decodes?: number;
  /** Duration of a call to the plain service. */
  serviceDurationMs?: number;
  /** Node arguments of the daemons. */
  nodeArgs?: readonly string[];
}

/** One entry VM of a deployment; its listeners are given as `host:port`. */
export interface DeployedVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
  readonly settingsFile: string;
}

/** A running deployment; addresses are given as `host:port`. */
export interface Deployment {
  readonly processes: ProcessGroup;
  /** Temporary directory of settings, secrets and logs (`<process name>.log`). */
  readonly directory: string;
  readonly vms: readonly DeployedVm[];
  /** Address of the fake platform. */
  readonly platform: string;
  /** Address of the plain service. */
  readonly service: string;
  readonly engines: readonly { id: string; kind: string; address: string }[];
  readonly adminTokenFile: string;
  readonly callerToken: string;
  /** Kills all processes and removes the directory. */
  close(): Promise<void>;
}

/** The model that the engines of a deployment serve. */
export const MODEL = "tiivistaja";
/** The plain service of a deployment. */
export const SERVICE = "kirjaamo";

const DATA_CENTRES = ["helsinki-a", "espoo-b", "vantaa-c"];
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
/** Daemons start in batches, since all at once would starve each other of processor time. */
const START_BATCH_SIZE = 9;

/**
 * Starts the fakes and the daemons and waits until they answer. The deployment has no
 * configuration yet, so its VMs are live but not ready.
 */
export async function startDeployment(
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const { vms: vmCount = 3, prefills = 2, decodes = 3 } = options;
  const directory = mkdtempSync(join(tmpdir(), "teaselvalve-"));
  const processes = new ProcessGroup();
  // Also cleans up if the program is interrupted before the deployment is running.
  const cleanUp = () => {
    processes.killAll();
    rmSync(directory, { recursive: true, force: true });
  };
  process.once("exit", cleanUp);
  const ports = await freePorts(2 + prefills + decodes + vmCount * 3);
  const nextAddress = () => `127.0.0.1:${ports.pop()}`;
  const platform = nextAddress();
  const service = nextAddress();
  const spawnFake = (name: string, args: string[]) =>
    processes.spawn({
      name,
      program: PROGRAMS.fakes,
      args,
      logFile: join(directory, `${name}.log`),
    });
  spawnFake("platform", [
    "platform",
    "--port",
    portOf(platform),
    "--list-lag-ms",
    "200",
  ]);
  spawnFake("service", [
    "service",
    "--port",
    portOf(service),
    "--spend-ms",
    String(options.serviceDurationMs ?? 20),
  ]);
  const engines = [
    ...Array.from({ length: prefills }, (_, index) => ({
      id: `prefill-${index + 1}`,
      kind: "prefill",
      address: nextAddress(),
    })),
    ...Array.from({ length: decodes }, (_, index) => ({
      id: `decode-${index + 1}`,
      kind: "decode",
      address: nextAddress(),
    })),
  ];
  for (const { id, kind, address } of engines) {
    const args = ["--port", portOf(address), "--id", id, "--model", MODEL];
    spawnFake(id, [kind, ...args]);
  }
  const secretFile = join(directory, "peer-secret");
  const adminTokenFile = join(directory, "admin-token");
  writeFileSync(secretFile, "peer-secret-of-this-run");
  writeFileSync(adminTokenFile, "admin-token-of-this-run");
  const vms = Array.from({ length: vmCount }, (_, index): DeployedVm => {
    const name = `vm-${index + 1}`;
    return {
      name,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      callers: nextAddress(),
      admin: nextAddress(),
      peers: nextAddress(),
      settingsFile: join(directory, `${name}.ini`),
    };
  });
  const deployment: Deployment = {
    processes,
    directory,
    vms,
    platform,
    service,
    engines,
    adminTokenFile,
    callerToken: "caller-token-of-this-run",
    async close() {
      process.off("exit", cleanUp);
      await processes.endAll();
      rmSync(directory, { recursive: true, force: true });
    },
  };
  try {
    await waitForHttp(`http://${platform}/usage`);
    for (const vm of vms) await upsertListedVm(deployment, vm);
    for (let start = 0; start < vms.length; start += START_BATCH_SIZE) {
      const batch = vms.slice(start, start + START_BATCH_SIZE);
      for (const vm of batch) {
        startVm(deployment, { vm, secretFile, nodeArgs: options.nodeArgs });
      }
      await Promise.all(
        batch.map((vm) => waitForHttp(`http://${vm.callers}/health/live`)),
      );
    }
    for (const { address } of engines) {
      await waitForHttp(`http://${address}/v1/report`);
    }
  } catch (error) {
    await deployment.close();
    throw error;
  }
  return deployment;
}

/** Writes a VM's settings and starts its daemon. */
export function startVm(
  deployment: Deployment,
  options: {
    vm: DeployedVm;
    secretFile: string;
    nodeArgs?: readonly string[] | undefined;
  },
): void {
  const { vm, secretFile, nodeArgs } = options;
  writeFileSync(
    vm.settingsFile,
    `[vm]
id = ${vm.name}
dataCentre = ${vm.dataCentre}
region = suomi-etela

[listen]
callers = ${vm.callers}
admin = ${vm.admin}
peers = ${vm.peers}

[platform]
address = ${deployment.platform}

[secrets]
peerSecretFile = ${secretFile}
adminTokenFile = ${deployment.adminTokenFile}
`,
  );
  deployment.processes.spawn({
    name: vm.name,
    program: PROGRAMS.daemon,
    args: ["--settings", vm.settingsFile],
    nodeArgs,
    logFile: join(deployment.directory, `${vm.name}.log`),
  });
}

/**
 * Builds the first manifest of a deployment: its settings, one workspace with one
 * caller token, and all endpoints.
 */
export function firstManifest(
  deployment: Deployment,
  options: { addressTtlMs?: number } = {},
): unknown {
  const hash = createHash("sha256").update(deployment.callerToken).digest(
    "hex",
  );
  return {
    submissionId: "first",
    scopes: {
      deployment: {
        basedOn: 0,
        body: {
          name: "rakennuskirjo",
          services: [{ name: SERVICE }],
          ...options,
        },
      },
      workspaces: {
        basedOn: 0,
        body: [{ id: "lenders", tokens: [{ hash, caller: "lender-1" }] }],
      },
      endpoints: {
        basedOn: 0,
        body: [
          ...deployment.engines.map((engine, index) => ({
            ...engine,
            model: MODEL,
            dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
          })),
          {
            id: "kirjaamo-1",
            kind: "service",
            service: SERVICE,
            address: deployment.service,
            dataCentre: DATA_CENTRES[0],
          },
        ],
      },
    },
  };
}

/** Polls a URL until it answers with status 200; throws after `READY_TIMEOUT_MS`. */
export async function waitForHttp(url: string): Promise<void> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    const status = await request(url).then(async (response) => {
      await response.body.dump();
      return response.statusCode;
    }, () => 0);
    if (status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`No answer with status 200 from ${url}`);
}

/** Removes a VM from the platform's list of VMs. */
export async function removeListedVm(
  deployment: Deployment,
  vm: DeployedVm,
): Promise<void> {
  const url = `http://${deployment.platform}/vms?id=${vm.name}`;
  const response = await request(url, { method: "DELETE" });
  await response.body.dump();
}

async function upsertListedVm(
  deployment: Deployment,
  vm: DeployedVm,
): Promise<void> {
  const response = await request(`http://${deployment.platform}/vms`, {
    method: "POST",
    body: JSON.stringify({
      id: vm.name,
      dataCentre: vm.dataCentre,
      region: "suomi-etela",
      callerAddress: vm.callers,
      peerAddress: vm.peers,
      state: "live",
    }),
  });
  await response.body.dump();
}

function portOf(address: string): string {
  return address.slice(address.indexOf(":") + 1);
}
