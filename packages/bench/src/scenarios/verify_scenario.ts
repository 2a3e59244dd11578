/** Proves a scenario: it holds, and it fails without each mechanism that it names. */
import { DOMAINS } from "../fuzz/domains/mod.ts";
import { runScenario } from "./run_scenario.ts";

/** What a scenario's proof came to. */
export interface ScenarioVerification {
  readonly title: string;
  /** What is wrong; empty where the scenario is proved. */
  readonly problems: readonly string[];
}

/** Runs a scenario whole, then without each mechanism that it names. */
export async function verifyScenario(
  text: string,
): Promise<ScenarioVerification> {
  const whole = await runScenario(text);
  const problems = [...whole.failures];
  const mutants = DOMAINS.flatMap((domain) => domain.mutants);
  for (const name of whole.without) {
    const mutant = mutants.find((one) => one.name === name);
    if (!mutant) {
      problems.push(`No mutant ${name}`);
      continue;
    }
    const maimed = await runScenario(text, { mutant });
    if (maimed.failures.length === 0) problems.push(`Holds without ${name}`);
  }
  return { title: whole.title, problems };
}
