/** Memory that each thing in a VM's state takes, as growth of the heap. */
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
const RUNS = Math.round(DERIVED.runsPerDecode);
const WARM_UPS = 3;
const HEAP = "heap growth after garbage collection";

/** Quantities of memory. */
export const STATE_QUANTITIES: readonly Quantity[] = [
  stateQuantity("state-summary", {
    per: "summary in flight, with its prompt",
    sizes: [250, 500, 1_000, 2_000],
    build: buildSummaries,
  }),
  stateQuantity("state-prompt-token", {
    per: "prompt token of 200 summaries in flight",
    sizes: [500, 1_000, 2_000, 4_000],
    build: (tokens) => buildSummaries(200, tokens),
  }),
  stateQuantity("state-call", {
    per: "call in flight, body of 2,000 characters",
    sizes: [250, 500, 1_000, 2_000],
    build: buildCalls,
  }),
  stateQuantity("state-registration", {
    per: "registration at a key's home",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildRegistrations,
  }),
  stateQuantity("state-suspect-entry", {
    per: "request body known to its hash's home",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildSuspectEntries,
  }),
  stateQuantity("state-home-key", {
    per: "key whose home is remembered",
    sizes: [1_000, 2_000, 4_000, 8_000],
    build: buildHomeKeys,
  }),
  stateQuantity("state-replica", {
    per: `replica at a shard's home, ${RUNS} runs on each`,
    sizes: [4, 8, 16, 32],
    build: (replicas) => buildShard(replicas, RUNS),
  }),
  stateQuantity("state-reported-run", {
    per: "run on each of 16 replicas at a shard's home",
    sizes: [16, 32, 64, 128],
    build: (runs) => buildShard(16, runs),
  }),
  stateQuantity("state-waiting-grant", {
    per: "grant that waits at a shard's home",
    sizes: [100, 200, 400, 800],
    build: buildWaiting,
  }),
  stateQuantity("state-workspace", {
    per: "workspace of the configuration in force, 4 tokens each",
    sizes: [725, 1_450, 2_900, 5_800],
    build: (workspaces) => buildConfiguration({ workspaces, models: 23 }),
  }),
  stateQuantity("state-model", {
    per: "model of the configuration in force, 26 replicas each",
    sizes: [6, 12, 23, 46],
    build: (models) => buildConfiguration({ workspaces: 100, models }),
  }),
  stateQuantity("state-change", {
    per: "change of one workspace that is kept for peers",
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
  let warmed = 0;
  return {
    name,
    unit: "bytes",
    per,
    sizes,
    method: HEAP,
    async measure(size) {
      // Code that is compiled at the first use is no state.
      for (; warmed < WARM_UPS; warmed += 1) {
        await heapGrowth(() => build(sizes[0]!));
      }
      return await heapGrowth(() => build(size));
    },
  };
}

async function buildSummaries(count: number, tokens?: number): Promise<Vm> {
  const vm = await createServingVm();
  for (let at = 0; at < count; at += 1) {
    vm.summaries.submit(sampleSummary(at, tokens), () => {});
  }
  await settle();
  return vm;
}

async function buildCalls(count: number): Promise<Vm> {
  const vm = await createServingVm();
  for (let at = 0; at < count; at += 1) void vm.calls.submit(sampleCall(at));
  await settle();
  return vm;
}

/** A VM of one model and one service. */
async function createServingVm(): Promise<Vm> {
  const { vm, activateSnapshot: adoptSnapshot } = createConfigurableVm({
    peers: ACCEPTING_PEERS,
  });
  await adoptSnapshot(snapshotText({ workspaces: 1, models: 1 }));
  return vm;
}

function sampleCall(at: number): CallRequest {
  return {
    workspace: asId(`workspace-${at % TARGET_SIZE.workspaces}`),
    caller: asId(`caller-${at}`),
    request: asId(uuidOf(at)),
    service: asId("kirjaamo"),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: JSON.parse(JSON.stringify(String(at).padEnd(CALL_BODY_CHARACTERS))),
    deadlineAtMs: Date.now() + 600_000,
  };
}

async function buildRegistrations(count: number): Promise<Vm> {
  const vm = createStubVm();
  for (let at = 0; at < count; at += 1) {
    await vm.peerHandlers["summaries/register"]({
      registration: sampleRegistration(at),
      takeOver: false,
    });
  }
  return vm;
}

function buildSuspectEntries(count: number): Vm {
  const vm = createStubVm();
  for (let at = 0; at < count; at += 1) {
    const run = sampleRun(at);
    vm.peerHandlers["suspects/admit"]({ run, known: null });
    vm.peerHandlers["suspects/end"]({ run, ending: { kind: "finished" } });
  }
  return vm;
}

async function buildHomeKeys(count: number): Promise<Vm> {
  const vm = createStubVm({ listed: sampleVms(TARGET_SIZE.vms) });
  await fillView(vm);
  for (let at = 0; at < count; at += 1) vm.membership.homeOf(sampleKey(at));
  return vm;
}

function buildShard(replicas: number, runs: number): Shard {
  const shard = createShard(replicas);
  for (const endpoint of sampleEndpoints(replicas)) {
    const listed = endpoint.kind === "decode" ? runs : 1;
    const text = JSON.stringify(sampleReport(endpoint, listed));
    shard.state.applyReport(JSON.parse(text), performance.now());
  }
  return shard;
}

function buildWaiting(count: number): Shard {
  const shard = createShard(4);
  for (let at = 0; at < count; at += 1) {
    // Requests that must run alone wait as long as their deadline allows.
    const request = { ...sampleGrantRequest(at), alone: true };
    void shard.request(JSON.parse(JSON.stringify(request)));
  }
  return shard;
}

/** Creates a shard whose replicas have not reported yet. */
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
  const { vm, activateSnapshot: adoptSnapshot } = createConfigurableVm();
  await adoptSnapshot(snapshotText(options));
  return vm;
}

async function buildChanges(count: number): Promise<Vm> {
  const { vm, activateSnapshot: adoptSnapshot, activateChange: adoptChange } =
    createConfigurableVm();
  await adoptSnapshot(snapshotText({ workspaces: 100, models: 1 }));
  for (let at = 0; at < count; at += 1) {
    const held = vm.configuration.current()!;
    await adoptChange(JSON.stringify(weightChange(held, 1)));
  }
  return vm;
}

async function buildView(count: number): Promise<Vm> {
  const listed = sampleVms(count);
  const vm = createStubVm({ listed: JSON.parse(JSON.stringify(listed)) });
  await fillView(vm);
  for (const { id } of listed) vm.membership.answerProbe(firstProbe(id));
  vm.membership.homeOf("a key");
  return vm;
}

/** The first probe that a VM sends. */
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

// Lets what was started get as far as it can without an answer from outside.
async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
