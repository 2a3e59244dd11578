/** Reads a scenario's text. */
import { parse } from "./generated/grammar.mjs";
import type { Statement } from "./types.ts";

/** Parses a scenario; throws an error that names line and column where it can't. */
export function parseScenario(text: string): Statement[] {
  return parse(text) as Statement[];
}
