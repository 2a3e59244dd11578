/** Location of the scenario files. */
import { fileURLToPath } from "node:url";

// Works for both the source and the bundle, whose directories differ in depth.
const [root] = fileURLToPath(import.meta.url).split("/packages/bench/");

/** Path of the directory with the `*.scenario` files. */
export const SCENARIO_FOLDER = `${root}/packages/bench/scenarios`;
