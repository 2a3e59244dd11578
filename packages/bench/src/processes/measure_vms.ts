/** `npm run measure:vms -- --vms 9,30 --json`: what daemons cost when idle and under manifests. */
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
/** Ten manifests a minute. */
const MANIFEST_INTERVAL_MS = 6_000;
/** No more than half of the machine, at a generous size for each daemon. */
const ASSUMED_DAEMON_BYTES = 110e6;

interface Sample {
  readonly atMs: number;
  readonly usage: ProcessUsage;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sockets: number;
  /** Both ways at the peer interface: what other VMs asked and were told. */
  readonly peerBytes: number;
}

interface DaemonCost {
  readonly peerBytesPerSecond: MeanAndMax;
  readonly sentBytesPerSecond: MeanAndMax;
  readonly receivedBytesPerSecond: MeanAndMax;
  readonly socketsPerSecond: MeanAndMax;
  readonly processorPercent: MeanAndMax;
  readonly residentMegabytes: MeanAndMax;
}

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
        throw new Error(`${count} daemons may take over half of the memory`);
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
    const inForceMs = readActivationDelays(deployment, submittedAtMs);
    return {
      vms,
      nodeArgs,
      idle,
      manifests,
      inForce: {
        expected: vms * MANIFEST_COUNT,
        seen: inForceMs.length,
        p50Ms: quantileSorted(inForceMs, 0.5),
        p99Ms: quantileSorted(inForceMs, 0.99),
        maxMs: inForceMs.at(-1),
      },
    };
  } finally {
    await deployment.close();
  }
}

/** Submits manifests that change the deployment's scope, one after the other. */
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
    const answer = await submitManifest(deployment, {
      manifest: {
        submissionId: `measure-${version}`,
        scopes: {
          deployment: { basedOn: version, body: { ...body, adoptionMs } },
        },
      },
      vms: [deployment.vms[version % deployment.vms.length]!],
    });
    const outcome = JSON.parse(answer.text) as {
      kind: string;
      version: number;
    };
    if (outcome.kind !== "accepted") throw new Error(answer.text);
    submittedAtMs.set(outcome.version, startedMs);
    await wait(startedMs + MANIFEST_INTERVAL_MS - Date.now());
  }
}

/** Reads from the logs how long after its submission each version was in force at each VM. */
function readActivationDelays(
  deployment: Deployment,
  submittedAtMs: ReadonlyMap<number, number>,
): number[] {
  const found: number[] = [];
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
      if (startedMs !== undefined) found.push(Date.parse(time!) - startedMs);
    }
  }
  return found.sort((a, b) => a - b);
}

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
    meanAndMax(after.map((end, at) => {
      const begin = before[at]!;
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
  const answer = await request(`http://${vm.admin}/metrics`, {
    headers: { connection: "close" },
  });
  const text = await answer.body.text();
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
      .map((way) =>
        read("socket_bytes", `interface="peers",direction="${way}"`)
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
