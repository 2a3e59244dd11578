/** Where the scenarios lie. */
import { fileURLToPath } from "node:url";

// Holds for the source as well as for the bundle, which lie at different depths.
const [root] = fileURLToPath(import.meta.url).split("/packages/bench/");

/** The folder of the scenario files. */
export const SCENARIO_FOLDER = `${root}/packages/bench/scenarios`;
