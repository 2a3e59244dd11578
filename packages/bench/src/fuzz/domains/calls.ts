/** Fuzzes calls that must run at most once: sends, repeats and abandons them, and checks them against the services' runs. */
import { asId, Vm, type VmPolicies } from "@teaselvalve/core";
import { PLATFORM_HOST } from "@teaselvalve/fakes";
import fc from "fast-check";
import { SERVICE, type World } from "../../world/world.ts";
import {
  type FuzzCommand,
  type FuzzDomain,
  type FuzzModel,
  type Mutant,
  stateOf,
} from "../fuzz_domain.ts";
import { CALL_CHECKS } from "./calls_checks.ts";
import { CALLS, type CallsState, type Filing } from "./calls_state.ts";
import { FAULTS, type FaultsState, pick } from "./faults.ts";

const MIN_DEADLINE_MS = 200;
const MAX_DEADLINE_MS = 12_000;
/** Longest duration of a call to a plain service. */
const MAX_SERVICE_MS = 4_000;
/** Duration of a call to a plain service once all faults are healed. */
const HEALED_SERVICE_MS = 20;
/** Longest freeze by `sendIntoFault`; the cuts that it makes last until all paths are healed. */
const MAX_FAULT_MS = 20_000;
const CALLERS = ["lender-1", "lender-2"];

type Action = (
  state: CallsState,
  world: World,
  model: FuzzModel,
) => Promise<void> | void;

function step(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      await action(stateOf<CallsState>(model, CALLS), world, model);
    },
    toString: () => label,
  };
}

interface Sending {
  readonly filing: Filing;
  /** Drawn number that picks the VM. */
  readonly vm: number;
  readonly caller: string;
  readonly body: string;
  readonly deadlineMs: number;
}

function send(
  state: CallsState,
  world: World,
  sending: Sending,
): string | undefined {
  const vm = pick(world.vms.keys(), sending.vm);
  if (!vm) return undefined;
  const { filing, caller, body, deadlineMs } = sending;
  const call = world.sendCall(vm, {
    workspace: asId("lenders"),
    caller: asId(caller),
    request: asId(filing.request),
    service: asId(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body,
    deadlineAtMs: Date.now() + deadlineMs,
  });
  state.submissions.push({ call, filing });
  return vm;
}

function createFiling(state: CallsState, callerIndex: number): Filing {
  const number = state.filings.length + 1;
  const filing: Filing = {
    request: `filing-${number}`,
    caller: pick(CALLERS, callerIndex)!,
    body: JSON.stringify({ house: number }),
  };
  state.filings.push(filing);
  return filing;
}

const index = fc.nat({ max: 11 });
const deadline = fc.integer({ min: MIN_DEADLINE_MS, max: MAX_DEADLINE_MS });

const sendNew = fc.tuple(index, index, deadline).map((
  [vm, callerIndex, deadlineMs],
) =>
  step(`sendCall(${vm}, ${callerIndex}, ${deadlineMs})`, (state, world) => {
    const filing = createFiling(state, callerIndex);
    send(state, world, { ...filing, filing, vm, deadlineMs });
  })
);

// Faults within the few milliseconds of a claim, which randomly timed faults seldom hit.
const MID_CLAIM_FAULTS = ["freeze", "cut from its peers", "silence"] as const;
type MidClaimFault = (typeof MID_CLAIM_FAULTS)[number];

const sendIntoFault = fc.record({
  vm: index,
  callerIndex: index,
  deadlineMs: deadline,
  afterMs: fc.oneof(
    // While the claim's commit is in flight.
    fc.integer({ min: 4, max: 7 }),
    fc.integer({ min: 1, max: 30 }),
  ),
  fault: fc.constantFrom(...MID_CLAIM_FAULTS),
  forMs: fc.integer({ min: 500, max: MAX_FAULT_MS }),
  /** Index of the VM that receives the same filing again, right after the fault. */
  again: fc.option(index, { nil: undefined }),
}).map((drawn) =>
  step(
    `sendCallIntoFault(${Object.values(drawn).join(", ")})`,
    async (state, world, model) => {
      const filing = createFiling(state, drawn.callerIndex);
      const name = send(state, world, { ...filing, filing, ...drawn });
      if (!name) return;
      await world.advance(drawn.afterMs);
      const faults = stateOf<FaultsState>(model, FAULTS);
      faults.anyOccurred = true;
      faults.affectedVms.add(name);
      injectFault({ faults, world, name, ...drawn });
      if (drawn.again === undefined) return;
      send(state, world, { ...filing, filing, ...drawn, vm: drawn.again });
    },
  )
);

function injectFault(options: {
  faults: FaultsState;
  world: World;
  name: string;
  fault: MidClaimFault;
  forMs: number;
}): void {
  const { faults, world, name, forMs } = options;
  if (!world.vms.has(name) || faults.frozen.has(name)) return;
  const { network } = world;
  if (options.fault === "silence") return network.silence(name, PLATFORM_HOST);
  if (options.fault === "freeze") {
    faults.frozen.add(name);
    network.freeze(name);
    world.timers.runDetached(() =>
      setTimeout(() => {
        if (faults.frozen.delete(name)) network.thaw(name);
      }, forMs)
    );
    return;
  }
  for (const peer of world.vms.keys()) {
    if (peer === name) continue;
    faults.cuts.set(`${name} ${peer}`, [name, peer]);
    network.cut(name, peer);
  }
}

const VARIANTS = ["same", "same", "same", "body", "caller"] as const;

const sendAgain = fc.tuple(
  index,
  index,
  fc.constantFrom(...VARIANTS),
  deadline,
).map(([drawn, vm, variant, deadlineMs]) =>
  step(
    `sendCallAgain(${drawn}, ${vm}, ${variant}, ${deadlineMs})`,
    (state, world) => {
      const filing = pick(state.filings.slice(-3), drawn);
      if (!filing) return;
      const { caller, body } = filing;
      const other = CALLERS.find((name) => name !== caller)!;
      send(state, world, {
        filing,
        vm,
        deadlineMs,
        caller: variant === "caller" ? other : caller,
        body: variant === "body" ? `${body} ` : body,
      });
    },
  )
);

const leave = index.map((drawn) =>
  step(
    `leaveCall(${drawn})`,
    (state) => pick(state.submissions.slice(-4), drawn)?.call.close(),
  )
);

const stopService = index.map((drawn) =>
  step(`stopService(${drawn})`, (state, world) => {
    const name = pick(world.services.keys(), drawn);
    if (!name) return;
    state.stoppedServices.add(name);
    world.network.setUp(name, false);
  })
);

const slowServices = fc.integer({ min: 20, max: MAX_SERVICE_MS }).map((ms) =>
  step(`slowServices(${ms})`, (_state, world) => setServiceTime(world, ms))
);

const startServices = fc.constant(null).map(() =>
  step("startServices()", (state, world) => startStoppedServices(state, world))
);

/** Calls to plain services that must run at most once. */
export const CALLS_DOMAIN: FuzzDomain = {
  name: CALLS,
  createState: (): CallsState => ({
    filings: [],
    submissions: [],
    stoppedServices: new Set(),
    restartedServices: new Set(),
  }),
  world: { prefills: 0, decodes: 0 },
  commands: [
    sendNew,
    sendIntoFault,
    sendAgain,
    leave,
    stopService,
    startServices,
    slowServices,
  ],
  checks: CALL_CHECKS,
  mutants: [
    mutant("claim before send", { claimsBeforeSend: () => false }),
    mutant("the same token when repeated", {
      retryToken: (token, attempt) =>
        attempt === 0 ? token : `${token}-${attempt}`,
    }),
    mutant("check after a freeze", { checkSend: () => "send" }),
    mutant("check of the deadline", {
      checkSend: ({ callerDisconnected }) =>
        callerDisconnected ? "caller-gone" : "send",
    }),
    mutant("release only by the claimant", {
      decideClaim: (
        { claimantLost, claimantResponded },
      ) =>
        claimantLost ? "mark-unknown" : claimantResponded ? "ask" : "release",
    }),
    mutant("no retry after the first byte", {
      mayTryAnotherReplica: () => true,
    }),
  ],
  heal(model, world) {
    startStoppedServices(stateOf<CallsState>(model, CALLS), world);
    setServiceTime(world, HEALED_SERVICE_MS);
  },
};

function mutant(name: string, calls: VmPolicies["calls"]): Mutant {
  return {
    name: `calls: ${name}`,
    createVm: (context) => new Vm(context, { calls }),
  };
}

function startStoppedServices(state: CallsState, world: World): void {
  for (const name of state.stoppedServices) {
    state.restartedServices.add(name);
    world.network.setUp(name, true);
  }
  state.stoppedServices.clear();
}

function setServiceTime(world: World, ms: number): void {
  for (const service of world.services.values()) service.durationMs = ms;
}
