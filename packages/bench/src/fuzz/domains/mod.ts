/** The list of the fuzzer's domains. */
import type { FuzzDomain } from "../fuzz_domain.ts";
import { CONFIGURATION_DOMAIN } from "./configuration.ts";
import { CALLS_DOMAIN } from "./calls.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { ORDERS_DOMAIN } from "./orders.ts";
import { SUMMARIES_DOMAIN } from "./summaries.ts";
import { TIME_DOMAIN } from "./time.ts";
import { VMS_DOMAIN } from "./vms.ts";

/** All domains, in the order in which their commands are drawn and their checks run. */
export const DOMAINS: readonly FuzzDomain[] = [
  TIME_DOMAIN,
  FAULTS_DOMAIN,
  CONFIGURATION_DOMAIN,
  ORDERS_DOMAIN,
  SUMMARIES_DOMAIN,
  CALLS_DOMAIN,
  VMS_DOMAIN,
];
