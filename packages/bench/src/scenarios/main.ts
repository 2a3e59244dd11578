/** `npm run scenarios [-- NAME]`: verifies all scenarios, or those whose file name contains NAME. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { command, optional, positional, run, string } from "cmd-ts";
import { SCENARIO_FOLDER } from "./folder.ts";
import { verifyScenario } from "./verify_scenario.ts";

const program = command({
  name: "scenarios",
  args: { only: positional({ type: optional(string), displayName: "name" }) },
  async handler({ only }) {
    const files = readdirSync(SCENARIO_FOLDER)
      .filter((file) => file.endsWith(".scenario") && file.includes(only ?? ""))
      .sort();
    let failed = 0;
    for (const file of files) {
      const text = readFileSync(join(SCENARIO_FOLDER, file), "utf8");
      const verification = await verifyScenario(text);
      const outcome = verification.problems.length === 0 ? "passed" : "FAILED";
      process.stdout.write(`${outcome}  ${file}: ${verification.title}\n`);
      for (const problem of verification.problems) {
        process.stdout.write(`        ${problem}\n`);
      }
      if (verification.problems.length > 0) failed += 1;
    }
    process.stdout.write(`${files.length - failed} passed, ${failed} failed\n`);
    process.exitCode = failed > 0 ? 1 : 0;
  },
});

await run(program, process.argv.slice(2));
