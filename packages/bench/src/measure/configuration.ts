/** `npm run measure:configuration -- --json`: bytes of both ways to fetch, and time until in force. */
import process from "node:process";
import { type SubmissionOutcome, Vm } from "@teaselvalve/core";
import { command, flag, number, option, run } from "cmd-ts";
import { quantileSorted } from "simple-statistics";
import { World } from "../world/world.ts";
import { ByteCounter, type ControlBytes } from "./control_bytes.ts";

const VMS = 9;
const WORKSPACES = 5_800;
/** As many that one whole body is stored among them. */
const CHANGES = 33;
const CHANGE_INTERVAL_MS = 6_000;
const IDLE_MS = 30_000;
const CHANGES_A_DAY = 290;
const SECONDS_A_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const IN_FORCE_STEP_MS = 10;
const IN_FORCE_MAX_MS = 20_000;
const CUT_MS = 15_000;

type FetchMode = "differences" | "snapshots";
type Fault = "healthy" | "platformDown" | "dataCentreCut";

const program = command({
  name: "measure:configuration",
  args: {
    json: flag({ long: "json" }),
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    trials: option({ long: "trials", type: number, defaultValue: () => 30 }),
  },
  async handler({ json, seed, trials }) {
    const measured = {
      seed,
      vms: VMS,
      workspaces: WORKSPACES,
      bytes: {
        differences: await measureBytes("differences", seed),
        snapshots: await measureBytes("snapshots", seed),
      },
      inForceMs: {
        healthy: await measureActivation("healthy", { seed, trials }),
        platformDown: await measureActivation("platformDown", { seed, trials }),
        dataCentreCut: await measureActivation("dataCentreCut", {
          seed,
          trials,
        }),
      },
    };
    const indent = json ? undefined : 2;
    process.stdout.write(`${JSON.stringify(measured, null, indent)}\n`);
  },
});

await run(program, process.argv.slice(2));

async function measureBytes(way: FetchMode, seed: number) {
  const count = new ByteCounter();
  const policies = { configuration: { snapshotsOnly: way === "snapshots" } };
  const world = await World.create({
    seed,
    vms: VMS,
    createVm: (context) => new Vm(count.wrap(context), policies),
  });
  try {
    const workspaces = listWorkspaces();
    await submitWorkspaces(world, workspaces);
    await world.advance(IDLE_MS);
    count.take();
    await world.advance(IDLE_MS);
    const idle = perSecondAndVm(count.take(), IDLE_MS);
    for (let at = 0; at < CHANGES; at += 1) {
      const weight = at + 2;
      workspaces[at * 7] = { ...workspaces[at * 7]!, weight };
      await submitWorkspaces(world, workspaces, CHANGE_INTERVAL_MS);
    }
    const busy = perSecondAndVm(count.take(), CHANGES * CHANGE_INTERVAL_MS);
    const changeBytes = (name: keyof ControlBytes) =>
      (busy[name] - idle[name]) * CHANGE_INTERVAL_MS / MS_PER_SECOND;
    const perDay = (name: keyof ControlBytes) =>
      round(idle[name] + changeBytes(name) * CHANGES_A_DAY / SECONDS_A_DAY);
    const worldBodyBytes = JSON.stringify(workspaces).length;
    return {
      workspacesBodyBytes: worldBodyBytes,
      idleBytesPerSecondAndVm: mapBytes((name) => round(idle[name])),
      tenAMinuteBytesPerSecondAndVm: mapBytes((name) => round(busy[name])),
      bytesPerChangeAndVm: mapBytes((name) => round(changeBytes(name))),
      /** From the idle figure and the slope of a change. */
      changes290ADayBytesPerSecondAndVm: mapBytes(perDay),
    };
  } finally {
    world.close();
  }
}

async function measureActivation(
  fault: Fault,
  options: { seed: number; trials: number },
) {
  const times: number[] = [];
  const fromSubmission: number[] = [];
  let notInTime = 0;
  let notAccepted = 0;
  for (let trial = 0; trial < options.trials; trial += 1) {
    const world = await World.create({
      seed: options.seed * 1_000 + trial,
      vms: VMS,
    });
    try {
      // Trials start at different places between two polls.
      await world.advance(trial * 37);
      const measured = await timeActivation(world, fault);
      if (!measured) notAccepted += 1;
      else {
        times.push(...measured.timesMs);
        fromSubmission.push(
          ...measured.timesMs.map((ms) => ms + measured.toldAfterMs),
        );
        notInTime += measured.late;
      }
    } finally {
      world.close();
    }
  }
  return {
    trials: options.trials,
    notAccepted,
    notInTime,
    /** From the told acceptance; from the healing where a path was cut. */
    ...quantiles(times),
    ...(fault === "dataCentreCut"
      ? {}
      : { fromSubmission: quantiles(fromSubmission) }),
  };
}

function quantiles(times: readonly number[]) {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted.length > 0 ? quantileSorted(sorted, share) : null;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}

/** Times from the told acceptance, or from the healing of a cut, until each VM has the version in force. */
async function timeActivation(world: World, fault: Fault) {
  const inside = [...world.vms.keys()].filter((_, at) => at % 3 === 2);
  const paths = inside.flatMap((a) =>
    [...world.vms.keys(), "platform"]
      .filter((b) => !inside.includes(b))
      .map((b) => [a, b] as const)
  );
  if (fault === "dataCentreCut") {
    for (const [a, b] of paths) world.network.cut(a, b);
  }
  let told: SubmissionOutcome | undefined;
  void submit(world, [{ id: "lenders" }, { id: "clinics" }]).then((outcome) => {
    told = outcome;
    if (fault === "platformDown") world.platformFaults.down = true;
  });
  const startedAtMs = performance.now();
  while (!told && performance.now() - startedAtMs < IN_FORCE_MAX_MS) {
    await world.advance(IN_FORCE_STEP_MS);
  }
  if (told?.kind !== "accepted") return null;
  const toldAfterMs = performance.now() - startedAtMs;
  if (fault === "dataCentreCut") {
    await world.advance(CUT_MS);
    for (const [a, b] of paths) world.network.heal(a, b);
  }
  return { toldAfterMs, ...await waitForActivation(world, told.version) };
}

async function waitForActivation(world: World, version: number) {
  const sinceMs = performance.now();
  const waiting = new Set(world.vms.values());
  const timesMs: number[] = [];
  while (waiting.size > 0 && performance.now() - sinceMs < IN_FORCE_MAX_MS) {
    for (const vm of [...waiting]) {
      if (vm.configuration.version() < version) continue;
      waiting.delete(vm);
      timesMs.push(performance.now() - sinceMs);
    }
    await world.advance(IN_FORCE_STEP_MS);
  }
  return { timesMs, late: waiting.size };
}

interface MeasuredWorkspace {
  id: string;
  weight?: number;
  tokens?: { hash: string; caller: string }[];
  quota?: Record<string, number>;
}

function listWorkspaces(): MeasuredWorkspace[] {
  return Array.from({ length: WORKSPACES }, (_, at) => ({
    id: `workspace-${String(at).padStart(5, "0")}`,
    tokens: [{
      hash: String(at).padStart(64, "0"),
      caller: `caller-${at}`,
    }],
    quota: { requestsPerSecond: 5, tokensPerSecond: 5_000, inFlight: 20 },
  }));
}

async function submitWorkspaces(
  world: World,
  body: readonly MeasuredWorkspace[],
  waitMs = CHANGE_INTERVAL_MS,
): Promise<void> {
  const outcome = submit(world, body);
  await world.advance(waitMs);
  const { kind } = await outcome;
  if (kind !== "accepted") {
    throw new Error(`A manifest was not accepted: ${kind}`);
  }
}

function submit(
  world: World,
  body: readonly MeasuredWorkspace[],
): Promise<SubmissionOutcome> {
  const [vm] = world.vms.values();
  const { head } = vm!.configuration.current()!;
  return world.submitManifest(vm!.context.identity.id, {
    submissionId: `measured-${head.version}`,
    scopes: {
      workspaces: { basedOn: head.scopes.workspaces!.version, body },
    },
  }) as Promise<SubmissionOutcome>;
}

function perSecondAndVm(bytes: ControlBytes, forMs: number): ControlBytes {
  const share = (amount: number) => amount * MS_PER_SECOND / forMs / VMS;
  return {
    peers: share(bytes.peers),
    rows: share(bytes.rows),
    fetched: share(bytes.fetched),
    written: share(bytes.written),
  };
}

function mapBytes(of: (name: keyof ControlBytes) => number) {
  const all: ControlBytes = {
    peers: of("peers"),
    rows: of("rows"),
    fetched: of("fetched"),
    written: of("written"),
  };
  return { ...all, total: all.peers + all.rows + all.fetched + all.written };
}

function round(value: number): number {
  return Math.round(value);
}
