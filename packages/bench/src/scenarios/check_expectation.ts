/** Checks one expectation of a scenario. */
import type { Refusal } from "@teaselvalve/core";
import type { CallerRequest, ScenarioState } from "./run_scenario.ts";
import type { Expectation } from "./types.ts";

type Of<K extends Expectation["kind"]> = Extract<Expectation, { kind: K }>;

/** Says what is wrong, or null where the expectation holds. */
export function checkExpectation(
  expectation: Expectation,
  state: ScenarioState,
): string | null {
  switch (expectation.kind) {
    case "ran":
      return checkRan(expectation, state);
    case "answered":
      return checkAnswered(expectation, state);
    case "unanswered":
      return checkUnanswered(expectation, state);
    case "tokens":
      return checkTokens(expectation, state);
    case "refused":
      return checkRefused(expectation, state);
    case "nothingHeld":
      return checkNothingHeld(state);
    case "crashed":
      return checkCrashed(expectation, state);
    case "noNewWork":
      return checkNoNewWork(expectation, state);
    case "manifest":
      return checkManifest(expectation, state);
    case "inForce":
      return checkInForce(expectation, state);
  }
}

function checkRan(
  { key, count, atMost }: Of<"ran">,
  { world }: ScenarioState,
): string | null {
  const runs = [...world.services.values()]
    .reduce((sum, service) => sum + service.runsOf(`lenders/${key}`), 0);
  const holds = atMost ? runs <= count : runs === count;
  return holds ? null : `Filing ${key} ran ${runs} times`;
}

function checkAnswered(
  { caller }: Of<"answered">,
  { requests: asks }: ScenarioState,
): string | null {
  const ask = asks.get(caller);
  if (ask?.kind === "filing") {
    return ask.call.verdict?.isOk()
      ? null
      : `${caller} got ${JSON.stringify(ask.call.verdict ?? "nothing")}`;
  }
  if (ask?.kind !== "summary") return `${caller} asked nothing`;
  const { summary, expectedText: answer } = ask;
  const wanted = answer.split(" t").length - 1 - summary.request.fromOffset;
  const got = summary.text.split(" t").length - 1;
  if (summary.last?.kind !== "end") {
    return `${caller} got ${got} tokens and ${JSON.stringify(summary.last)}`;
  }
  if (summary.faults.length > 0) return `${caller}: ${summary.faults[0]}`;
  return answer.endsWith(summary.text) && got === wanted
    ? null
    : `${caller} got ${got} tokens of ${wanted}, or others`;
}

function checkUnanswered(
  { caller }: Of<"unanswered">,
  { requests: asks }: ScenarioState,
): string | null {
  const ask = asks.get(caller);
  const answered = ask?.kind === "filing"
    ? ask.call.verdict?.isOk()
    : ask?.summary.last?.kind === "end";
  return answered ? `${caller} is answered` : null;
}

function checkTokens(
  { caller }: Of<"tokens">,
  { requests: asks }: ScenarioState,
): string | null {
  const ask = asks.get(caller);
  return ask?.kind === "summary" && ask.summary.text !== ""
    ? null
    : `${caller} has no tokens`;
}

function checkRefused(
  { caller, verdict, reason }: Of<"refused">,
  { requests: asks }: ScenarioState,
): string | null {
  const refusal = refusalOf(asks.get(caller));
  const holds = refusal?.kind === verdict &&
    (reason === null || refusal.reason === reason);
  return holds ? null : `${caller} got ${JSON.stringify(refusal)}`;
}

function refusalOf(ask: CallerRequest | undefined): Refusal | null {
  if (ask?.kind === "filing") {
    return ask.call.verdict?.isErr() ? ask.call.verdict.error : null;
  }
  const last = ask?.summary.last;
  return last?.kind === "refused" ? last.refusal : null;
}

function checkNothingHeld({ world }: ScenarioState): string | null {
  const held = [...world.engines.values()].flatMap((engine) =>
    engine.heldRuns().map((run) => `${run.key} at ${engine.id}`)
  );
  return held.length === 0 ? null : `Held: ${held.join(", ")}`;
}

function checkCrashed(
  { count }: Of<"crashed">,
  { world }: ScenarioState,
): string | null {
  const crashed = world.engineCrashes;
  return crashed <= count ? null : `${crashed} engines crashed`;
}

function checkNoNewWork(
  { engine }: Of<"noNewWork">,
  { world, ordersAfterLeaving: ordersAtLeave }: ScenarioState,
): string | null {
  const before = ordersAtLeave.get(engine);
  const now = world.engines.get(engine)?.ordersSeen;
  return before === now
    ? null
    : `${engine} saw ${now} orders, ${before} when it had left`;
}

function checkManifest(
  { id, outcome }: Of<"manifest">,
  { submissionOutcomes: outcomes }: ScenarioState,
): string | null {
  const got = outcomes.get(id)?.kind;
  return got === outcome ? null : `Manifest ${id}: ${got ?? "no outcome"}`;
}

function checkInForce(
  { version }: Of<"inForce">,
  { world }: ScenarioState,
): string | null {
  const others = [...world.vms].flatMap(([name, vm]) => {
    const held = vm.configuration.version();
    return held === version ? [] : [`${name} has ${held}`];
  });
  return others.length === 0 ? null : others.join(", ");
}
