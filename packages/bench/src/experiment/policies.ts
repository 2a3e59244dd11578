/** The policies that experiments compare. */
import {
  createRoundRobin,
  type GrantPolicy,
  leastLoaded,
  reserveThenPrefill,
  twoChoices,
} from "@teaselvalve/core";

/** Names of the policies. */
export const POLICY_NAMES = [
  "roundRobin",
  "leastLoaded",
  "twoChoices",
  "reserveThenPrefill",
] as const;

/** Name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Makes a policy, one for each home. */
export const POLICY_FACTORIES: Readonly<Record<PolicyName, () => GrantPolicy>> =
  {
    roundRobin: createRoundRobin,
    leastLoaded: () => leastLoaded,
    twoChoices: () => twoChoices,
    reserveThenPrefill: () => reserveThenPrefill,
  };
