/** Fuzzes manifests that race, are repeated and lose their replies; checks the history, the replies and the active version of each VM. */
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

/** Name of the configuration domain. */
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
  /** Versions that a reply reported as accepted or pending. */
  readonly reportedVersions: number[];
  /** Whether any attempt was answered with a conflict. */
  reportedConflict: boolean;
}

/** Submissions of one run, and the monitor of its VMs' versions. */
export interface ConfigurationState {
  readonly submissions: FuzzSubmission[];
  monitor: ConfigurationMonitor | undefined;
}

/** Creates a command that runs an action and then advances the clock by `thenMs`. */
function step(
  label: string,
  action: (state: ConfigurationState, world: World) => void,
  thenMs = 0,
): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      const state = stateOf<ConfigurationState>(model, CONFIGURATION);
      state.monitor ??= new ConfigurationMonitor(world, model.findings);
      action(state, world);
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
    (state, world) => {
      const name = pick(world.vms.keys(), vm);
      const active = name && world.vms.get(name)!.configuration.current();
      if (!active) return;
      const basedOn = Math.max(
        0,
        (active.head.scopes[scope]?.version ?? 0) - behind,
      );
      const body = scope === "workspaces"
        ? [
          ...["lenders", "offices", `extra-${variant}`].map((id) => ({ id })),
        ]
        : {
          ...active.bodies.deployment,
          callRetentionMs: 86_400_000 + variant,
        };
      const submission: FuzzSubmission = {
        manifest: {
          submissionId: `fuzz-${state.submissions.length}`,
          scopes: { [scope]: { basedOn, body } },
        },
        reportedVersions: [],
        reportedConflict: false,
      };
      state.submissions.push(submission);
      send(submission, { state, world, name });
    },
    thenMs,
  )
);

const repeat = fc.tuple(index, index, thenMs).map(([drawn, vm, thenMs]) =>
  step(`repeatSubmission(${drawn}, ${vm}, ${thenMs})`, (state, world) => {
    const submission = pick(state.submissions, drawn);
    const name = pick(world.vms.keys(), vm);
    if (submission && name) send(submission, { state, world, name });
  }, thenMs)
);

const loseCommitReply = fc.constant(null).map(() =>
  step("loseCommitReply()", (_state, world) => {
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
  submission: FuzzSubmission,
  options: { state: ConfigurationState; world: World; name: string },
): void {
  const { state, world, name } = options;
  void (world.submitManifest(name, submission.manifest) as Promise<
    SubmissionOutcome
  >).then((outcome) => {
    submission.reportedConflict ||= outcome.kind === "conflict";
    if (outcome.kind !== "accepted" && outcome.kind !== "pending") return;
    submission.reportedVersions.push(outcome.version);
    if (outcome.kind === "accepted") state.monitor?.onAccepted(outcome.version);
  });
}

interface HistoryEntry {
  readonly version: number;
  readonly submissionId: string;
}

function historyOf(world: World): HistoryEntry[] {
  return world.platform.scan(TABLE, "history/", { limit: MAX_HISTORY })
    .map((row) => row.value as unknown as HistoryEntry);
}

function check(
  name: string,
  find: (state: ConfigurationState, world: World) => string[],
  when: Check["when"] = "always",
): Check {
  return {
    name,
    when,
    findViolations: (model: FuzzModel, world: World) =>
      find(stateOf<ConfigurationState>(model, CONFIGURATION), world),
  };
}

const appliedOnce = check("A submission is applied once", (_state, world) => {
  const seen = new Set<string>();
  return historyOf(world).flatMap(({ submissionId, version }) => {
    if (!seen.has(submissionId)) {
      seen.add(submissionId);
      return [];
    }
    return [`${submissionId} again as version ${version}`];
  });
});

const reportedIsInHistory = check(
  "Reported versions are in the history",
  (state, world) => {
    const history = new Map(
      historyOf(world).map((entry) => [entry.version, entry.submissionId]),
    );
    return state.submissions.flatMap(({ manifest, reportedVersions }) =>
      reportedVersions
        .filter((version) => history.get(version) !== manifest.submissionId)
        .map((version) => `${manifest.submissionId} reported as ${version}`)
    );
  },
);

const repeatReportsFirstOutcome = check(
  "A repeated submission reports the first outcome",
  (state, world) => {
    const applied = new Set(
      historyOf(world).map((entry) => entry.submissionId),
    );
    return state.submissions
      .filter((one) => one.reportedConflict)
      .map((one) => one.manifest.submissionId)
      .filter((id) => applied.has(id))
      .map((id) => `${id} was applied and reported as a conflict`);
  },
);

const oneOfConflictingAccepted = check(
  "Only one of two conflicting manifests is reported as accepted",
  (state) => {
    const winners = new Map<string, string>();
    return state.submissions.filter(({ reportedVersions }) =>
      reportedVersions.length > 0
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

const sameHeadEverywhere = check(
  "The accepted head becomes active at all VMs",
  (_state, world) => {
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

function repeated<T>(item: T, times: number): T[] {
  return Array.from({ length: times }, () => item);
}

/** Acceptance, propagation and repeats of manifests. */
export const CONFIGURATION_DOMAIN: FuzzDomain = {
  name: CONFIGURATION,
  createState: (): ConfigurationState => ({
    submissions: [],
    monitor: undefined,
  }),
  // As many entries as the faults domain has commands, so that about half of the drawn commands are these.
  commands: [
    ...repeated(submitNew, 8),
    ...repeated(repeat, 4),
    ...repeated(loseCommitReply, 2),
  ],
  checks: [
    appliedOnce,
    reportedIsInHistory,
    repeatReportsFirstOutcome,
    oneOfConflictingAccepted,
    sameHeadEverywhere,
  ],
  mutants: [
    mutant("no monotonic check", {
      configuration: { isNewer: (offered, active) => offered !== active },
    }),
    mutant("no submission row", {
      configuration: { keepsSubmissionRow: false },
    }),
    mutant("no base-version check", {
      configuration: { checksBaseVersions: false },
    }),
  ],
};
