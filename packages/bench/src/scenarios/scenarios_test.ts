import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "vitest";
import { SCENARIO_FOLDER } from "./folder.ts";
import { verifyScenario } from "./verify_scenario.ts";

const files = readdirSync(SCENARIO_FOLDER).filter((file) =>
  file.endsWith(".scenario")
);

test.each(files)(
  "%s passes, and fails under each mutant that it names",
  async (file) => {
    const text = readFileSync(join(SCENARIO_FOLDER, file), "utf8");
    expect((await verifyScenario(text)).problems).toEqual([]);
  },
);
