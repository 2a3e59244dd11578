/** The grant policies that experiments compare. */
import {
  createRoundRobin,
  type GrantPolicy,
  leastLoaded,
  reserveThenPrefill,
  twoChoices,
} from "@teaselvalve/core";

/** Names of the policies, as the `--policy` flag takes them. */
export const POLICY_NAMES = [
  "roundRobin",
  "leastLoaded",
  "twoChoices",
  "reserveThenPrefill",
] as const;

/** One of {@link POLICY_NAMES}. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Policy factories by name, called for each home; only stateless policies share an instance. */
export const POLICY_FACTORIES: Readonly<Record<PolicyName, () => GrantPolicy>> =
  {
    roundRobin: createRoundRobin,
    leastLoaded: () => leastLoaded,
    twoChoices: () => twoChoices,
    reserveThenPrefill: () => reserveThenPrefill,
  };
