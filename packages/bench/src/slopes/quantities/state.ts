/** Memory of each kind of entry in a VM's state, measured as heap growth. */
import {
  asId,
  type CallRequest,
  type Probe,
  reserveThenPrefill,
  Shard,
  type Vm,
} from "@teaselvalve/core";
import {
  createConfigurableVm,
  snapshotText,
  weightChange,
} from "../configurable_vm.ts";
import { DERIVED, TARGET_SIZE } from "../target_size.ts";
import { heapGrowth } from "../measure.ts";
import {
  sampleEndpoints,
  sampleGrantRequest,
  sampleKey,
  sampleRegistration,
  sampleReport,
  sampleRun,
  sampleShard,
  sampleSummary,
  sampleVms,
  uuidOf,
} from "../samples.ts";
import { ACCEPTING_PEERS, createStubVm, fillView } from "../stub_vm.ts";
import type { Quantity } from "../types.ts";

const CALL_BODY_CHARACTERS = 2_000;
const RUNS_PER_DECODE = Math.round(DERIVED.runsPerDecode);
const WARM_UPS = 3;
const HEAP_GROWTH = "heap growth after garbage collection";

/** Quantities of heap memory, in bytes per entry. */
export const STATE_QUANTITIES: readonly Quantity[] = [
  stateQuantity("state-summary", {
    per: "summary in flight, including its prompt",
    sizes: [250, 500, 1_000, 2_000],
    build: buildSummaries,
  }),
  stateQuantity("state-prompt-token", {
    per: "prompt token of each of 200 summaries in flight",
    sizes: [500, 1_000, 2_000, 4_000],
    build: (tokens) => buildSummaries(200, tokens),
  }),
  stateQuantity("state-call", {
    per: "call in flight, with a body of 2,000 characters",
    sizes: [250, 500, 1_000, 2_000],
    build: buildCalls,
  }),
  stateQuantity("state-registration", {
    per: "registration at a key's home",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildRegistrations,
  }),
  stateQuantity("state-suspect-entry", {
    per: "request body tracked at the home of its hash",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildSuspectEntries,
  }),
  stateQuantity("state-home-key", {
    per: "key whose home is cached",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildHomeKeys,
  }),
  stateQuantity("state-replica", {
    per: `replica at a shard's home, ${RUNS_PER_DECODE} runs on each`,
    sizes: [4, 8, 16, 32],
    build: (replicas) => buildShard(replicas, RUNS_PER_DECODE),
  }),
  stateQuantity("state-reported-run", {
    per: "reported run on each of 16 replicas at a shard's home",
    sizes: [16, 32, 64, 128],
    build: (runs) => buildShard(16, runs),
  }),
  stateQuantity("state-waiting-grant", {
    per: "waiting grant request at a shard's home",
    sizes: [100, 200, 400, 800],
    build: buildWaiting,
  }),
  stateQuantity("state-workspace", {
    per: "workspace of the active configuration, 4 tokens each",
    sizes: [725, 1_450, 2_900, 5_800],
    build: (workspaces) => buildConfiguration({ workspaces, models: 23 }),
  }),
  stateQuantity("state-model", {
    per: "model of the active configuration, 26 replicas each",
    sizes: [6, 12, 23, 46],
    build: (models) => buildConfiguration({ workspaces: 100, models }),
  }),
  stateQuantity("state-change", {
    per: "change of one workspace, kept for peers to fetch",
    sizes: [32, 64, 128, 256],
    build: buildChanges,
  }),
  stateQuantity("state-vm", {
    per: "VM in the membership view",
    sizes: [100, 200, 400, 800],
    build: buildView,
  }),
];

function stateQuantity(
  name: string,
  options: Pick<Quantity, "per" | "sizes"> & {
    build: (size: number) => unknown;
  },
): Quantity {
  const { per, sizes, build } = options;
  let warmUps = 0;
  return {
    name,
    unit: "bytes",
    per,
    sizes,
    method: HEAP_GROWTH,
    async measure(size) {
      // The first uses compile code, which would count as heap growth.
      for (; warmUps < WARM_UPS; warmUps += 1) {
        await heapGrowth(() => build(sizes[0]!));
      }
      return await heapGrowth(() => build(size));
    },
  };
}

async function buildSummaries(count: number, tokens?: number): Promise<Vm> {
  const vm = await createServingVm();
  for (let index = 0; index < count; index += 1) {
    vm.summaries.submit(sampleSummary(index, tokens), () => {});
  }
  await settle();
  return vm;
}

async function buildCalls(count: number): Promise<Vm> {
  const vm = await createServingVm();
  for (let i = 0; i < count; i += 1) void vm.calls.submit(sampleCall(i));
  await settle();
  return vm;
}

/** Creates a VM that serves one model and one service. */
async function createServingVm(): Promise<Vm> {
  const { vm, activateSnapshot } = createConfigurableVm({
    peers: ACCEPTING_PEERS,
  });
  await activateSnapshot(snapshotText({ workspaces: 1, models: 1 }));
  return vm;
}

function sampleCall(index: number): CallRequest {
  return {
    workspace: asId(`workspace-${index % TARGET_SIZE.workspaces}`),
    caller: asId(`caller-${index}`),
    request: asId(uuidOf(index)),
    service: asId("kirjaamo"),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: JSON.parse(
      JSON.stringify(String(index).padEnd(CALL_BODY_CHARACTERS)),
    ),
    deadlineAtMs: Date.now() + 600_000,
  };
}

async function buildRegistrations(count: number): Promise<Vm> {
  const vm = createStubVm();
  for (let index = 0; index < count; index += 1) {
    await vm.peerHandlers["summaries/register"]({
      registration: sampleRegistration(index),
      takeOver: false,
    });
  }
  return vm;
}

function buildSuspectEntries(count: number): Vm {
  const vm = createStubVm();
  for (let index = 0; index < count; index += 1) {
    const run = sampleRun(index);
    vm.peerHandlers["suspects/admit"]({ run, known: null });
    vm.peerHandlers["suspects/end"]({ run, ending: { kind: "finished" } });
  }
  return vm;
}

async function buildHomeKeys(count: number): Promise<Vm> {
  const vm = createStubVm({ listed: sampleVms(TARGET_SIZE.vms) });
  await fillView(vm);
  for (let i = 0; i < count; i += 1) vm.membership.homeOf(sampleKey(i));
  return vm;
}

function buildShard(replicas: number, runs: number): Shard {
  const shard = createShard(replicas);
  for (const endpoint of sampleEndpoints(replicas)) {
    const reportedRuns = endpoint.kind === "decode" ? runs : 1;
    const text = JSON.stringify(sampleReport(endpoint, reportedRuns));
    shard.state.applyReport(JSON.parse(text), performance.now());
  }
  return shard;
}

function buildWaiting(count: number): Shard {
  const shard = createShard(4);
  for (let index = 0; index < count; index += 1) {
    // A request for an isolated run waits until its deadline.
    const request = { ...sampleGrantRequest(index), alone: true };
    void shard.request(JSON.parse(JSON.stringify(request)));
  }
  return shard;
}

/** Creates a shard whose replicas have not sent a load report yet. */
export function createShard(replicas: number): Shard {
  let grants = 0;
  return new Shard({
    plan: sampleShard(replicas),
    policy: reserveThenPrefill,
    settings: () => ({
      betweenTokensTargetMs: TARGET_SIZE.betweenTokensMs,
      prefillWasteWeight: 0.5,
      weightOf: () => 1,
    }),
    random: () => 0.5,
    nextGrantId: () => {
      grants += 1;
      return `${uuidOf(1)}-${grants}`;
    },
  });
}

async function buildConfiguration(
  options: { workspaces: number; models: number },
): Promise<Vm> {
  const { vm, activateSnapshot } = createConfigurableVm();
  await activateSnapshot(snapshotText(options));
  return vm;
}

async function buildChanges(count: number): Promise<Vm> {
  const { vm, activateSnapshot, activateChange } = createConfigurableVm();
  await activateSnapshot(snapshotText({ workspaces: 100, models: 1 }));
  for (let index = 0; index < count; index += 1) {
    const current = vm.configuration.current()!;
    await activateChange(JSON.stringify(weightChange(current, 1)));
  }
  return vm;
}

async function buildView(count: number): Promise<Vm> {
  const listedVms = sampleVms(count);
  const vm = createStubVm({ listed: JSON.parse(JSON.stringify(listedVms)) });
  await fillView(vm);
  for (const { id } of listedVms) vm.membership.answerProbe(firstProbe(id));
  vm.membership.homeOf("a key");
  return vm;
}

/** Creates the first probe that a VM sends after its start. */
export function firstProbe(from: Probe["from"]): Probe {
  return {
    from,
    incarnation: asId(uuidOf(Number(from.slice(-4)))),
    statusVersion: 1,
    leaving: false,
    configurationVersion: 1,
    viewHash: 0,
    news: [],
  };
}

// Lets submitted work run until it waits for an endpoint that never finishes.
async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
