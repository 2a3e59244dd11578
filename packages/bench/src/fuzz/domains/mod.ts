/** All domains of the fuzzer. */
import type { FuzzDomain } from "../frame.ts";
import { CONFIGURATION_DOMAIN } from "./configuration.ts";
import { CALLS_DOMAIN } from "./calls.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { ORDERS_DOMAIN } from "./orders.ts";
import { TIME_DOMAIN } from "./time.ts";

/** All domains of the fuzzer. */
export const DOMAINS: readonly FuzzDomain[] = [
  TIME_DOMAIN,
  FAULTS_DOMAIN,
  CONFIGURATION_DOMAIN,
  ORDERS_DOMAIN,
  CALLS_DOMAIN,
];
