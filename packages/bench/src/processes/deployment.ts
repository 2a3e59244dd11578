/** A small deployment of true processes on loopback. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { join } from "node:path";
import { createHash } from "node:crypto";
import { request } from "undici";
import { freePorts, ProcessGroup, PROGRAMS } from "./process_group.ts";

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  vms?: number;
  prefills?: number;
  decodes?: number;
  /** How long a call to the plain service takes. */
  serviceDurationMs?: number;
  /** Arguments of Node that daemons start with. */
  nodeArgs?: readonly string[];
}

/** One entry VM of a deployment. */
export interface DeployedVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
  readonly settingsFile: string;
}

/** A running deployment. */
export interface Deployment {
  readonly processes: ProcessGroup;
  readonly directory: string;
  readonly vms: readonly DeployedVm[];
  readonly platform: string;
  readonly service: string;
  readonly engines: readonly { id: string; kind: string; address: string }[];
  readonly adminTokenFile: string;
  readonly callerToken: string;
  /** Ends all processes and removes the directory. */
  close(): Promise<void>;
}

/** The model that deployments serve. */
export const MODEL = "tiivistaja";
/** The plain service that deployments have. */
export const SERVICE = "kirjaamo";

const DATA_CENTRES = ["helsinki-a", "espoo-b", "vantaa-c"];
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const START_BATCH_SIZE = 9;

/** Starts stand-ins and daemons; the deployment has no configuration yet. */
export async function startDeployment(
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const { vms: vmCount = 3, prefills = 2, decodes = 3 } = options;
  const directory = mkdtempSync(join(tmpdir(), "teaselvalve-"));
  const group = new ProcessGroup();
  // Holds also for a program that is interrupted before the deployment is up.
  const cleanUp = () => {
    group.killAll();
    rmSync(directory, { recursive: true, force: true });
  };
  process.once("exit", cleanUp);
  const ports = await freePorts(2 + prefills + decodes + vmCount * 3);
  const next = () => `127.0.0.1:${ports.pop()}`;
  const platform = next();
  const service = next();
  const spawnFake = (name: string, args: string[]) =>
    group.spawn({
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
    ...Array.from({ length: prefills }, (_, at) => ({
      id: `prefill-${at + 1}`,
      kind: "prefill",
      address: next(),
    })),
    ...Array.from({ length: decodes }, (_, at) => ({
      id: `decode-${at + 1}`,
      kind: "decode",
      address: next(),
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
  const vms = Array.from({ length: vmCount }, (_, at): DeployedVm => {
    const name = `vm-${at + 1}`;
    return {
      name,
      dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
      callers: next(),
      admin: next(),
      peers: next(),
      settingsFile: join(directory, `${name}.ini`),
    };
  });
  const deployment: Deployment = {
    processes: group,
    directory,
    vms,
    platform,
    service,
    engines,
    adminTokenFile,
    callerToken: "caller-token-of-this-run",
    async close() {
      process.off("exit", cleanUp);
      await group.endAll();
      rmSync(directory, { recursive: true, force: true });
    },
  };
  try {
    await waitForHttp(`http://${platform}/usage`);
    for (const vm of vms) await upsertListedVm(deployment, vm);
    // Daemons that all start at once would starve each other of processor time.
    for (let first = 0; first < vms.length; first += START_BATCH_SIZE) {
      const batch = vms.slice(first, first + START_BATCH_SIZE);
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

/** Builds the first manifest of a deployment. */
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
          ...deployment.engines.map((engine, at) => ({
            ...engine,
            model: MODEL,
            dataCentre: DATA_CENTRES[at % DATA_CENTRES.length],
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

/** Waits until a URL answers with status 200. */
export async function waitForHttp(url: string): Promise<void> {
  const untilMs = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < untilMs) {
    const status = await request(url).then(async (answer) => {
      await answer.body.dump();
      return answer.statusCode;
    }, () => 0);
    if (status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`No answer from ${url}`);
}

/** Takes a VM off the platform's list. */
export async function removeListedVm(
  deployment: Deployment,
  vm: DeployedVm,
): Promise<void> {
  const url = `http://${deployment.platform}/vms?id=${vm.name}`;
  const answer = await request(url, { method: "DELETE" });
  await answer.body.dump();
}

async function upsertListedVm(
  deployment: Deployment,
  vm: DeployedVm,
): Promise<void> {
  const answer = await request(`http://${deployment.platform}/vms`, {
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
  await answer.body.dump();
}

function portOf(address: string): string {
  return address.slice(address.indexOf(":") + 1);
}
