/** Runs one scenario in a simulated deployment on a simulated clock. */
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
import type { Mutant } from "../fuzz/fuzz_domain.ts";
import type { CallerCall, CallerSummary } from "../world/caller.ts";
import { MODEL, SERVICE, World } from "../world/world.ts";
import { checkExpectation } from "./check_expectation.ts";
import { parseScenario } from "./parse.ts";
import type { Statement } from "./types.ts";

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
  /** Disables one mechanism. */
  mutant?: Mutant;
}

/** Result of a scenario. */
export interface ScenarioReport {
  readonly title: string;
  /** Names of the mutants under which the scenario must fail. */
  readonly without: readonly string[];
  /** Messages of the expectations that did not hold. */
  readonly failures: readonly string[];
}

/** The latest request of a caller. */
export type CallerRequest =
  | { readonly kind: "filing"; readonly call: CallerCall }
  | {
    readonly kind: "summary";
    readonly summary: CallerSummary;
    readonly expectedText: string;
  };

/** State of a running scenario; requests are keyed by caller, outcomes by submission id. */
export interface ScenarioState {
  readonly world: World;
  readonly requests: Map<string, CallerRequest>;
  readonly submissionOutcomes: Map<string, SubmissionOutcome>;
  /** Orders that an engine had received `LEAVE_GRACE_MS` after it began to leave the pool. */
  readonly ordersAtRemoval: Map<Host, number>;
}

const DEFAULT_SEED = 1;
const DEFAULT_DEADLINE_MS = 20_000;
const DEFAULT_TOKENS = 40;
const MAX_TOKENS = 2_000;
const LEAVE_GRACE_MS = 3_000;
const CRASH_MARKER = "[crash]";

type SendStatement = Extract<Statement, { kind: "send" }>;

/** Parses and runs a scenario; throws if its text does not parse. */
export async function runScenario(
  text: string,
  options: RunScenarioOptions = {},
): Promise<ScenarioReport> {
  const statements = parseScenario(text);
  const failures: string[] = [];
  const seed = findStatement(statements, "seed")?.seed ?? DEFAULT_SEED;
  const world = await World.create({
    seed,
    createVm: options.mutant?.createVm,
    ...options.mutant?.world,
  });
  const state: ScenarioState = {
    world,
    requests: new Map(),
    submissionOutcomes: new Map(),
    ordersAtRemoval: new Map(),
  };
  try {
    for (const statement of statements) {
      if (statement.kind === "expect") {
        const problem = checkExpectation(statement.expectation, state);
        if (problem) failures.push(problem);
      } else await executeStatement(statement, state);
    }
  } finally {
    world.close();
  }
  return {
    title: findStatement(statements, "title")?.title ?? "Untitled",
    without: statements.flatMap((one) =>
      one.kind === "without" ? [one.mutant] : []
    ),
    failures,
  };
}

/** Lists the mutants under which a scenario must fail. */
export function mutantsOf(text: string): string[] {
  return parseScenario(text).flatMap((one) =>
    one.kind === "without" ? [one.mutant] : []
  );
}

async function executeStatement(
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
      return disconnect(statement.caller, state);
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
      return setPlatformState(statement, world);
    case "crashes":
      return world.crashEngine(statement.engine);
    case "restarts":
      return world.restartEngine(statement.engine);
    case "leavesPool":
      return removeFromPool(statement.engine, state);
    case "stall":
      return setTransfersStalled(statement, world);
    case "reportsStop":
      return world.engines.get(statement.engine)?.freezeReports(true);
    case "manifest":
      return submitManifest(statement, state);
  }
}

function send(statement: SendStatement, state: ScenarioState): void {
  const { world, requests } = state;
  if (statement.what === "filing") {
    const call = world.sendCall(statement.vm, createCallRequest(statement));
    requests.set(statement.caller, { kind: "filing", call });
    return;
  }
  const request = createSummaryRequest(statement, state);
  const summary = world.sendSummary(statement.vm, request);
  const expectedText = expectedAnswer(
    { text: request.prompt, tokens: 0, blocks: [] },
    tokensOf(statement),
  );
  requests.set(statement.caller, {
    kind: "summary",
    summary,
    expectedText,
  });
}

function createCallRequest(statement: SendStatement): CallRequest {
  return {
    workspace: asId("lenders"),
    caller: asId(statement.caller.split("-")[0]!),
    request: asId(statement.key),
    service: asId(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: findOption(statement, "body")?.body ?? "{}",
    deadlineAtMs: deadlineOf(statement),
  };
}

function createSummaryRequest(
  statement: SendStatement,
  state: ScenarioState,
): SummaryRequest {
  const body = findOption(statement, "body")?.body ?? "Summarise";
  const crash = findOption(statement, "crashes") ? CRASH_MARKER : "";
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

function offsetOf(statement: SendStatement, state: ScenarioState): number {
  const earlierCaller = findOption(statement, "after")?.caller;
  const earlier = earlierCaller === undefined
    ? undefined
    : state.requests.get(earlierCaller);
  if (earlier?.kind === "summary") return earlier.summary.nextOffset;
  return findOption(statement, "offset")?.offset ?? 0;
}

function tokensOf(statement: SendStatement): number {
  return findOption(statement, "tokens")?.tokens ?? DEFAULT_TOKENS;
}

function deadlineOf(statement: SendStatement): number {
  return Date.now() +
    (findOption(statement, "within")?.ms ?? DEFAULT_DEADLINE_MS);
}

function findOption<K extends SendStatement["options"][number]["kind"]>(
  statement: SendStatement,
  kind: K,
): Extract<SendStatement["options"][number], { kind: K }> | undefined {
  return statement.options.find((one) => one.kind === kind) as never;
}

function disconnect(caller: string, state: ScenarioState): void {
  const request = state.requests.get(caller);
  if (request?.kind === "summary") request.summary.close();
}

function removeFromPool(engine: Host, state: ScenarioState): void {
  state.world.engines.get(engine)?.leave();
  state.world.timers.runDetached(() =>
    setTimeout(() => {
      const orders = state.world.engines.get(engine)?.ordersReceived ?? 0;
      state.ordersAtRemoval.set(engine, orders);
    }, LEAVE_GRACE_MS)
  );
}

function setTransfersStalled(
  statement: Extract<Statement, { kind: "stall" }>,
  world: World,
): void {
  const engine = world.engines.get(statement.engine);
  if (engine instanceof FakePrefillEngine) engine.link.stall(statement.stalled);
}

function setPlatformState(
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

function submitManifest(
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

function findStatement<K extends Statement["kind"]>(
  statements: readonly Statement[],
  kind: K,
): Extract<Statement, { kind: K }> | undefined {
  return statements.find((one) => one.kind === kind) as never;
}
