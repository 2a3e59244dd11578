/** Types of the fuzzer: what a domain contributes, and the state of a run. */
import type { VmContext } from "@teaselvalve/core";
import type { Vm } from "@teaselvalve/core";
import type { Arbitrary, AsyncCommand } from "fast-check";
import type { World, WorldOptions } from "../world/world.ts";

/** State shared by the commands and checks of one run. */
export interface FuzzModel {
  /** Each domain's own state, by domain name. */
  readonly domainStates: Map<string, unknown>;
  /** Violations reported so far. A run with a finding fails. */
  readonly findings: string[];
}

/** One step of a run. `toString` must show every parameter of the step. */
export type FuzzCommand = AsyncCommand<FuzzModel, World>;

/** One invariant, checked during or after a run. */
export interface Check {
  readonly name: string;
  /** "step" is after each command, "quiescence" after all faults are healed, "always" both. */
  readonly when: "step" | "quiescence" | "always";
  /** Describes each violation; empty where the invariant holds. */
  readonly findViolations: (model: FuzzModel, world: World) => string[];
}

/** A VM without one of its mechanisms; the fuzzer must find a violation with it. */
export interface Mutant {
  readonly name: string;
  readonly createVm: (context: VmContext) => Vm;
  /** World options that remove a mechanism outside the VM. */
  readonly world?: Partial<WorldOptions>;
}

/** The commands, checks and mutants of one area of the system. */
export interface FuzzDomain {
  readonly name: string;
  /** Creates the domain's state for a new run. */
  readonly createState: () => unknown;
  /** World options for runs of this domain without the others. */
  readonly world?: Partial<WorldOptions>;
  readonly commands: readonly Arbitrary<FuzzCommand>[];
  readonly checks: readonly Check[];
  readonly mutants: readonly Mutant[];
  /** Undoes the effects of the domain's commands before quiescence. */
  readonly heal?: (model: FuzzModel, world: World) => void;
}

/** Returns a domain's state in a model. */
export function stateOf<T>(model: FuzzModel, domain: string): T {
  return model.domainStates.get(domain) as T;
}
