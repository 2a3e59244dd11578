/** The list of all measured quantities. */
import type { Quantity } from "../types.ts";
import { PROCESS_QUANTITIES } from "./processes.ts";
import { PROCESSOR_QUANTITIES } from "./processor.ts";
import { STATE_QUANTITIES } from "./state.ts";
import { WIRE_QUANTITIES } from "./wire.ts";

/** All quantities, in the order in which they are measured and printed. */
export const QUANTITIES: readonly Quantity[] = [
  ...STATE_QUANTITIES,
  ...PROCESSOR_QUANTITIES,
  ...WIRE_QUANTITIES,
  ...PROCESS_QUANTITIES,
];
