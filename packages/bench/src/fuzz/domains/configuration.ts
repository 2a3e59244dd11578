/** Manifests that race, are repeated and lose their replies; what is in force where, and since when. */
import {
  type SubmissionOutcome,
  Vm,
  type VmContext,
  type VmPolicies,
} from "@teaselvalve/core";
import fc from "fast-check";
import type { World } from "../../world/world.ts";
import {
  type Check,
  type FuzzCommand,
  type FuzzDomain,
  type FuzzModel,
  type Mutant,
  stateOf,
} from "../fuzz_domain.ts";
import { pick } from "./faults.ts";
import { ConfigurationMonitor } from "./configuration_monitor.ts";

/** Names the configuration domain. */
export const CONFIGURATION = "configuration";

const TABLE = "configuration";
const HEAD_KEY = "head";
const MAX_HISTORY = 1_000;

type FuzzScope = "workspaces" | "deployment";

interface FuzzSubmission {
  readonly manifest: {
    readonly submissionId: string;
    readonly scopes: Partial<Record<FuzzScope, { basedOn: number }>>;
  };
  /** Versions told as accepted or pending. */
  readonly reportedVersions: number[];
  /** Whether any try was told of a conflict. */
  reportedConflict: boolean;
}

/** What the domain knows of a run. */
export interface ConfigurationState {
  readonly submissions: FuzzSubmission[];
  monitor: ConfigurationMonitor | undefined;
}

function step(
  label: string,
  action: (part: ConfigurationState, world: World) => void,
  thenMs = 0,
): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      const part = stateOf<ConfigurationState>(model, CONFIGURATION);
      part.monitor ??= new ConfigurationMonitor(world, model.findings);
      action(part, world);
      await world.advance(thenMs);
    },
    toString: () => label,
  };
}

const index = fc.nat({ max: 11 });
const thenMs = fc.constantFrom(0, 5, 100, 1_500);

const submitNew = fc.record({
  vm: index,
  scope: fc.constantFrom<FuzzScope>("workspaces", "deployment"),
  behind: fc.constantFrom(0, 0, 0, 1),
  variant: fc.nat({ max: 3 }),
  thenMs,
}).map(({ vm, scope, behind, variant, thenMs }) =>
  step(
    `submit(${vm}, ${scope}, -${behind}, ${variant}, ${thenMs})`,
    (part, world) => {
      const name = pick(world.vms.keys(), vm);
      const held = name && world.vms.get(name)!.configuration.current();
      if (!held) return;
      const basedOn = Math.max(
        0,
        (held.head.scopes[scope]?.version ?? 0) - behind,
      );
      const body = scope === "workspaces"
        ? [
          ...["lenders", "offices", `extra-${variant}`].map((id) => ({ id })),
        ]
        : { ...held.bodies.deployment, callRetentionMs: 86_400_000 + variant };
      const submitted: FuzzSubmission = {
        manifest: {
          submissionId: `fuzz-${part.submissions.length}`,
          scopes: { [scope]: { basedOn, body } },
        },
        reportedVersions: [],
        reportedConflict: false,
      };
      part.submissions.push(submitted);
      send(submitted, { part, world, name });
    },
    thenMs,
  )
);

const repeat = fc.tuple(index, index, thenMs).map(([at, vm, thenMs]) =>
  step(`repeatSubmission(${at}, ${vm}, ${thenMs})`, (part, world) => {
    const submitted = pick(part.submissions, at);
    const name = pick(world.vms.keys(), vm);
    if (submitted && name) send(submitted, { part, world, name });
  }, thenMs)
);

const loseCommitReply = fc.constant(null).map(() =>
  step("loseCommitReply()", (_part, world) => {
    const { platform } = world;
    const transact = platform.transact.bind(platform);
    platform.transact = (writes) => {
      const outcome = transact(writes);
      if (!writes.some((write) => write.key === HEAD_KEY)) return outcome;
      platform.transact = transact;
      world.platformFaults.loseReplies += 1;
      return outcome;
    };
  })
);

function send(
  submitted: FuzzSubmission,
  to: { part: ConfigurationState; world: World; name: string },
): void {
  const { part, world, name } = to;
  void (world.submitManifest(name, submitted.manifest) as Promise<
    SubmissionOutcome
  >).then((outcome) => {
    submitted.reportedConflict ||= outcome.kind === "conflict";
    if (outcome.kind !== "accepted" && outcome.kind !== "pending") return;
    submitted.reportedVersions.push(outcome.version);
    if (outcome.kind === "accepted") part.monitor?.onAccepted(outcome.version);
  });
}

interface HistoryLine {
  readonly version: number;
  readonly submissionId: string;
}

function historyOf(world: World): HistoryLine[] {
  return world.platform.scan(TABLE, "history/", { limit: MAX_HISTORY })
    .map((row) => row.value as unknown as HistoryLine);
}

function check(
  name: string,
  find: (part: ConfigurationState, world: World) => string[],
  when: Check["when"] = "always",
): Check {
  return {
    name,
    when,
    findViolations: (model: FuzzModel, world: World) =>
      find(stateOf<ConfigurationState>(model, CONFIGURATION), world),
  };
}

const appliedOnce = check("A submission is applied once", (_part, world) => {
  const seen = new Set<string>();
  return historyOf(world).flatMap(({ submissionId, version }) => {
    if (!seen.has(submissionId)) {
      seen.add(submissionId);
      return [];
    }
    return [`${submissionId} again as version ${version}`];
  });
});

const toldIsTrue = check("What is told is in the history", (part, world) => {
  const history = new Map(
    historyOf(world).map((line) => [line.version, line.submissionId]),
  );
  return part.submissions.flatMap(({ manifest, reportedVersions: told }) =>
    told
      .filter((version) => history.get(version) !== manifest.submissionId)
      .map((version) => `${manifest.submissionId} told as ${version}`)
  );
});

const repeatGivesFirst = check(
  "A repeat gives the first outcome",
  (part, world) => {
    const applied = new Set(historyOf(world).map((line) => line.submissionId));
    return part.submissions
      .filter((one) => one.reportedConflict)
      .map((one) => one.manifest.submissionId)
      .filter((id) => applied.has(id))
      .map((id) => `${id} was applied and told as a conflict`);
  },
);

const oneOfConflicting = check(
  "Acceptance is told to one of two conflicting manifests",
  (part) => {
    const winners = new Map<string, string>();
    return part.submissions.filter(({ reportedVersions: told }) =>
      told.length > 0
    ).flatMap(
      ({ manifest }) =>
        Object.entries(manifest.scopes).flatMap(([scope, change]) => {
          const base = `${scope} from ${change.basedOn}`;
          const winner = winners.get(base);
          winners.set(base, manifest.submissionId);
          return winner === undefined
            ? []
            : [`${winner} and ${manifest.submissionId}, both ${base}`];
        }),
    );
  },
);

const sameEverywhere = check(
  "All VMs end with the accepted head in force",
  (_part, world) => {
    const head = historyOf(world).at(-1)?.version ?? 0;
    return [...world.vms.values()]
      .filter((vm) => vm.configuration.version() !== head)
      .map((vm) =>
        `${vm.context.identity.id} has ${vm.configuration.version()}, head ${head}`
      );
  },
  "quiescence",
);

function mutant(name: string, policies: VmPolicies): Mutant {
  return {
    name,
    createVm: (context: VmContext) => new Vm(context, policies),
  };
}

function repeated<T>(one: T, times: number): T[] {
  return Array.from({ length: times }, () => one);
}

/** Configuration: acceptance, spread and repeats. */
export const CONFIGURATION_DOMAIN: FuzzDomain = {
  name: CONFIGURATION,
  createState: (): ConfigurationState => ({
    submissions: [],
    monitor: undefined,
  }),
  // As many as the faults have, so that about half of the commands are these.
  commands: [
    ...repeated(submitNew, 8),
    ...repeated(repeat, 4),
    ...repeated(loseCommitReply, 2),
  ],
  checks: [
    appliedOnce,
    toldIsTrue,
    repeatGivesFirst,
    oneOfConflicting,
    sameEverywhere,
  ],
  mutants: [
    mutant("no monotonic check", {
      configuration: { isNewer: (offered, inForce) => offered !== inForce },
    }),
    mutant("no submission row", {
      configuration: { keepsSubmissionRow: false },
    }),
    mutant("no base-version check", {
      configuration: { checksBaseVersions: false },
    }),
  ],
};
