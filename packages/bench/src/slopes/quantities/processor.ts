/** Processor time of decisions, without sockets. */
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

const RUNS = Math.round(DERIVED.runsPerDecode);
const WORKSPACE_SIZES = [725, 1_450, 2_900, 5_800];
const VM_SIZES = [100, 200, 400, 800];
const ADOPTIONS = 5;
const STEPS_OBSERVED = 2_000;
const FASTEST = "fastest of 7 batches in one process";

/** Quantities of processor time. */
export const PROCESSOR_QUANTITIES: readonly Quantity[] = [
  timeQuantity("time-grant", {
    per: `replica of the shard, for a grant and its end, ${RUNS} runs on each`,
    sizes: [4, 8, 16, 32],
    prepare: prepareGrant,
  }),
  timeQuantity("time-dispatch", {
    per: "grant that waits, for one look at all that wait, 16 replicas",
    sizes: [25, 50, 100, 200],
    prepare: prepareDispatch,
  }),
  timeQuantity("time-report", {
    per: "run that a load report lists, parsed and entered",
    sizes: [16, 32, 64, 128],
    prepare: prepareReport,
  }),
  timeQuantity("time-probe-answer", {
    per: "VM in the view, for a probe taken in and answered",
    sizes: VM_SIZES,
    prepare: prepareProbe,
  }),
  timeQuantity("time-view-change", {
    per: "VM in the view, for a probe that tells a new state",
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
    per: "VM in the view, to find the shards whose reports are polled",
    sizes: VM_SIZES,
    method: FASTEST,
    measure: reportHomesMicros,
  },
  timeQuantity("time-address-answer", {
    per: "VM in the view, for one address answer",
    sizes: VM_SIZES,
    prepare: prepareAddresses,
  }),
  timeQuantity("time-token-lookup", {
    per: "workspace, for a token found by its digest",
    sizes: WORKSPACE_SIZES,
    prepare: prepareTokenLookup,
  }),
  timeQuantity("time-authenticate", {
    per: "workspace, for a caller authenticated as the daemon does it",
    sizes: WORKSPACE_SIZES,
    prepare: prepareAuthenticate,
  }),
  timeQuantity("time-manifest-check", {
    per: "workspace, for a manifest parsed and checked",
    sizes: WORKSPACE_SIZES,
    prepare: prepareCheck,
  }),
  timeQuantity("time-prompt", {
    per: "prompt token, counted and hashed",
    sizes: [500, 1_000, 2_000, 4_000],
    prepare: preparePrompt,
  }),
  {
    name: "time-adopt-change",
    unit: "us",
    per: "workspace in force, for a change of one workspace put in force",
    sizes: WORKSPACE_SIZES,
    method: `fastest of ${ADOPTIONS} adoptions`,
    measure: activateChangeMicros,
  },
  {
    name: "time-adopt-snapshot",
    unit: "us",
    per: "workspace, for a snapshot put in force",
    sizes: WORKSPACE_SIZES,
    method: `fastest of ${ADOPTIONS} adoptions`,
    measure: activateSnapshotMicros,
  },
  {
    name: "time-transition",
    unit: "us",
    per: "transition of a VM's machine",
    sizes: [1_000, 2_000, 4_000, 8_000],
    method: FASTEST,
    measure: transitionMicros,
  },
];

type Operation = (at: number) => void;

function timeQuantity(
  name: string,
  options: Pick<Quantity, "per" | "sizes"> & {
    prepare: (size: number) => Promise<Operation> | Operation;
  },
): Quantity {
  const { per, sizes, prepare } = options;
  let done = 0;
  return {
    name,
    unit: "us",
    per,
    sizes,
    method: FASTEST,
    async measure(size) {
      const operate = await prepare(size);
      return await operationMicros((count) => {
        for (let at = 0; at < count; at += 1) operate(done += 1);
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
  return (at) => {
    const request = sampleGrantRequest(at);
    void shard.request(request);
    if (!shard.withdraw(request.key)) throw new Error("No grant was given");
  };
}

/** Teaches a shard how fast its replicas are, as reports would over time. */
function recordStepTimes(shard: Shard): void {
  for (let at = 0; at < STEPS_OBSERVED; at += 1) {
    const members = 1 + at % 96;
    shard.state.speeds.stepMs.observe(members, 12 + 0.2 * members);
  }
}

function applyReports(shard: Shard, replicas: number): void {
  recordStepTimes(shard);
  for (const endpoint of sampleEndpoints(replicas)) {
    const runs = endpoint.kind === "decode" ? RUNS : 0;
    shard.state.applyReport(sampleReport(endpoint, runs), performance.now());
  }
}

function prepareDispatch(waiting: number): Operation {
  const shard = createShard(16);
  applyReports(shard, 16);
  for (let at = 0; at < waiting; at += 1) {
    const request = { ...sampleGrantRequest(at), alone: true };
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

/** A VM whose view holds so many others and has no more news. */
export async function createVmWithView(count: number): Promise<Vm> {
  const listed = sampleVms(count);
  const vm = createStubVm({ listed });
  await fillView(vm);
  for (const { id } of listed) vm.membership.answerProbe(firstProbe(id));
  // Queued news is passed on a few times and then no longer.
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
  return (at) => vm.membership.answerProbe(probes[at % count]!);
}

async function prepareViewChange(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  const listed = sampleVms(count);
  return (at) => {
    const probe = firstProbe(listed[at % count]!.id);
    const leaving = at % 2 === 0;
    vm.membership.answerProbe({ ...probe, statusVersion: at + 1, leaving });
  };
}

async function prepareHomeOf(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  return (at) => vm.membership.homeOf(sampleKeyText(at));
}

function sampleKeyText(at: number): string {
  return `request/workspace-${at % TARGET_SIZE.workspaces}/${at}`;
}

/** A VM that looks after no shard's reports still finds out so, for every shard. */
async function reportHomesMicros(count: number): Promise<number> {
  const { vm, activateSnapshot: adoptSnapshot } = createConfigurableVm({
    listed: sampleVms(count),
  });
  await adoptSnapshot(
    snapshotText({ workspaces: 1, models: TARGET_SIZE.models }),
  );
  await fillView(vm);
  return await operationMicros(async (turns) => {
    for (let turn = 0; turn < turns; turn += 1) await vm.reports.poll();
  });
}

async function prepareAddresses(count: number): Promise<Operation> {
  const vm = await createVmWithView(count);
  return (at) =>
    listAddresses(vm.membership, {
      spreadBy: `10.6.0.1:${at}`,
      ttlMs: 10_000,
    });
}

async function prepareTokenLookup(workspaces: number): Promise<Operation> {
  const { vm, activateSnapshot: adoptSnapshot } = createConfigurableVm();
  await adoptSnapshot(snapshotText({ workspaces, models: 1 }));
  return (at) => {
    const hash = sha256(tokenText(at % workspaces, 0));
    if (!vm.configuration.findToken(hash)) throw new Error("No token");
  };
}

function prepareAuthenticate(workspaces: number): Operation {
  const configuration: Configuration = sampleConfiguration({
    workspaces,
    models: 1,
  });
  return (at) => {
    const found = authenticateCaller(
      configuration,
      tokenText(at % workspaces, 0),
    );
    if (!found) throw new Error("No caller");
  };
}

function prepareCheck(workspaces: number): Operation {
  const sizes = { workspaces, models: TARGET_SIZE.models };
  const text = JSON.stringify(sampleManifest(sizes));
  const before = sampleBodies(sizes);
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
  const { vm, activateSnapshot: adoptSnapshot, activateChange: adoptChange } =
    createConfigurableVm();
  await adoptSnapshot(snapshotText({ workspaces, models: TARGET_SIZE.models }));
  let best = Infinity;
  for (let turn = 0; turn < ADOPTIONS; turn += 1) {
    const held = vm.configuration.current()!;
    const text = JSON.stringify(weightChange(held, 1));
    const startedMs = performance.now();
    await adoptChange(text);
    best = Math.min(best, performance.now() - startedMs);
  }
  return best * 1_000;
}

async function activateSnapshotMicros(workspaces: number): Promise<number> {
  const text = snapshotText({ workspaces, models: TARGET_SIZE.models });
  let best = Infinity;
  for (let turn = 0; turn < ADOPTIONS; turn += 1) {
    const { activateSnapshot: adoptSnapshot } = createConfigurableVm();
    const startedMs = performance.now();
    await adoptSnapshot(text);
    best = Math.min(best, performance.now() - startedMs);
  }
  return best * 1_000;
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
    for (let at = 0; at < count * transitions; at += 1) {
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
