/** Runs the fuzzer: random commands against several VMs on a fake clock, with the domains' checks as oracle. */
import type { Vm, VmContext } from "@teaselvalve/core";
import fc from "fast-check";
import { World, type WorldOptions } from "../world/world.ts";
import type { FuzzCommand, FuzzDomain, FuzzModel } from "./fuzz_domain.ts";

/** Options of {@link runFuzz}. */
export interface FuzzOptions {
  domains: readonly FuzzDomain[];
  seed: number;
  runs: number;
  /** Maximum number of commands in one run; 30 by default. */
  maxCommands?: number;
  /** The path that fast-check printed for a failure; repeats it. */
  path?: string;
  /** Used with `path`: the replay path printed after the shrunk commands. */
  replayPath?: string;
  /** Reports the first failure as generated, without shrinking it. */
  endOnFailure?: boolean;
  createVm?: (context: VmContext) => Vm;
  /** Further options of each run's world. */
  world?: Partial<WorldOptions>;
}

/** Result of {@link runFuzz}. */
export interface FuzzReport {
  readonly failed: boolean;
  readonly seed: number;
  /** Number of runs, up to and including the failing one. */
  readonly runs: number;
  /** The path that repeats the shrunk failure; null without a failure. */
  readonly path: string | null;
  /** The commands of the failing run; null without a failure. */
  readonly commands: string | null;
  readonly findings: readonly string[];
}

/** Longer than any command's deadline plus the second allowed for the last verdict. */
const QUIESCENCE_MS = 45_000;
const DEFAULT_COMMANDS = 30;

/** Runs the fuzzer and reports the first failure, shrunk unless `endOnFailure` is set. */
export async function runFuzz(options: FuzzOptions): Promise<FuzzReport> {
  const arbitraries = options.domains.flatMap((domain) => [
    ...domain.commands,
  ]);
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 1_000_000 }),
    fc.commands(arbitraries, {
      maxCommands: options.maxCommands ?? DEFAULT_COMMANDS,
      size: "max",
      ...(options.replayPath ? { replayPath: options.replayPath } : {}),
    }),
    async (worldSeed, commands) => {
      const findings = await runOnce(options, { worldSeed, commands });
      if (findings.length > 0) throw new FuzzFailure(findings);
    },
  );
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: options.endOnFailure ?? false,
    ...(options.path ? { path: options.path } : {}),
  });
  const error = details.errorInstance;
  return {
    failed: details.failed,
    seed: details.seed,
    runs: details.numRuns,
    path: details.counterexamplePath,
    commands: details.counterexample?.map(String).join(" | ") ?? null,
    findings: error instanceof FuzzFailure
      ? error.findings
      : error
      ? [String(error)]
      : [],
  };
}

class FuzzFailure extends Error {
  constructor(readonly findings: readonly string[]) {
    super(findings.join("\n"));
  }
}

type Commands = Iterable<FuzzCommand>;

async function runOnce(
  options: FuzzOptions,
  run: { worldSeed: number; commands: Commands },
): Promise<readonly string[]> {
  const world = await World.create({
    seed: run.worldSeed,
    createVm: options.createVm,
    ...options.world,
  });
  const model: FuzzModel = {
    domainStates: new Map(
      options.domains.map((domain) => [domain.name, domain.createState()]),
    ),
    findings: [],
  };
  const commands = withStepChecks(run.commands, options.domains);
  try {
    await fc.asyncModelRun(() => ({ model, real: world }), commands);
    for (const domain of options.domains) domain.heal?.(model, world);
    await world.advance(QUIESCENCE_MS);
    runChecks(options.domains, { model, world, when: "quiescence" });
    return model.findings;
  } finally {
    world.close();
  }
}

function withStepChecks(
  commands: Commands,
  domains: readonly FuzzDomain[],
): Commands {
  return [...commands].map((command) => ({
    check: (model) => model.findings.length === 0 && command.check(model),
    async run(model, world) {
      await command.run(model, world);
      runChecks(domains, { model, world, when: "step" });
    },
    toString: () => command.toString(),
  }));
}

function runChecks(
  domains: readonly FuzzDomain[],
  options: { model: FuzzModel; world: World; when: "step" | "quiescence" },
): void {
  for (const domain of domains) {
    for (const check of domain.checks) {
      if (check.when !== "always" && check.when !== options.when) continue;
      const violations = check.findViolations(options.model, options.world);
      options.model.findings.push(
        ...violations.map((violation) => `${check.name}: ${violation}`),
      );
    }
  }
}
