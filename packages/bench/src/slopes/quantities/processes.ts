/**
 * Processor time and memory of real daemon processes that run against fake
 * platform and engine processes.
 */
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
const CONCURRENT_STREAMS = 24;
const CONCURRENT_REQUESTS = 6;
const TRANSACTIONS = 400;
const WARM_UP_CALLS = 4_000;
const CALL_COUNTS = [500, 1_000, 2_000, 4_000];
const KERNEL_CPU_TIME =
  "processor time of the process from /proc, in steps of 10 ms";
const SENDER_CPU_TIME = "processor time of the sending process";
const RESIDENT_MEMORY = "VmRSS of the process";
const BARE_PROGRAM = `
import { createServer } from "node:http";
const servers = Array.from({ length: Number(process.argv[1]) }, () =>
  createServer((_, response) => response.end()).listen(0, "127.0.0.1"));
console.log(servers.length);
`;

/** The deployment that all measurements of one quantity share. */
interface SharedDeployment {
  readonly deployment: Deployment;
  /** Processor time that its daemons together use without requests. */
  readonly idleMicrosPerMs: number;
}

/**
 * Quantities of whole processes: processor time, resident memory, and bytes to
 * callers.
 */
export const PROCESS_QUANTITIES: readonly Quantity[] = [
  {
    name: "process-bare-memory",
    unit: "bytes",
    per: "HTTP server of a Node.js process that does nothing else",
    sizes: [1, 2, 3, 4],
    method: RESIDENT_MEMORY,
    measure: bareMemory,
  },
  {
    name: "process-idle-memory",
    unit: "bytes",
    per: "VM of the deployment, for a daemon without a configuration",
    sizes: [1, 2, 3, 4],
    method: RESIDENT_MEMORY,
    measure: idleMemory,
  },
  {
    name: "process-memory",
    unit: "bytes",
    per: "workspace of the active configuration, for a daemon",
    sizes: [725, 1_450, 2_900, 5_800],
    method: RESIDENT_MEMORY,
    measure: configuredMemory,
  },
  processQuantity("process-idle-time", {
    unit: "us",
    per: "second of an idle daemon, 3 VMs",
    sizes: [3, 6, 9, 12],
    method: KERNEL_CPU_TIME,
    measure: async (seconds, { deployment }) =>
      await idleCpuRate(deployment, seconds * 1_000) * seconds * 1_000 /
      deployment.vms.length,
  }),
  processQuantity("process-call-sent", {
    unit: "us",
    per: "peer call, at the sender",
    sizes: CALL_COUNTS,
    method: SENDER_CPU_TIME,
    measure: async (count, { deployment }) => {
      const before = ownCpuMicros();
      await sendProbes(deployment, count);
      return ownCpuMicros() - before;
    },
  }),
  processQuantity("process-call-answered", {
    unit: "us",
    per: "peer call, at the answering daemon",
    sizes: CALL_COUNTS,
    method: KERNEL_CPU_TIME,
    measure: (count, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () => sendProbes(deployment, count),
      }),
  }),
  processQuantity("process-claim", {
    unit: "us",
    per: "claim in a transaction, at the sender",
    sizes: [1, 2, 4, 8],
    method: SENDER_CPU_TIME,
    measure: claimCpuMicros,
  }),
  processQuantity("process-request", {
    unit: "us",
    per:
      "summary with 500 prompt tokens and one output token, over all daemons",
    sizes: [40, 80, 120, 160],
    method: KERNEL_CPU_TIME,
    measure: (count, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () =>
          streamSummaries(deployment, {
            count,
            concurrency: CONCURRENT_REQUESTS,
            tokens: 1,
          }),
      }),
  }),
  processQuantity("process-relay", {
    unit: "us",
    per: `token on ${CONCURRENT_STREAMS} concurrent streams, over all daemons`,
    sizes: [200, 400, 600, 800].map((tokens) => tokens * CONCURRENT_STREAMS),
    method: KERNEL_CPU_TIME,
    measure: (tokens, { deployment, idleMicrosPerMs }) =>
      workCpuMicros(deployment, {
        idleMicrosPerMs,
        work: () =>
          streamSummaries(deployment, {
            count: CONCURRENT_STREAMS,
            concurrency: CONCURRENT_STREAMS,
            tokens: tokens / CONCURRENT_STREAMS,
          }),
      }),
  }),
  processQuantity("process-relay-bytes", {
    unit: "bytes",
    per: "token streamed to a caller",
    sizes: [25, 50, 100, 200],
    method: "bytes in both directions through a loopback relay",
    measure: relayBytes,
  }),
];

function processQuantity(
  name: string,
  options: Omit<Quantity, "name" | "measure"> & {
    measure: (
      size: number,
      sharedDeployment: SharedDeployment,
    ) => Promise<number>;
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
    // Warms up compiled code and connections before the first measurement.
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
    // The first VM accepted the manifest; the last one only activated it.
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
        throw new Error("Unexpected call to the sending process itself");
      },
    },
  });
  const [from] = sampleVms(1);
  const params = firstProbe(from!.id);
  for (let index = 0; index < count; index += 1) {
    const answer = await port.call(
      { id: name, peerAddress: peers },
      "membership/probe",
      { params, timeoutMs: TIMEOUT_MS },
    );
    if (answer.isErr()) throw new Error(answer.error.kind);
  }
}

let lastClaim = 0;

async function claimCpuMicros(
  rows: number,
  { deployment }: SharedDeployment,
): Promise<number> {
  const port = createPlatformPort({
    address: deployment.platform,
    timeoutMs: TIMEOUT_MS,
  });
  const batches = Array.from({ length: TRANSACTIONS * 2 }, () => {
    lastClaim += rows;
    return sampleClaims(lastClaim, rows);
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
    await streamSummary(deployment, {
      tokens,
      address: relay.address,
      index: 1,
    });
    return relay.relayedBytes;
  } finally {
    relay.close();
  }
}
