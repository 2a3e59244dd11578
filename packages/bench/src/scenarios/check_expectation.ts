/** Checks the expectations of a scenario. */
import type { Refusal } from "@teaselvalve/core";
import type { CallerRequest, ScenarioState } from "./run_scenario.ts";
import type { Expectation } from "./types.ts";

type ExpectationOf<K extends Expectation["kind"]> = Extract<
  Expectation,
  { kind: K }
>;

/** Checks an expectation; returns null if it holds, otherwise a message with what was found. */
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
  { key, count, atMost }: ExpectationOf<"ran">,
  { world }: ScenarioState,
): string | null {
  const runs = [...world.services.values()]
    .reduce((sum, service) => sum + service.countRuns(`lenders/${key}`), 0);
  const holds = atMost ? runs <= count : runs === count;
  return holds ? null : `Filing ${key} ran ${runs} times`;
}

function checkAnswered(
  { caller }: ExpectationOf<"answered">,
  { requests }: ScenarioState,
): string | null {
  const request = requests.get(caller);
  if (request?.kind === "filing") {
    return request.call.verdict?.isOk()
      ? null
      : `${caller} received ${
        JSON.stringify(request.call.verdict ?? "nothing")
      }`;
  }
  if (request?.kind !== "summary") return `${caller} sent no request`;
  const { summary, expectedText } = request;
  // Each token of a fake answer starts with " t".
  const expectedCount = expectedText.split(" t").length - 1 -
    summary.request.fromOffset;
  const receivedCount = summary.text.split(" t").length - 1;
  if (summary.last?.kind !== "end") {
    return `${caller} received ${receivedCount} tokens and ${
      JSON.stringify(summary.last)
    }`;
  }
  if (summary.errors.length > 0) return `${caller}: ${summary.errors[0]}`;
  return expectedText.endsWith(summary.text) && receivedCount === expectedCount
    ? null
    : `${caller} received ${receivedCount} of ${expectedCount} tokens, or different ones`;
}

function checkUnanswered(
  { caller }: ExpectationOf<"unanswered">,
  { requests }: ScenarioState,
): string | null {
  const request = requests.get(caller);
  const answered = request?.kind === "filing"
    ? request.call.verdict?.isOk()
    : request?.summary.last?.kind === "end";
  return answered ? `${caller} received an answer` : null;
}

function checkTokens(
  { caller }: ExpectationOf<"tokens">,
  { requests }: ScenarioState,
): string | null {
  const request = requests.get(caller);
  return request?.kind === "summary" && request.summary.text !== ""
    ? null
    : `${caller} received no tokens`;
}

function checkRefused(
  { caller, verdict, reason }: ExpectationOf<"refused">,
  { requests }: ScenarioState,
): string | null {
  const refusal = refusalOf(requests.get(caller));
  const holds = refusal?.kind === verdict &&
    (reason === null || refusal.reason === reason);
  return holds ? null : `${caller} received ${JSON.stringify(refusal)}`;
}

function refusalOf(request: CallerRequest | undefined): Refusal | null {
  if (request?.kind === "filing") {
    return request.call.verdict?.isErr() ? request.call.verdict.error : null;
  }
  const last = request?.summary.last;
  return last?.kind === "refused" ? last.refusal : null;
}

function checkNothingHeld({ world }: ScenarioState): string | null {
  const held = [...world.engines.values()].flatMap((engine) =>
    engine.heldRuns().map((run) => `${run.key} at ${engine.id}`)
  );
  return held.length === 0 ? null : `Runs still held: ${held.join(", ")}`;
}

function checkCrashed(
  { count }: ExpectationOf<"crashed">,
  { world }: ScenarioState,
): string | null {
  const crashed = world.engineCrashes;
  return crashed <= count ? null : `${crashed} engines crashed`;
}

function checkNoNewWork(
  { engine }: ExpectationOf<"noNewWork">,
  { world, ordersAtRemoval: ordersAfterLeaving }: ScenarioState,
): string | null {
  const before = ordersAfterLeaving.get(engine);
  const total = world.engines.get(engine)?.ordersReceived;
  return before === total
    ? null
    : `${engine} received ${total} orders, ${before} of them before it had left`;
}

function checkManifest(
  { id, outcome }: ExpectationOf<"manifest">,
  { submissionOutcomes }: ScenarioState,
): string | null {
  const actual = submissionOutcomes.get(id)?.kind;
  return actual === outcome
    ? null
    : `Manifest ${id}: ${actual ?? "no outcome"}`;
}

function checkInForce(
  { version }: ExpectationOf<"inForce">,
  { world }: ScenarioState,
): string | null {
  const mismatches = [...world.vms].flatMap(([name, vm]) => {
    const held = vm.configuration.version();
    return held === version ? [] : [`${name} has version ${held}`];
  });
  return mismatches.length === 0 ? null : mismatches.join(", ");
}
