/** Processor time of the VM's decisions, measured without sockets. */
import {
  checkScopes,
  type Configuration,
  listAddresses,
  type LoadReport,
  MachineTask,
  measurePrompt,
  memberMachine,
  parseManifest,
  type Shard,
  type Vm,
} from "@teaselvalve/core";
import { authenticateCaller } from "@teaselvalve/daemon";
import {
  createConfigurableVm,
  snapshotText,
  weightChange,
} from "../configurable_vm.ts";
import { DERIVED, TARGET_SIZE } from "../target_size.ts";
import { operationMicros } from "../measure.ts";
import {
  sampleBodies,
  sampleConfiguration,
  sampleEndpoints,
  sampleGrantRequest,
  sampleManifest,
  sampleReport,
  sampleSummary,
  sampleVms,
  sha256,
  tokenText,
} from "../samples.ts";
import { createStubVm, fillView } from "../stub_vm.ts";
import type { Quantity } from "../types.ts";
import { createShard, firstProbe } from "./state.ts";

const RUNS_PER_DECODE = Math.round(DERIVED.runsPerDecode);
const WORKSPACE_SIZES = [725, 1_450, 2_900, 5_800];
const VM_SIZES = [100, 200, 400, 800];
const ACTIVATIONS = 5;
const OBSERVED_STEPS = 2_000;
const FASTEST_BATCH = "fastest of 7 batches in one process";

/** Quantities of processor time, in microseconds per operation. */
export const PROCESSOR_QUANTITIES: readonly Quantity[] = [
  timeQuantity("time-grant", {
    per:
      `replica of the shard, to give and withdraw one grant, ${RUNS_PER_DECODE} runs on each`,
    sizes: [4, 8, 16, 32],
    prepare: prepareGrant,
  }),
  timeQuantity("time-dispatch", {
    per:
      "waiting grant request, for one dispatch pass over all of them, 16 replicas",
    sizes: [25, 50, 100, 200],
    prepare: prepareDispatch,
  }),
  timeQuantity("time-report", {
    per: "run in a load report, to parse and apply the report",
    sizes: [16, 32, 64, 128],
    prepare: prepareReport,
  }),
  timeQuantity("time-probe-answer", {
    per: "VM in the view, to process and answer one probe",
    sizes: VM_SIZES,
    prepare: prepareProbe,
  }),
  timeQuantity("time-view-change", {
    per: "VM in the view, for a probe with a changed state",
    sizes: VM_SIZES,
    prepare: prepareViewChange,
  }),
  timeQuantity("time-home-of", {
    per: "VM in the view, for the home of a key not seen before",
    sizes: VM_SIZES,
    prepare: prepareHomeOf,
  }),
  {
    name: "time-report-homes",
    unit: "us",
    per: "VM in the view, to find the shards whose reports to poll",
    sizes: VM_SIZES,
    method: FASTEST_BATCH,
    measure: reportHomesMicros,
  },
  timeQuantity("time-address-answer", {
    per: "VM in the view, for one list of addresses",
    sizes: VM_SIZES,
    prepare: prepareAddresses,
  }),
  timeQuantity("time-token-lookup", {
    per: "workspace, to look up a token by its digest",
    sizes: WORKSPACE_SIZES,
    prepare: prepareTokenLookup,
  }),
  timeQuantity("time-authenticate", {
    per: "workspace, to authenticate a caller as the daemon does",
    sizes: WORKSPACE_SIZES,
    prepare: prepareAuthenticate,
  }),
  timeQuantity("time-manifest-check", {
    per: "workspace, to parse and check a manifest",
    sizes: WORKSPACE_SIZES,
    prepare: prepareCheck,
  }),
  timeQuantity("time-prompt", {
    per: "prompt token, to count and hash the prompt",
    sizes: [500, 1_000, 2_000, 4_000],
    prepare: preparePrompt,
  }),
  {
    name: "time-adopt-change",
    unit: "us",
    per:
      "workspace of the active configuration, to activate a change of one workspace",
    sizes: WORKSPACE_SIZES,
    method: `fastest of ${ACTIVATIONS} activations`,
    measure: activateChangeMicros,
  },
  {
    name: "time-adopt-snapshot",
    unit: "us",
    per: "workspace, to activate a snapshot",
    sizes: WORKSPACE_SIZES,
    method: `fastest of ${ACTIVATIONS} activations`,
    measure: activateSnapshotMicros,
  },
  {
    name: "time-transition",
    unit: "us",
    per: "transition of a VM's machine",
    sizes: [1_000, 2_000, 4_000, 8_000],
    method: FASTEST_BATCH,
    measure: transitionMicros,
  },
];

type Operation = (index: number) => void;

function timeQuantity(
  name: string,
  options: Pick<Quantity, "per" | "sizes"> & {
    prepare: (size: number) => Promise<Operation> | Operation;
  },
): Quantity {
  const { per, sizes, prepare } = options;
  let operations = 0;
  return {
    name,
    unit: "us",
    per,
    sizes,
    method: FASTEST_BATCH,
    async measure(size) {
      const operate = await prepare(size);
      return await operationMicros((count) => {
        for (let index = 0; index < count; index += 1) operate(operations += 1);
      });
    },
  };
}

async function prepareGrant(replicas: number): Promise<Operation> {
  const shard = createShard(replicas);
  applyReports(shard, replicas);
  const answer = await Promise.race([
    shard.request(sampleGrantRequest(0)),
    new Promise<null>((resolve) => setImmediate(() => resolve(null))),
  ]);
  if (answer?.kind !== "granted") throw new Error("No grant was given");
  shard.withdraw(sampleGrantRequest(0).key);
  return (index) => {
    const request = sampleGrantRequest(index);
    void shard.request(request);
    if (!shard.withdraw(request.key)) throw new Error("No grant was given");
  };
}

/** Records step times of a shard's replicas, as load reports would over time. */
function recordStepTimes(shard: Shard): void {
  for (let index = 0; index < OBSERVED_STEPS; index += 1) {
    const batchSize = 1 + index % 96;
    shard.state.speeds.stepMs.observe(batchSize, 12 + 0.2 * batchSize);
  }
}

function applyReports(shard: Shard, replicas: number): void {
  recordStepTimes(shard);
  for (const endpoint of sampleEndpoints(replicas)) {
    const runs = endpoint.kind === "decode" ? RUNS_PER_DECODE : 0;
    shard.state.applyReport(sampleReport(endpoint, runs), performance.now());
  }
}

function prepareDispatch(waiting: number): Operation {
  const shard = createShard(16);
  applyReports(shard, 16);
  for (let index = 0; index < waiting; index += 1) {
    const request = { ...sampleGrantRequest(index), alone: true };
    void shard.request(request);
  }
  return () => shard.dispatch();
}

function prepareReport(runs: number): Operation {
  const shard = createShard(4);
  applyReports(shard, 4);
  const endpoint = sampleEndpoints(4)[1]!;
  const text = JSON.stringify(sampleReport(endpoint, runs));
  return () => {
    const report = JSON.parse(text) as LoadReport;
    shard.state.applyReport(report, performance.now());
  };
}

/**
 * Creates a VM whose view holds `count` other VMs and whose gossip queue is
 * empty.
 */
export async function createVmWithView(count: number): Promise<Vm> {
  const listed = sampleVms(count);
  const vm = createStubVm({ listed });
  await fillView(vm);
  for (const { id } of listed) vm.membership.answerProbe(firstProbe(id));
  // Each queued update is sent a limited number of times, then dropped.
  for (let round = 0; round < 40; round += 1) {
    for (const { id } of listed) vm.membership.answerProbe(firstProbe(id));
  }
  return vm;
}

async function prepareProbe(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  const listed = sampleVms(count);
  const { viewHash } = vm.membership.answerProbe(firstProbe(listed[0]!.id));
  const probes = listed.map(({ id }) => ({ ...firstProbe(id), viewHash }));
  return (index) => vm.membership.answerProbe(probes[index % count]!);
}

async function prepareViewChange(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  const listed = sampleVms(count);
  return (index) => {
    const probe = firstProbe(listed[index % count]!.id);
    const leaving = index % 2 === 0;
    vm.membership.answerProbe({ ...probe, statusVersion: index + 1, leaving });
  };
}

async function prepareHomeOf(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  return (index) => vm.membership.homeOf(sampleKeyText(index));
}

function sampleKeyText(index: number): string {
  return `request/workspace-${index % TARGET_SIZE.workspaces}/${index}`;
}

/**
 * Measures a VM that polls no shard's reports: it still looks up the home of
 * every shard.
 */
async function reportHomesMicros(count: number): Promise<number> {
  const { vm, activateSnapshot } = createConfigurableVm({
    listed: sampleVms(count),
  });
  await activateSnapshot(
    snapshotText({ workspaces: 1, models: TARGET_SIZE.models }),
  );
  await fillView(vm);
  return await operationMicros(async (turns) => {
    for (let turn = 0; turn < turns; turn += 1) await vm.reports.poll();
  });
}

async function prepareAddresses(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  return (index) =>
    listAddresses(vm.membership, {
      spreadBy: `10.6.0.1:${index}`,
      ttlMs: 10_000,
    });
}

async function prepareTokenLookup(workspaces: number): Promise<Operation> {
  const { vm, activateSnapshot } = createConfigurableVm();
  await activateSnapshot(snapshotText({ workspaces, models: 1 }));
  return (index) => {
    const hash = sha256(tokenText(index % workspaces, 0));
    if (!vm.configuration.findToken(hash)) throw new Error("No token");
  };
}

function prepareAuthenticate(workspaces: number): Operation {
  const configuration: Configuration = sampleConfiguration({
    workspaces,
    models: 1,
  });
  return (index) => {
    const callerIdentity = authenticateCaller(
      configuration,
      tokenText(index % workspaces, 0),
    );
    if (!callerIdentity) throw new Error("Sample caller not authenticated");
  };
}

function prepareCheck(workspaces: number): Operation {
  const options = { workspaces, models: TARGET_SIZE.models };
  const text = JSON.stringify(sampleManifest(options));
  const before = sampleBodies(options);
  return () => {
    const manifest = parseManifest(JSON.parse(text))._unsafeUnwrap();
    const { deployment, workspaces, endpoints } = manifest.scopes;
    const after = {
      deployment: deployment!.body,
      workspaces: workspaces!.body,
      endpoints: endpoints!.body,
      roles: [],
    };
    const errors = checkScopes({ manifest, before, after });
    if (errors.length > 0) throw new Error(errors[0]!.message);
  };
}

function preparePrompt(tokens: number): Operation {
  const { prompt } = sampleSummary(1, tokens);
  return () => void measurePrompt(prompt);
}

async function activateChangeMicros(workspaces: number): Promise<number> {
  const { vm, activateSnapshot, activateChange } = createConfigurableVm();
  await activateSnapshot(
    snapshotText({ workspaces, models: TARGET_SIZE.models }),
  );
  let bestMs = Infinity;
  for (let turn = 0; turn < ACTIVATIONS; turn += 1) {
    const current = vm.configuration.current()!;
    const text = JSON.stringify(weightChange(current, 1));
    const startedMs = performance.now();
    await activateChange(text);
    bestMs = Math.min(bestMs, performance.now() - startedMs);
  }
  return bestMs * 1_000;
}

async function activateSnapshotMicros(workspaces: number): Promise<number> {
  const text = snapshotText({ workspaces, models: TARGET_SIZE.models });
  let bestMs = Infinity;
  for (let turn = 0; turn < ACTIVATIONS; turn += 1) {
    const { activateSnapshot } = createConfigurableVm();
    const startedMs = performance.now();
    await activateSnapshot(text);
    bestMs = Math.min(bestMs, performance.now() - startedMs);
  }
  return bestMs * 1_000;
}

async function transitionMicros(transitions: number): Promise<number> {
  const machine = new MachineTask(memberMachine, {
    input: {
      statusVersion: 0,
      incarnation: null,
      announced: "live",
      listing: "live",
    },
    perform() {},
  });
  let statusVersion = 0;
  return await operationMicros((count) => {
    for (let index = 0; index < count * transitions; index += 1) {
      statusVersion += 1;
      machine.send({
        type: "heard",
        statusVersion,
        incarnation: null,
        announced: "live",
      });
    }
  });
}
