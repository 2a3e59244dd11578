/** Fuzzes graceful shutdowns and replacements of VMs, callers that cache addresses, and endpoints that leave. */
import { Vm, type VmPolicies } from "@teaselvalve/core";
import fc from "fast-check";
import type { World } from "../../world/world.ts";
import {
  type FuzzCommand,
  type FuzzDomain,
  type Mutant,
  stateOf,
} from "../fuzz_domain.ts";
import { pick } from "./faults.ts";
import { VMS_CHECKS } from "./vms_checks.ts";
import {
  CALLER_COUNT,
  callerOf,
  createVmsState,
  recordOrdersWhileLeaving,
  VMS,
  type VmsState,
} from "./vms_state.ts";

const MAX_VMS = 7;
const MAX_TOKENS = 600;
const ROLLING_GAP_MS = 3_000;
/** Shortly before an address answer expires. */
const LATE_MS = 9_000;
const LONG_TOKENS = 1_000;

type Action = (state: VmsState, world: World) => Promise<void> | void;

function step(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      await action(stateOf<VmsState>(model, VMS), world);
    },
    toString: () => label,
  };
}

const index = fc.nat({ max: 11 });

const sendSummary = fc.tuple(index, fc.integer({ min: 5, max: MAX_TOKENS }))
  .map(([drawn, tokens]) =>
    step(`visitorSummary(${drawn}, ${tokens})`, (state, world) => {
      callerOf(state, { world, index: drawn }).sendSummary(tokens);
    })
  );

const sendCall = index.map((drawn) =>
  step(`visitorCall(${drawn})`, (state, world) => {
    callerOf(state, { world, index: drawn }).sendCall();
  })
);

const stopOne = index.map((drawn) =>
  step(`stopAndReplaceVm(${drawn})`, (_state, world) => replaceVm(world, drawn))
);

const stopTwo = fc.tuple(index, index).map(([a, b]) =>
  step(`stopAndReplaceVms(${a}, ${b})`, (_state, world) => {
    replaceVm(world, a);
    replaceVm(world, b);
  })
);

const rollAll = fc.constant(null).map(() =>
  step("replaceAllVmsInTurn()", async (_state, world) => {
    const count = servingVms(world).length;
    for (let turn = 0; turn < count; turn += 1) {
      replaceVm(world, 0);
      await world.advance(ROLLING_GAP_MS);
    }
  })
);

const stopUnderLongSummaries = index.map((drawn) =>
  step(`stopUnderLongSummaries(${drawn})`, async (state, world) => {
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      callerOf(state, { world, index: caller }).sendCall();
    }
    replaceVm(world, drawn);
    await world.advance(LATE_MS);
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      callerOf(state, { world, index: caller }).sendSummary(LONG_TOKENS);
    }
  })
);

const leaveByReport = index.map((drawn) =>
  step(`leaveByReport(${drawn})`, (state, world) => {
    const address = pick(world.engines.keys(), drawn);
    if (!address || !hasRemainingPeer(state, { world, address })) return;
    const engine = world.engines.get(address)!;
    // While its reports are frozen, no VM can see that it leaves.
    if (engine.reportsFrozen) return;
    engine.leave();
    recordOrdersWhileLeaving(state, { world, endpoint: address });
  })
);

const leaveByManifest = fc.tuple(index, index).map(([drawn, vm]) =>
  step(`leaveByManifest(${drawn}, ${vm})`, (state, world) => {
    const names = [...world.engines.keys(), ...world.services.keys()];
    const address = pick(names, drawn);
    if (!address || !hasRemainingPeer(state, { world, address })) return;
    void submitLeaving(state, { world, address, vm });
  })
);

/** Policies that remove one mechanism each. */
const MUTANTS: readonly { name: string; policies: VmPolicies }[] = [
  {
    name: "no wait for kept addresses",
    policies: { stop: { waitsForAddressTtl: false } },
  },
  { name: "a stop that does not drain", policies: { stop: { drains: false } } },
  {
    name: "a leaving VM that stays home",
    policies: { membership: { homeWhileLeaving: true } },
  },
];

/** Graceful shutdowns, address answers and leaving endpoints. */
export const VMS_DOMAIN: FuzzDomain = {
  name: VMS,
  createState: createVmsState,
  commands: [
    sendSummary,
    sendCall,
    stopOne,
    stopTwo,
    rollAll,
    stopUnderLongSummaries,
    leaveByReport,
    leaveByManifest,
  ],
  checks: VMS_CHECKS,
  mutants: MUTANTS.map(({ name, policies }): Mutant => ({
    name,
    createVm: (context) => new Vm(context, policies),
  })),
};

/** Returns the names of the running VMs whose shutdown has not started. */
function servingVms(world: World): string[] {
  return [...world.vms.keys()].filter((name) =>
    !world.stopStartedAtMs.has(name)
  );
}

/** Starts a new VM and shuts another one down gracefully. */
function replaceVm(world: World, drawn: number): void {
  const names = servingVms(world);
  const name = pick(names, drawn);
  if (!name || names.length < 2 || world.vms.size >= MAX_VMS) return;
  world.addVm();
  void world.stopVm(name);
}

function kindOf(world: World, address: string): string {
  return world.engines.get(address)?.role ?? "service";
}

function hasRemainingPeer(
  state: VmsState,
  options: { world: World; address: string },
): boolean {
  const { world, address } = options;
  const kind = kindOf(world, address);
  return [...world.engines.keys(), ...world.services.keys()].some((other) =>
    other !== address && !state.leavingEndpoints.has(other) &&
    kindOf(world, other) === kind
  );
}

async function submitLeaving(
  state: VmsState,
  options: { world: World; address: string; vm: number },
): Promise<void> {
  const { world, address } = options;
  const name = pick(servingVms(world), options.vm);
  const active = name && world.vms.get(name)!.configuration.current();
  if (!active) return;
  const outcome = await world.submitManifest(name, {
    submissionId: `leave-${address}-${performance.now()}`,
    scopes: {
      endpoints: {
        basedOn: active.head.scopes.endpoints!.version,
        body: active.bodies.endpoints.map((endpoint) =>
          endpoint.id === address || state.leavingEndpoints.has(endpoint.id)
            ? { ...endpoint, state: "leaving" }
            : endpoint
        ),
      },
    },
  }) as { kind: string };
  if (outcome.kind === "accepted") {
    recordOrdersWhileLeaving(state, { world, endpoint: address });
  }
}
