/** The frame of the fuzzer: what a domain adds to it. */
import type { VmContext } from "@teaselvalve/core";
import type { Vm } from "@teaselvalve/core";
import type { Arbitrary, AsyncCommand } from "fast-check";
import type { World, WorldOptions } from "../world/world.ts";

/** What the commands of a run know; each domain keeps its own part. */
export interface FuzzModel {
  /** Parts by domain name. */
  readonly domainStates: Map<string, unknown>;
  /** What checks found. A run with a finding fails. */
  readonly findings: string[];
}

/** A step of a run. `toString` must show all that it does. */
export type FuzzCommand = AsyncCommand<FuzzModel, World>;

/** One invariant. It returns what it found wrong; an empty list is fine. */
export interface Check {
  readonly name: string;
  /** Steps are checked after each command, quiescence after all faults are healed. */
  readonly when: "step" | "quiescence" | "always";
  readonly findViolations: (model: FuzzModel, world: World) => string[];
}

/** A VM that lacks one mechanism; the fuzzer must notice. */
export interface Mutant {
  readonly name: string;
  readonly createVm: (context: VmContext) => Vm;
  /** What else the world lacks. */
  readonly world?: Partial<WorldOptions>;
}

/** What one domain adds to the fuzzer. */
export interface FuzzDomain {
  readonly name: string;
  /** Makes the domain's part of a new run's model. */
  readonly createState: () => unknown;
  /** What a world needs when the domain is run by itself. */
  readonly world?: Partial<WorldOptions>;
  readonly commands: readonly Arbitrary<FuzzCommand>[];
  readonly checks: readonly Check[];
  readonly mutants: readonly Mutant[];
  /** Undoes what the domain's commands broke, before quiescence. */
  readonly heal?: (model: FuzzModel, world: World) => void;
}

/** Gives a domain's part of a model. */
export function stateOf<T>(model: FuzzModel, domain: string): T {
  return model.domainStates.get(domain) as T;
}
