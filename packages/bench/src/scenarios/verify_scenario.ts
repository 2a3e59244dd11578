/** Verifies that a scenario passes, and that it fails with each mutant that it names. */
import { DOMAINS } from "../fuzz/domains/mod.ts";
import { runScenario } from "./run_scenario.ts";

/** Result of {@link verifyScenario}. */
export interface Verification {
  readonly title: string;
  /** Failed expectations, unknown mutants, and mutants under which it passes; empty on success. */
  readonly problems: readonly string[];
}

/** Runs a scenario with all mechanisms, then once for each mutant that it names. */
export async function verifyScenario(text: string): Promise<Verification> {
  const report = await runScenario(text);
  const problems = [...report.failures];
  const mutants = DOMAINS.flatMap((domain) => domain.mutants);
  for (const name of report.without) {
    const mutant = mutants.find((one) => one.name === name);
    if (!mutant) {
      problems.push(`Unknown mutant ${name}`);
      continue;
    }
    const mutated = await runScenario(text, { mutant });
    if (mutated.failures.length === 0) problems.push(`Mutant passes: ${name}`);
  }
  return { title: report.title, problems };
}
