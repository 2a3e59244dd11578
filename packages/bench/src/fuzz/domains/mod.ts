/** All domains of the fuzzer. */
import type { FuzzDomain } from "../frame.ts";
import { CALLS_DOMAIN } from "./calls.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { SUMMARIES_DOMAIN } from "./summaries.ts";
import { TIME_DOMAIN } from "./time.ts";

/** All domains of the fuzzer. */
export const DOMAINS: readonly FuzzDomain[] = [
  TIME_DOMAIN,
  FAULTS_DOMAIN,
  SUMMARIES_DOMAIN,
  CALLS_DOMAIN,
];
