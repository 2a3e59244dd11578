/** Runs one scenario in a world on a paused clock. */
import {
  asId,
  type CallRequest,
  type SubmissionOutcome,
  type SummaryRequest,
} from "@teaselvalve/core";
import {
  expectedAnswer,
  FakePrefillEngine,
  type Host,
} from "@teaselvalve/fakes";
import type { Mutant } from "../fuzz/frame.ts";
import type { CallerCall, CallerSummary } from "../world/caller.ts";
import { MODEL, SERVICE, World } from "../world/world.ts";
import { checkExpectation } from "./check_expectation.ts";
import { parseScenario } from "./parse.ts";
import type { Statement } from "./types.ts";

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
  /** Takes one mechanism away. */
  mutant?: Mutant;
}

/** What a scenario came to. */
export interface ScenarioReport {
  readonly title: string;
  /** Mutants that must make it fail. */
  readonly without: readonly string[];
  /** Expectations that did not hold. */
  readonly failures: readonly string[];
}

/** One caller's newest request. */
export type CallerRequest =
  | { readonly kind: "filing"; readonly call: CallerCall }
  | {
    readonly kind: "summary";
    readonly summary: CallerSummary;
    readonly expectedText: string;
  };

/** What a running scenario knows. */
export interface ScenarioState {
  readonly world: World;
  readonly requests: Map<string, CallerRequest>;
  readonly submissionOutcomes: Map<string, SubmissionOutcome>;
  /** Orders that an engine had seen a while after it began to leave. */
  readonly ordersAfterLeaving: Map<Host, number>;
}

const DEFAULT_SEED = 1;
const DEFAULT_DEADLINE_MS = 20_000;
const DEFAULT_TOKENS = 40;
const MAX_TOKENS = 2_000;
const LEAVE_GRACE_MS = 3_000;
const CRASH_MARK = "[crash]";

type Send = Extract<Statement, { kind: "send" }>;

/** Runs a scenario's text. */
export async function runScenario(
  text: string,
  options: RunScenarioOptions = {},
): Promise<ScenarioReport> {
  const statements = parseScenario(text);
  const failures: string[] = [];
  const seed = find(statements, "seed")?.seed ?? DEFAULT_SEED;
  const world = await World.create({
    seed,
    createVm: options.mutant?.createVm,
    ...options.mutant?.world,
  });
  const state: ScenarioState = {
    world,
    requests: new Map(),
    submissionOutcomes: new Map(),
    ordersAfterLeaving: new Map(),
  };
  try {
    for (const statement of statements) {
      if (statement.kind === "expect") {
        const wrong = checkExpectation(statement.expectation, state);
        if (wrong) failures.push(wrong);
      } else await carryOut(statement, state);
    }
  } finally {
    world.close();
  }
  return {
    title: find(statements, "title")?.title ?? "Untitled",
    without: statements.flatMap((one) =>
      one.kind === "without" ? [one.mutant] : []
    ),
    failures,
  };
}

/** Lists the mutants that a scenario names. */
export function mutantsOf(text: string): string[] {
  return parseScenario(text).flatMap((one) =>
    one.kind === "without" ? [one.mutant] : []
  );
}

async function carryOut(
  statement: Exclude<Statement, { kind: "expect" }>,
  state: ScenarioState,
): Promise<void> {
  const { world } = state;
  switch (statement.kind) {
    case "title":
    case "without":
    case "seed":
      return;
    case "wait":
      return await world.advance(statement.ms);
    case "send":
      return send(statement, state);
    case "leave":
      return leave(statement.caller, state);
    case "dies":
      return world.killVm(statement.vm);
    case "replaced":
      world.killVm(statement.vm);
      world.addVm();
      return;
    case "freezes":
      world.network.freeze(statement.vm);
      world.timers.runDetached(() =>
        setTimeout(() => world.network.thaw(statement.vm), statement.ms)
      );
      return;
    case "stops":
      void world.stopVm(statement.vm);
      return;
    case "cut":
      return world.network.cut(statement.a, statement.b);
    case "heal":
      return world.network.heal(statement.a, statement.b);
    case "silent":
      return world.network.silence(statement.a, statement.b);
    case "platform":
      return switchPlatform(statement, world);
    case "crashes":
      return world.crashEngine(statement.engine);
    case "restarts":
      return world.restartEngine(statement.engine);
    case "leavesPool":
      return leavePool(statement.engine, state);
    case "stall":
      return stall(statement, world);
    case "reportsStop":
      return world.engines.get(statement.engine)?.freezeReports(true);
    case "manifest":
      return submit(statement, state);
  }
}

function send(statement: Send, state: ScenarioState): void {
  const { world, requests: asks } = state;
  if (statement.what === "filing") {
    const call = world.call(statement.vm, toCall(statement));
    asks.set(statement.caller, { kind: "filing", call });
    return;
  }
  const request = toSummary(statement, state);
  const summary = world.summary(statement.vm, request);
  const answer = expectedAnswer(
    { text: request.prompt, tokens: 0, blocks: [] },
    tokensOf(statement),
  );
  asks.set(statement.caller, {
    kind: "summary",
    summary,
    expectedText: answer,
  });
}

function toCall(statement: Send): CallRequest {
  return {
    workspace: asId("lenders"),
    caller: asId(statement.caller.split("-")[0]!),
    request: asId(statement.key),
    service: asId(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: option(statement, "body")?.body ?? "{}",
    deadlineAtMs: deadlineOf(statement),
  };
}

function toSummary(statement: Send, state: ScenarioState): SummaryRequest {
  const body = option(statement, "body")?.body ?? "Summarise";
  const crash = option(statement, "crashes") ? CRASH_MARK : "";
  return {
    workspace: asId("lenders"),
    caller: asId(statement.caller.split("-")[0]!),
    request: asId(statement.key),
    model: asId(MODEL),
    prompt: `${body} [length=${tokensOf(statement)}]${crash}`,
    maxTokens: MAX_TOKENS,
    fromOffset: offsetOf(statement, state),
    deadlineAtMs: deadlineOf(statement),
  };
}

function offsetOf(statement: Send, state: ScenarioState): number {
  const earlier = option(statement, "after")?.caller;
  const ask = earlier === undefined ? undefined : state.requests.get(earlier);
  if (ask?.kind === "summary") return ask.summary.nextOffset;
  return option(statement, "offset")?.offset ?? 0;
}

function tokensOf(statement: Send): number {
  return option(statement, "tokens")?.tokens ?? DEFAULT_TOKENS;
}

function deadlineOf(statement: Send): number {
  return Date.now() + (option(statement, "within")?.ms ?? DEFAULT_DEADLINE_MS);
}

function option<K extends Send["options"][number]["kind"]>(
  statement: Send,
  kind: K,
): Extract<Send["options"][number], { kind: K }> | undefined {
  return statement.options.find((one) => one.kind === kind) as never;
}

function leave(caller: string, state: ScenarioState): void {
  const ask = state.requests.get(caller);
  if (ask?.kind === "summary") ask.summary.leave();
}

function leavePool(engine: Host, state: ScenarioState): void {
  state.world.engines.get(engine)?.leave();
  state.world.timers.runDetached(() =>
    setTimeout(() => {
      const seen = state.world.engines.get(engine)?.ordersSeen ?? 0;
      state.ordersAfterLeaving.set(engine, seen);
    }, LEAVE_GRACE_MS)
  );
}

function stall(
  statement: Extract<Statement, { kind: "stall" }>,
  world: World,
): void {
  const engine = world.engines.get(statement.engine);
  if (engine instanceof FakePrefillEngine) engine.link.stall(statement.stalled);
}

function switchPlatform(
  statement: Extract<Statement, { kind: "platform" }>,
  world: World,
): void {
  const faults = world.platformFaults;
  switch (statement.state) {
    case "down":
      faults.down = true;
      return;
    case "up":
      faults.down = false;
      faults.delayMs = 0;
      return;
    case "slow":
      faults.delayMs = statement.ms ?? 0;
      return;
    case "loses":
      faults.loseReplies += statement.count ?? 1;
  }
}

function submit(
  statement: Extract<Statement, { kind: "manifest" }>,
  state: ScenarioState,
): void {
  const { id, vm, scope, basedOn } = statement;
  const body = scope === "workspaces"
    ? [{ id: "lenders" }, { id: "offices" }, { id: statement.operator }]
    : { name: `world-${statement.operator}`, services: [{ name: SERVICE }] };
  const manifest = { submissionId: id, scopes: { [scope]: { basedOn, body } } };
  void state.world.submitManifest(vm, manifest).then((outcome) => {
    state.submissionOutcomes.set(id, outcome as SubmissionOutcome);
  });
}

function find<K extends Statement["kind"]>(
  statements: readonly Statement[],
  kind: K,
): Extract<Statement, { kind: K }> | undefined {
  return statements.find((one) => one.kind === kind) as never;
}
