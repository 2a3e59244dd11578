/** Parser of the scenario language. */
import { parse } from "./generated/grammar.mjs";
import type { Statement } from "./types.ts";

/** Parses a scenario; a syntax error is thrown with its line and column. */
export function parseScenario(text: string): Statement[] {
  return parse(text) as Statement[];
}
