/**
 * `npm run measure:vms -- --vms 9,30 --json`: network, processor and memory use of daemons
 * that are idle, and of daemons that receive manifests.
 */
import { wait } from "@teaselvalve/core";
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { command, flag, option, run, string } from "cmd-ts";
import { mean, quantileSorted } from "simple-statistics";
import { request } from "undici";
import { submitManifest } from "./client.ts";
import {
  type DeployedVm,
  type Deployment,
  firstManifest,
  startDeployment,
} from "./deployment.ts";
import { type ProcessUsage, readUsage } from "./process_usage.ts";

const SETTLE_MS = 20_000;
const IDLE_MS = 20_000;
const MANIFEST_COUNT = 6;
/** Ten manifests per minute. */
const MANIFEST_INTERVAL_MS = 6_000;
/**
 * Generous estimate of one daemon's memory. All daemons together may take up at most half
 * of the machine's memory.
 */
const ASSUMED_DAEMON_BYTES = 110e6;

/** Counters and usage of one daemon at one time. */
interface Sample {
  readonly atMs: number;
  readonly usage: ProcessUsage;
  /** Sent at the peer interface and on outgoing connections. */
  readonly sentBytes: number;
  /** Received at the peer interface and on outgoing connections. */
  readonly receivedBytes: number;
  /** Sockets opened so far at the peer interface and for outgoing connections. */
  readonly sockets: number;
  /** Both directions at the peer interface: requests of other VMs and the responses. */
  readonly peerBytes: number;
}

/** Resource use of the daemons over a period. */
interface DaemonCost {
  readonly peerBytesPerSecond: MeanAndMax;
  readonly sentBytesPerSecond: MeanAndMax;
  readonly receivedBytesPerSecond: MeanAndMax;
  readonly socketsPerSecond: MeanAndMax;
  readonly processorPercent: MeanAndMax;
  readonly residentMegabytes: MeanAndMax;
}

/** Over all daemons. */
interface MeanAndMax {
  readonly mean: number;
  readonly max: number;
}

const program = command({
  name: "measure-vms",
  args: {
    vms: option({ long: "vms", type: string, defaultValue: () => "9" }),
    nodeArgs: option({
      long: "node-args",
      type: string,
      defaultValue: () => "",
    }),
    json: flag({ long: "json" }),
  },
  async handler({ vms, nodeArgs, json }) {
    for (const count of vms.split(",").map(Number)) {
      if (count * ASSUMED_DAEMON_BYTES > totalmem() / 2) {
        throw new Error(
          `${count} daemons may take up more than half of the memory`,
        );
      }
      const args = nodeArgs.split(" ").filter(Boolean);
      const measured = await measure(count, args);
      const text = json
        ? JSON.stringify(measured)
        : JSON.stringify(measured, null, 2);
      process.stdout.write(`${text}\n`);
    }
  },
});

await run(program, process.argv.slice(2));

async function measure(vms: number, nodeArgs: readonly string[]) {
  const deployment = await startDeployment({
    vms,
    prefills: 1,
    decodes: 1,
    nodeArgs,
  });
  try {
    await submitManifest(deployment, { manifest: firstManifest(deployment) });
    await wait(SETTLE_MS);
    const idle = await measureCost(deployment, () => wait(IDLE_MS));
    const submittedAtMs = new Map<number, number>();
    const manifests = await measureCost(
      deployment,
      () => submitManifests(deployment, submittedAtMs),
    );
    const activationDelaysMs = readActivationDelays(deployment, submittedAtMs);
    return {
      vms,
      nodeArgs,
      idle,
      manifests,
      inForce: {
        expected: vms * MANIFEST_COUNT,
        seen: activationDelaysMs.length,
        p50Ms: quantileSorted(activationDelaysMs, 0.5),
        p99Ms: quantileSorted(activationDelaysMs, 0.99),
        maxMs: activationDelaysMs.at(-1),
      },
    };
  } finally {
    await deployment.close();
  }
}

/** Submits manifests that change the deployment scope, one after the other. */
async function submitManifests(
  deployment: Deployment,
  submittedAtMs: Map<number, number>,
): Promise<void> {
  const first = firstManifest(deployment) as {
    scopes: { deployment: { body: object } };
  };
  const { body } = first.scopes.deployment;
  for (let version = 1; version <= MANIFEST_COUNT; version += 1) {
    const startedMs = Date.now();
    const adoptionMs = 2_000 + version;
    const response = await submitManifest(deployment, {
      manifest: {
        submissionId: `measure-${version}`,
        scopes: {
          deployment: { basedOn: version, body: { ...body, adoptionMs } },
        },
      },
      vms: [deployment.vms[version % deployment.vms.length]!],
    });
    const outcome = JSON.parse(response.text) as {
      kind: string;
      version: number;
    };
    if (outcome.kind !== "accepted") throw new Error(response.text);
    submittedAtMs.set(outcome.version, startedMs);
    await wait(startedMs + MANIFEST_INTERVAL_MS - Date.now());
  }
}

/**
 * Reads from the logs, for each version and VM, the time from the version's submission
 * until it was active at the VM. Returns the delays in ms, sorted.
 */
function readActivationDelays(
  deployment: Deployment,
  submittedAtMs: ReadonlyMap<number, number>,
): number[] {
  const delaysMs: number[] = [];
  for (const vm of deployment.vms) {
    const log = readFileSync(
      join(deployment.directory, `${vm.name}.log`),
      "utf8",
    );
    const lines = log.matchAll(
      /^time=(\S+) .*event=configuration-in-force .*version=(\d+)/gm,
    );
    for (const [, time, version] of lines) {
      const startedMs = submittedAtMs.get(Number(version));
      if (startedMs !== undefined) delaysMs.push(Date.parse(time!) - startedMs);
    }
  }
  return delaysMs.sort((a, b) => a - b);
}

/** Measures the resource use of all daemons while `work` runs. */
async function measureCost(
  deployment: Deployment,
  work: () => Promise<void>,
): Promise<DaemonCost> {
  const before = await Promise.all(
    deployment.vms.map((vm) => takeSample(deployment, vm)),
  );
  await work();
  const after = await Promise.all(
    deployment.vms.map((vm) => takeSample(deployment, vm)),
  );
  const perSecond = (read: (sample: Sample) => number): MeanAndMax =>
    meanAndMax(after.map((end, index) => {
      const begin = before[index]!;
      const seconds = (end.atMs - begin.atMs) / 1_000;
      return (read(end) - read(begin)) / seconds;
    }));
  return {
    peerBytesPerSecond: perSecond((sample) => sample.peerBytes),
    sentBytesPerSecond: perSecond((sample) => sample.sentBytes),
    receivedBytesPerSecond: perSecond((sample) => sample.receivedBytes),
    socketsPerSecond: perSecond((sample) => sample.sockets),
    processorPercent: perSecond((sample) => sample.usage.processorMs / 10),
    residentMegabytes: meanAndMax(
      after.map(({ usage }) => usage.residentBytes / 1e6),
    ),
  };
}

async function takeSample(
  deployment: Deployment,
  vm: DeployedVm,
): Promise<Sample> {
  const response = await request(`http://${vm.admin}/metrics`, {
    headers: { connection: "close" },
  });
  const text = await response.body.text();
  const read = (name: string, labels: string) => {
    const line = new RegExp(`^teaselvalve_${name}\\{${labels}\\} (\\d+)`, "m");
    return Number(line.exec(text)?.[1] ?? 0);
  };
  const sum = (name: string, direction = "") =>
    read(name, `interface="peers"${direction}`) +
    read(name, `interface="outgoing"${direction}`);
  return {
    atMs: performance.now(),
    usage: readUsage(deployment.processes.get(vm.name).pid!),
    sentBytes: sum("socket_bytes", ',direction="sent"'),
    receivedBytes: sum("socket_bytes", ',direction="received"'),
    sockets: sum("sockets_opened"),
    peerBytes: ["sent", "received"]
      .map((direction) =>
        read("socket_bytes", `interface="peers",direction="${direction}"`)
      )
      .reduce((total, bytes) => total + bytes),
  };
}

function meanAndMax(values: readonly number[]): MeanAndMax {
  const round = (value: number) => Math.round(value * 100) / 100;
  return {
    mean: round(mean([...values])),
    max: round(Math.max(...values)),
  };
}
