/** Fuzzes summaries: sends, repeats, resumes and abandons them, and checks what each caller received. */
import { asId, type SummaryPolicies, Vm } from "@teaselvalve/core";
import fc from "fast-check";
import { MODEL, type World } from "../../world/world.ts";
import type { FuzzCommand, FuzzDomain, Mutant } from "../fuzz_domain.ts";
import { stateOf } from "../fuzz_domain.ts";
import { cut, FAULTS, type FaultsState, pick } from "./faults.ts";
import { SUMMARY_CHECKS } from "./summaries_checks.ts";
import {
  type RequestedSummary,
  SUMMARIES,
  type SummariesState,
} from "./summaries_state.ts";

const CALLERS = ["lender-1", "lender-2"];
const MIN_DEADLINE_MS = 1_000;
const MAX_DEADLINE_MS = 30_000;
const MAX_TOKENS = 10_000;
/** Takes longer than a run of the fuzzer; the caller disconnects or the deadline passes first. */
const ENDLESS_TOKENS = 8_000;
const MAX_DELAY_MS = 400;
/** Longer than a VM waits for the acknowledgement of a cancel. */
const CUT_MS = 600;
/** Longer than VMs need to agree again on the owner of a stream. */
const FROZEN_MS = 5_000;
/** Longer than the latency from a caller to a VM. */
const ARRIVAL_MS = 10;
/** Length of a prompt with a noticeable prefill and transfer time. */
const LONG_PROMPT_CHARS = 40_000;

type Action = (state: SummariesState, world: World) => void;

function step(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    run(model, world) {
      action(stateOf<SummariesState>(model, SUMMARIES), world);
      return Promise.resolve();
    },
    toString: () => label,
  };
}

interface Sending {
  /** Drawn number that picks the VM. */
  readonly vm: number;
  readonly deadlineMs: number;
  readonly fromOffset?: number;
}

function send(
  state: SummariesState,
  world: World,
  options: { requested: RequestedSummary; sending: Sending },
): void {
  const { requested, sending } = options;
  const vm = pick(world.vms.keys(), sending.vm);
  if (!vm) return;
  const summary = world.sendSummary(vm, {
    workspace: asId("lenders"),
    caller: asId(requested.caller),
    request: asId(requested.request),
    model: asId(MODEL),
    prompt: requested.prompt,
    maxTokens: MAX_TOKENS,
    fromOffset: sending.fromOffset ?? 0,
    deadlineAtMs: Date.now() + sending.deadlineMs,
  });
  const identity =
    `${requested.caller} ${requested.request} ${requested.prompt}`;
  const vmWasFrozen = world.network.isFrozen(vm);
  state.attachments.push({
    summary,
    requested,
    identity,
    vmWasFrozen,
  });
}

const index = fc.nat({ max: 11 });
const deadline = fc.integer({ min: MIN_DEADLINE_MS, max: MAX_DEADLINE_MS });
const length = fc.oneof(
  fc.integer({ min: 1, max: 60 }),
  fc.integer({ min: 100, max: 600 }),
  fc.constant(ENDLESS_TOKENS),
);

function promptOf(options: {
  number: number;
  tokens: number;
  mark?: string;
  long?: boolean;
}): string {
  const { number, tokens, mark = "", long = false } = options;
  const padding = long ? "x".repeat(LONG_PROMPT_CHARS) : "";
  return `summary ${number} ${mark}[length=${tokens}]${padding}`;
}

const sendNew = fc.record({
  vm: index,
  caller: index,
  tokens: length,
  deadlineMs: deadline,
  long: fc.boolean(),
}).map(({ vm, caller, tokens, deadlineMs, long }) =>
  step(
    `sendSummary(${vm}, ${caller}, ${tokens}, ${deadlineMs}, ${long})`,
    (state, world) => {
      const number = state.requested.length + 1;
      const requested: RequestedSummary = {
        request: `summary-${number}`,
        caller: pick(CALLERS, caller)!,
        prompt: promptOf({ number, tokens, long }),
        poison: false,
      };
      state.requested.push(requested);
      send(state, world, { requested, sending: { vm, deadlineMs } });
    },
  )
);

const sendPoison = fc.tuple(index, deadline).map(([vm, deadlineMs]) =>
  step(`sendPoison(${vm}, ${deadlineMs})`, (state, world) => {
    const number = state.requested.length + 1;
    const requested: RequestedSummary = {
      request: `summary-${number}`,
      caller: CALLERS[0]!,
      // All poison requests of a run share one prompt, so that the system sees one request under several keys.
      prompt: promptOf({ number: 0, tokens: 20, mark: "[crash]" }),
      poison: true,
    };
    state.requested.push(requested);
    send(state, world, { requested, sending: { vm, deadlineMs } });
  })
);

const VARIANTS = ["same", "same", "same", "body", "caller"] as const;

const sendAgain = fc.record({
  drawn: index,
  vm: index,
  variant: fc.constantFrom(...VARIANTS),
  deadlineMs: deadline,
}).map(({ drawn, vm, variant, deadlineMs }) =>
  step(
    `sendSummaryAgain(${drawn}, ${vm}, ${variant}, ${deadlineMs})`,
    (state, world) => {
      const recent = pick(state.requested.slice(-3), drawn);
      if (!recent) return;
      const { caller, prompt } = recent;
      const requested: RequestedSummary = {
        ...recent,
        caller: variant === "caller"
          ? CALLERS.find((name) => name !== caller)!
          : caller,
        prompt: variant === "body" ? `other ${prompt}` : prompt,
      };
      send(state, world, { requested, sending: { vm, deadlineMs } });
    },
  )
);

const resume = fc.tuple(index, index, fc.boolean(), deadline).map((
  [drawn, vm, leaveFirst, deadlineMs],
) =>
  step(
    `resumeSummary(${drawn}, ${vm}, ${leaveFirst}, ${deadlineMs})`,
    (state, world) => {
      const recent = pick(state.attachments.slice(-3), drawn);
      if (!recent) return;
      if (leaveFirst) recent.summary.close();
      const { requested, summary } = recent;
      const fromOffset = summary.nextOffset;
      send(state, world, {
        requested,
        sending: { vm, deadlineMs, fromOffset },
      });
    },
  )
);

const leave = index.map((drawn) =>
  step(
    `leaveSummary(${drawn})`,
    (state) => pick(state.attachments.slice(-4), drawn)?.summary.close(),
  )
);

const delayNext = fc.tuple(
  index,
  index,
  fc.integer({ min: 5, max: MAX_DELAY_MS }),
).map(([from, to, delayMs]) =>
  step(`delayNext(${from}, ${to}, ${delayMs})`, (_state, world) => {
    const vm = pick(world.vms.keys(), from);
    const engine = pick(world.engines.keys(), to);
    if (vm && engine) world.network.delayNext(vm, engine, delayMs);
  })
);

/** Cuts the VM of a recent connection off from all engines; the caller may close that connection. */
const cutFromEngines = fc.tuple(index, fc.boolean()).map((
  [drawn, leaves],
): FuzzCommand => ({
  check: () => true,
  run(model, world) {
    const state = stateOf<SummariesState>(model, SUMMARIES);
    const recent = pick(state.attachments.slice(-3), drawn);
    if (!recent || !world.vms.has(recent.summary.vm)) return Promise.resolve();
    const faults = stateOf<FaultsState>(model, FAULTS);
    faults.anyOccurred = true;
    for (const engine of world.engines.keys()) {
      cut(faults, { world, pair: [recent.summary.vm, engine] });
    }
    if (leaves) recent.summary.close();
    return world.advance(CUT_MS);
  },
  toString: () => `cutFromEngines(${drawn}, ${leaves})`,
}));

/** Freezes the VM of a recent connection and resumes the request, mostly at another VM, before the first one thaws. */
const resumeWhileFrozen = fc.tuple(index, index, deadline).map((
  [drawn, to, deadlineMs],
): FuzzCommand => ({
  check: () => true,
  async run(model, world) {
    const state = stateOf<SummariesState>(model, SUMMARIES);
    const recent = pick(state.attachments.slice(-3), drawn);
    const name = recent?.summary.vm;
    const faults = stateOf<FaultsState>(model, FAULTS);
    if (!recent || !name || world.network.isFrozen(name)) return;
    faults.anyOccurred = true;
    faults.affectedVms.add(name);
    // Requests sent just before must have arrived.
    await world.advance(ARRIVAL_MS);
    world.network.freeze(name);
    const { requested, summary } = recent;
    const fromOffset = summary.nextOffset;
    const sending = { vm: to, deadlineMs, fromOffset };
    send(state, world, { requested, sending });
    await world.advance(FROZEN_MS);
    world.network.thaw(name);
  },
  toString: () => `resumeWhileFrozen(${drawn}, ${to}, ${deadlineMs})`,
}));

const advanceBriefly = fc.integer({ min: 1, max: 60 }).map((
  ms,
): FuzzCommand => ({
  check: () => true,
  run: (_model, world) => world.advance(ms),
  toString: () => `advance(${ms})`,
}));

function mutant(name: string, summaries: Partial<SummaryPolicies>): Mutant {
  return {
    name: `summaries: ${name}`,
    createVm: (context) => new Vm(context, { summaries }),
  };
}

/** Summaries: streams, resumes, cancels and requests that crash engines. */
export const SUMMARIES_DOMAIN: FuzzDomain = {
  name: SUMMARIES,
  createState: (): SummariesState => ({
    requested: [],
    attachments: [],
    healthySinceMs: Date.now(),
    everCut: false,
  }),
  commands: [
    sendNew,
    sendNew,
    sendAgain,
    resume,
    leave,
    sendPoison,
    delayNext,
    cutFromEngines,
    resumeWhileFrozen,
    advanceBriefly,
  ],
  checks: SUMMARY_CHECKS,
  // All faults are healed before this runs; from here on none prevents cleanup.
  heal(model) {
    stateOf<SummariesState>(model, SUMMARIES).healthySinceMs = Date.now();
  },
  mutants: [
    mutant("supersede", { takesOver: () => false }),
    mutant("offset and epoch check", {
      isStale: () => false,
      isNext: () => true,
    }),
    mutant("sweep", { isOrphan: () => false }),
    mutant("cancel repeat", { repeatsCancel: () => false }),
    mutant("check after a freeze", { isFreeze: () => false }),
    mutant("conviction", { checksSuspects: () => false }),
    {
      name: "summaries: early cancels",
      createVm: (context) => new Vm(context),
      world: { refusesCancelled: false },
    },
  ],
};
