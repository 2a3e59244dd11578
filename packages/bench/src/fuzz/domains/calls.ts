/** Calls that may not be repeated: sent, sent again in every way, left; checked against what ran. */
import { asId, Vm, type VmPolicies } from "@teaselvalve/core";
import fc from "fast-check";
import { SERVICE, type World } from "../../world/world.ts";
import type { FuzzCommand, FuzzDomain, Mutant } from "../frame.ts";
import { partOf } from "../frame.ts";
import { CALL_CHECKS } from "./calls_checks.ts";
import { CALLS, type CallsPart, type Filing } from "./calls_part.ts";
import { pick } from "./faults.ts";

const MIN_DEADLINE_MS = 200;
const MAX_DEADLINE_MS = 12_000;
const CALLERS = ["lender-1", "lender-2"];

type Action = (part: CallsPart, world: World) => void;

function step(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    run(model, world) {
      action(partOf<CallsPart>(model, CALLS), world);
      return Promise.resolve();
    },
    toString: () => label,
  };
}

interface Sending {
  readonly filing: Filing;
  readonly vm: number;
  readonly caller: string;
  readonly body: string;
  readonly deadlineMs: number;
}

function send(part: CallsPart, world: World, sending: Sending): void {
  const vm = pick(world.vms.keys(), sending.vm);
  if (!vm) return;
  const { filing, caller, body, deadlineMs } = sending;
  const call = world.call(vm, {
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
  part.submissions.push({ call, filing });
}

const index = fc.nat({ max: 11 });
const deadline = fc.integer({ min: MIN_DEADLINE_MS, max: MAX_DEADLINE_MS });

const sendNew = fc.tuple(index, index, deadline).map(([vm, at, deadlineMs]) =>
  step(`sendCall(${vm}, ${at}, ${deadlineMs})`, (part, world) => {
    const number = part.filings.length + 1;
    const filing: Filing = {
      request: `filing-${number}`,
      caller: pick(CALLERS, at)!,
      body: JSON.stringify({ house: number }),
    };
    part.filings.push(filing);
    send(part, world, { ...filing, filing, vm, deadlineMs });
  })
);

const VARIANTS = ["same", "same", "same", "body", "caller"] as const;

const sendAgain = fc.tuple(
  index,
  index,
  fc.constantFrom(...VARIANTS),
  deadline,
).map(([at, vm, variant, deadlineMs]) =>
  step(
    `sendCallAgain(${at}, ${vm}, ${variant}, ${deadlineMs})`,
    (part, world) => {
      const filing = pick(part.filings.slice(-3), at);
      if (!filing) return;
      const { caller, body } = filing;
      const other = CALLERS.find((name) => name !== caller)!;
      send(part, world, {
        filing,
        vm,
        deadlineMs,
        caller: variant === "caller" ? other : caller,
        body: variant === "body" ? `${body} ` : body,
      });
    },
  )
);

const leave = index.map((at) =>
  step(
    `leaveCall(${at})`,
    (part) => pick(part.submissions.slice(-4), at)?.call.leave(),
  )
);

const stopService = index.map((at) =>
  step(`stopService(${at})`, (part, world) => {
    const name = pick(world.services.keys(), at);
    if (!name) return;
    part.stoppedServices.add(name);
    world.network.setUp(name, false);
  })
);

const startServices = fc.constant(null).map(() =>
  step("startServices()", (part, world) => startAll(part, world))
);

/** Calls to plain services that may not be repeated. */
export const CALLS_DOMAIN: FuzzDomain = {
  name: CALLS,
  createPart: (): CallsPart => ({
    filings: [],
    submissions: [],
    stoppedServices: new Set(),
    everStopped: new Set(),
    everFrozen: new Set(),
  }),
  commands: [sendNew, sendAgain, leave, stopService, startServices],
  checks: CALL_CHECKS,
  mutants: [
    mutant("claim before send", { claimsBeforeSend: () => false }),
    mutant("the same token when repeated", {
      tokenOfRepeat: (token, attempt) =>
        attempt === 0 ? token : `${token}-${attempt}`,
    }),
    mutant("check after a freeze", { checkSend: () => "send" }),
    mutant("release only by the claimant", {
      judgeClaim: ({ claimantGone, claimantReached }) =>
        claimantGone ? "mark-unknown" : claimantReached ? "ask" : "release",
    }),
    mutant("no retry after the first byte", { mayTryAnother: () => true }),
  ],
  heal: (model, world) => startAll(partOf<CallsPart>(model, CALLS), world),
};

function mutant(name: string, calls: VmPolicies["calls"]): Mutant {
  return {
    name: `calls: ${name}`,
    createVm: (context) => new Vm(context, { calls }),
  };
}

function startAll(part: CallsPart, world: World): void {
  for (const name of part.stoppedServices) {
    part.everStopped.add(name);
    world.network.setUp(name, true);
  }
  part.stoppedServices.clear();
}
