/** Processor time and memory of true daemons between stand-ins, all as processes. */
import { wait } from "@teaselvalve/core";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createPeerPort, createPlatformPort } from "@teaselvalve/daemon";
import {
  type Deployment,
  startDeployment,
} from "../../processes/deployment.ts";
import { CountingRelay } from "../counting_relay.ts";
import { ownCpuMicros, residentBytes } from "../measure.ts";
import {
  daemonPids,
  idleCpuRate,
  startConfiguredDeployment,
  streamSummaries,
  streamSummary,
  workCpuMicros,
} from "../running_deployment.ts";
import { sampleVms } from "../samples.ts";
import type { Quantity } from "../types.ts";
import { sampleClaims } from "./wire.ts";
import { firstProbe } from "./state.ts";

const PEER_SECRET = "peer-secret-of-this-run";
const TIMEOUT_MS = 10_000;
const IDLE_MS = 4_000;
const STREAMS = 24;
const REQUESTS_TOGETHER = 6;
const TRANSACTIONS = 400;
const WARM_UP_CALLS = 4_000;
const CALL_COUNTS = [500, 1_000, 2_000, 4_000];
const TICKS = "the kernel's count of the process's time, in steps of 10 ms";
const OWN_TIME = "processor time of the sending process";
const RESIDENT = "VmRSS of the process";
const BARE_PROGRAM = `
import { createServer } from "node:http";
const servers = Array.from({ length: Number(process.argv[1]) }, () =>
  createServer((_, response) => response.end()).listen(0, "127.0.0.1"));
console.log(servers.length);
`;

/** What the measurements of one quantity share. */
interface SharedDeployment {
  readonly deployment: Deployment;
  /** Processor time that its daemons use without requests. */
  readonly idleMicrosPerMs: number;
}

/** Quantities of whole processes. */
export const PROCESS_QUANTITIES: readonly Quantity[] = [
  {
    name: "process-bare-memory",
    unit: "bytes",
    per: "HTTP server of a node process that does nothing else",
    sizes: [1, 2, 3, 4],
    method: RESIDENT,
    measure: bareMemory,
  },
  {
    name: "process-idle-memory",
    unit: "bytes",
    per: "VM of the deployment, of a daemon without configuration",
    sizes: [1, 2, 3, 4],
    method: RESIDENT,
    measure: idleMemory,
  },
  {
    name: "process-memory",
    unit: "bytes",
    per: "workspace in force, of a daemon",
    sizes: [725, 1_450, 2_900, 5_800],
    method: RESIDENT,
    measure: configuredMemory,
  },
  processQuantity("process-idle-time", {
    unit: "us",
    per: "second of a daemon without requests, 3 VMs",
    sizes: [3, 6, 9, 12],
    method: TICKS,
    measure: async (seconds, { deployment }) =>
      await idleCpuRate(deployment, seconds * 1_000) * seconds * 1_000 /
      deployment.vms.length,
  }),
  processQuantity("process-call-sent", {
    unit: "us",
    per: "peer call, at its sender",
    sizes: CALL_COUNTS,
    method: OWN_TIME,
    measure: async (count, { deployment }) => {
      const before = ownCpuMicros();
      await sendProbes(deployment, count);
      return ownCpuMicros() - before;
    },
  }),
  processQuantity("process-call-answered", {
    unit: "us",
    per: "peer call, at the daemon that answers",
    sizes: CALL_COUNTS,
    method: TICKS,
    measure: (count, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () => sendProbes(deployment, count),
      }),
  }),
  processQuantity("process-claim", {
    unit: "us",
    per: "claim of a transaction, at its sender",
    sizes: [1, 2, 4, 8],
    method: OWN_TIME,
    measure: claimCpuMicros,
  }),
  processQuantity("process-request", {
    unit: "us",
    per: "summary of one token and 500 prompt tokens, over all daemons",
    sizes: [40, 80, 120, 160],
    method: TICKS,
    measure: (count, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () =>
          streamSummaries(deployment, {
            count,
            concurrency: REQUESTS_TOGETHER,
            tokens: 1,
          }),
      }),
  }),
  processQuantity("process-relay", {
    unit: "us",
    per: `token of ${STREAMS} streams, over all daemons`,
    sizes: [200, 400, 600, 800].map((tokens) => tokens * STREAMS),
    method: TICKS,
    measure: (tokens, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () =>
          streamSummaries(deployment, {
            count: STREAMS,
            concurrency: STREAMS,
            tokens: tokens / STREAMS,
          }),
      }),
  }),
  processQuantity("process-relay-bytes", {
    unit: "bytes",
    per: "token streamed to a caller",
    sizes: [25, 50, 100, 200],
    method: "bytes both ways through a relay on loopback",
    measure: relayBytes,
  }),
];

function processQuantity(
  name: string,
  options: Omit<Quantity, "name" | "measure"> & {
    measure: (size: number, shared: SharedDeployment) => Promise<number>;
  },
): Quantity {
  let started: Promise<SharedDeployment> | undefined;
  return {
    ...options,
    name,
    async measure(size) {
      started ??= startSharedDeployment();
      return await options.measure(size, await started);
    },
    async close() {
      await (await started)?.deployment.close();
    },
  };
}

async function startSharedDeployment(): Promise<SharedDeployment> {
  const deployment = await startConfiguredDeployment({ vms: 3 });
  try {
    // Code is compiled and connections are opened before anything is measured.
    await streamSummaries(deployment, {
      count: 60,
      concurrency: 6,
      tokens: 20,
    });
    await sendProbes(deployment, WARM_UP_CALLS);
    await wait(IDLE_MS / 2);
    const idleMicrosPerMs = await idleCpuRate(deployment, IDLE_MS);
    return { deployment, idleMicrosPerMs };
  } catch (error) {
    await deployment.close();
    throw error;
  }
}

async function bareMemory(servers: number): Promise<number> {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", BARE_PROGRAM, String(servers)],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  await once(child.stdout, "data");
  await wait(IDLE_MS / 4);
  const sizeBytes = residentBytes(child.pid!);
  child.kill("SIGKILL");
  await once(child, "exit");
  return sizeBytes;
}

async function idleMemory(vms: number): Promise<number> {
  const deployment = await startDeployment({ vms, prefills: 1, decodes: 1 });
  try {
    await wait(IDLE_MS);
    return residentBytes(daemonPids(deployment)[0]!);
  } finally {
    await deployment.close();
  }
}

async function configuredMemory(workspaces: number): Promise<number> {
  const deployment = await startConfiguredDeployment({ vms: 3, workspaces });
  try {
    await wait(IDLE_MS);
    // The first VM accepted the manifest; the last one only adopted it.
    return residentBytes(daemonPids(deployment).at(-1)!);
  } finally {
    await deployment.close();
  }
}

async function sendProbes(
  deployment: Deployment,
  count: number,
): Promise<void> {
  const { name, peers } = deployment.vms[0]!;
  const port = createPeerPort({
    secret: PEER_SECRET,
    self: {
      peerAddress: "nowhere:0",
      handlers: () => {
        throw new Error("No call goes to this process itself");
      },
    },
  });
  const [from] = sampleVms(1);
  const params = firstProbe(from!.id);
  for (let at = 0; at < count; at += 1) {
    const answer = await port.call(
      { id: name, peerAddress: peers },
      "membership/probe",
      { params, timeoutMs: TIMEOUT_MS },
    );
    if (answer.isErr()) throw new Error(answer.error.kind);
  }
}

let claimed = 0;

async function claimCpuMicros(
  rows: number,
  { deployment }: SharedDeployment,
): Promise<number> {
  const port = createPlatformPort({
    address: deployment.platform,
    timeoutMs: TIMEOUT_MS,
  });
  const batches = Array.from({ length: TRANSACTIONS * 2 }, () => {
    claimed += rows;
    return sampleClaims(claimed, rows);
  });
  const warmUp = batches.splice(0, TRANSACTIONS);
  for (const writes of warmUp) await port.transact(writes);
  const before = ownCpuMicros();
  for (const writes of batches) {
    const outcome = await port.transact(writes);
    if (outcome.isErr()) throw new Error(outcome.error.detail);
  }
  return (ownCpuMicros() - before) / TRANSACTIONS;
}

async function relayBytes(
  tokens: number,
  { deployment }: SharedDeployment,
): Promise<number> {
  const relay = await CountingRelay.open(deployment.vms[0]!.callers);
  try {
    await streamSummary(deployment, { tokens, address: relay.address, at: 1 });
    return relay.relayedBytes;
  } finally {
    relay.close();
  }
}
