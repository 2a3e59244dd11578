/** VMs that stop as planned and are replaced, callers that keep addresses, endpoints that leave. */
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
/** Shortly before an answer to the address question runs out. */
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
  .map(([at, tokens]) =>
    step(`visitorSummary(${at}, ${tokens})`, (state, world) => {
      callerOf(state, { world, index: at }).sendSummary(tokens);
    })
  );

const sendCall = index.map((at) =>
  step(`visitorCall(${at})`, (state, world) => {
    callerOf(state, { world, index: at }).sendCall();
  })
);

const stopOne = index.map((at) =>
  step(`stopAndReplaceVm(${at})`, (_state, world) => replace(world, at))
);

const stopTwo = fc.tuple(index, index).map(([a, b]) =>
  step(`stopAndReplaceVms(${a}, ${b})`, (_state, world) => {
    replace(world, a);
    replace(world, b);
  })
);

const rollAll = fc.constant(null).map(() =>
  step("replaceAllVmsInTurn()", async (_state, world) => {
    const count = serving(world).length;
    for (let turn = 0; turn < count; turn += 1) {
      replace(world, 0);
      await world.advance(ROLLING_GAP_MS);
    }
  })
);

const stopUnderLongSummaries = index.map((at) =>
  step(`stopUnderLongSummaries(${at})`, async (state, world) => {
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      callerOf(state, { world, index: caller }).sendCall();
    }
    replace(world, at);
    await world.advance(LATE_MS);
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      callerOf(state, { world, index: caller }).sendSummary(LONG_TOKENS);
    }
  })
);

const leaveByReport = index.map((at) =>
  step(`leaveByReport(${at})`, (state, world) => {
    const address = pick(world.engines.keys(), at);
    if (!address || !hasPeerThatStays(state, { world, address })) return;
    const engine = world.engines.get(address)!;
    // Nothing shows that it leaves while its reports stand still.
    if (engine.reportsFrozen) return;
    engine.leave();
    recordOrdersWhileLeaving(state, { world, endpoint: address });
  })
);

const leaveByManifest = fc.tuple(index, index).map(([at, vm]) =>
  step(`leaveByManifest(${at}, ${vm})`, (state, world) => {
    const names = [...world.engines.keys(), ...world.services.keys()];
    const address = pick(names, at);
    if (!address || !hasPeerThatStays(state, { world, address })) return;
    void submitLeaving(state, { world, address, vm });
  })
);

/** Policies of VMs that lack one mechanism. */
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

/** Planned stops, addresses and leaving endpoints. */
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

function serving(world: World): string[] {
  return [...world.vms.keys()].filter((name) =>
    !world.stopStartedAtMs.has(name)
  );
}

/** Stops a VM as planned and starts another in its place. */
function replace(world: World, drawn: number): void {
  const names = serving(world);
  const name = pick(names, drawn);
  if (!name || names.length < 2 || world.vms.size >= MAX_VMS) return;
  world.addVm();
  void world.stopVm(name);
}

function kindOf(world: World, address: string): string {
  return world.engines.get(address)?.role ?? "service";
}

function hasPeerThatStays(
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
  const name = pick(serving(world), options.vm);
  const held = name && world.vms.get(name)!.configuration.current();
  if (!held) return;
  const outcome = await world.submitManifest(name, {
    submissionId: `leave-${address}-${performance.now()}`,
    scopes: {
      endpoints: {
        basedOn: held.head.scopes.endpoints!.version,
        body: held.bodies.endpoints.map((endpoint) =>
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
