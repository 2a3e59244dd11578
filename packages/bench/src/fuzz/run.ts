/** Runs the fuzzer: random commands against several VMs on a paused clock, checked by an oracle. */
import type { Vm, VmContext } from "@teaselvalve/core";
import fc from "fast-check";
import { World, type WorldOptions } from "../world/world.ts";
import type { FuzzCommand, FuzzDomain, FuzzModel } from "./fuzz_domain.ts";

/** Options of {@link runFuzz}. */
export interface FuzzOptions {
  domains: readonly FuzzDomain[];
  seed: number;
  runs: number;
  /** Most commands in one run. */
  maxCommands?: number;
  /** Repeats one failure that fast-check printed. */
  path?: string;
  /** Goes with `path`: repeats the shrunk commands, as printed after them. */
  replayPath?: string;
  /** Reports the first failure as it was drawn, without shrinking it. */
  endOnFailure?: boolean;
  createVm?: (context: VmContext) => Vm;
  /** Further options of each run's world. */
  world?: Partial<WorldOptions>;
}

/** What a fuzz run came to. */
export interface FuzzReport {
  readonly failed: boolean;
  readonly seed: number;
  /** Runs that were made, up to and including the failing one. */
  readonly runs: number;
  /** The path that repeats the shrunk failure. */
  readonly path: string | null;
  readonly commands: string | null;
  readonly findings: readonly string[];
}

/** Longest deadline that commands give, with a second for the last verdict. */
const QUIESCENCE_MS = 45_000;
const DEFAULT_COMMANDS = 30;

/** Runs the fuzzer and reports the first failure, shrunk. */
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
  const cause = details.errorInstance;
  return {
    failed: details.failed,
    seed: details.seed,
    runs: details.numRuns,
    path: details.counterexamplePath,
    commands: details.counterexample?.map(String).join(" | ") ?? null,
    findings: cause instanceof FuzzFailure
      ? cause.findings
      : cause
      ? [String(cause)]
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
    check(options.domains, { model, world, when: "quiescence" });
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
      check(domains, { model, world, when: "step" });
    },
    toString: () => command.toString(),
  }));
}

function check(
  domains: readonly FuzzDomain[],
  at: { model: FuzzModel; world: World; when: "step" | "quiescence" },
): void {
  for (const domain of domains) {
    for (const one of domain.checks) {
      if (one.when !== "always" && one.when !== at.when) continue;
      const found = one.findViolations(at.model, at.world);
      at.model.findings.push(...found.map((what) => `${one.name}: ${what}`));
    }
  }
}
