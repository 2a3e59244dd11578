/**
 * `npm run measure:configuration -- --json`: bytes of fetching changes and of
 * fetching snapshots, and time until a change is active on all VMs.
 */
import process from "node:process";
import { type SubmissionOutcome, Vm } from "@teaselvalve/core";
import { command, flag, number, option, run } from "cmd-ts";
import { quantileSorted } from "simple-statistics";
import { World } from "../world/world.ts";
import { ByteCounter, type ControlBytes } from "./control_bytes.ts";

const VMS = 9;
const WORKSPACES = 5_800;
/** Enough changes to include one that stores a whole body. */
const CHANGES = 33;
const CHANGE_INTERVAL_MS = 6_000;
const IDLE_MS = 30_000;
const CHANGES_PER_DAY = 290;
const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const ACTIVATION_STEP_MS = 10;
const ACTIVATION_MAX_MS = 20_000;
const PARTITION_MS = 15_000;

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
    const result = {
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
    process.stdout.write(`${JSON.stringify(result, null, indent)}\n`);
  },
});

await run(program, process.argv.slice(2));

async function measureBytes(mode: FetchMode, seed: number) {
  const counter = new ByteCounter();
  const policies = { configuration: { snapshotsOnly: mode === "snapshots" } };
  const world = await World.create({
    seed,
    vms: VMS,
    createVm: (context) => new Vm(counter.wrap(context), policies),
  });
  try {
    const workspaces = listWorkspaces();
    await submitWorkspaces(world, workspaces);
    await world.advance(IDLE_MS);
    counter.take();
    await world.advance(IDLE_MS);
    const idle = perSecondAndVm(counter.take(), IDLE_MS);
    for (let index = 0; index < CHANGES; index += 1) {
      const weight = index + 2;
      workspaces[index * 7] = { ...workspaces[index * 7]!, weight };
      await submitWorkspaces(world, workspaces, CHANGE_INTERVAL_MS);
    }
    const busy = perSecondAndVm(counter.take(), CHANGES * CHANGE_INTERVAL_MS);
    const bytesPerChange = (name: keyof ControlBytes) =>
      (busy[name] - idle[name]) * CHANGE_INTERVAL_MS / MS_PER_SECOND;
    const perDay = (name: keyof ControlBytes) =>
      round(
        idle[name] + bytesPerChange(name) * CHANGES_PER_DAY / SECONDS_PER_DAY,
      );
    const bodyBytes = JSON.stringify(workspaces).length;
    return {
      workspacesBodyBytes: bodyBytes,
      idleBytesPerSecondAndVm: mapBytes((name) => round(idle[name])),
      tenAMinuteBytesPerSecondAndVm: mapBytes((name) => round(busy[name])),
      bytesPerChangeAndVm: mapBytes((name) => round(bytesPerChange(name))),
      /** Computed from the idle bytes and the bytes per change. */
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
  const timesMs: number[] = [];
  const fromSubmissionMs: number[] = [];
  let notInTime = 0;
  let notAccepted = 0;
  for (let trial = 0; trial < options.trials; trial += 1) {
    const world = await World.create({
      seed: options.seed * 1_000 + trial,
      vms: VMS,
    });
    try {
      // Trials start at different times relative to the polls.
      await world.advance(trial * 37);
      const result = await timeActivation(world, fault);
      if (!result) notAccepted += 1;
      else {
        timesMs.push(...result.timesMs);
        fromSubmissionMs.push(
          ...result.timesMs.map((ms) => ms + result.acceptedAfterMs),
        );
        notInTime += result.late;
      }
    } finally {
      world.close();
    }
  }
  return {
    trials: options.trials,
    notAccepted,
    notInTime,
    /**
     * Since the reported acceptance; since the end of the partition if there
     * was one.
     */
    ...quantiles(timesMs),
    ...(fault === "dataCentreCut"
      ? {}
      : { fromSubmission: quantiles(fromSubmissionMs) }),
  };
}

function quantiles(timesMs: readonly number[]) {
  const sorted = [...timesMs].sort((a, b) => a - b);
  const quantile = (share: number) =>
    sorted.length > 0 ? quantileSorted(sorted, share) : null;
  return { p50: quantile(0.5), p99: quantile(0.99), max: quantile(1) };
}

/**
 * Measures the times from the reported acceptance, or from the end of the
 * partition, until the version is active on each VM. Returns null if the
 * manifest was not accepted in time.
 */
async function timeActivation(world: World, fault: Fault) {
  const cutVms = [...world.vms.keys()].filter((_, index) => index % 3 === 2);
  const paths = cutVms.flatMap((a) =>
    [...world.vms.keys(), "platform"]
      .filter((b) => !cutVms.includes(b))
      .map((b) => [a, b] as const)
  );
  if (fault === "dataCentreCut") {
    for (const [a, b] of paths) world.network.cut(a, b);
  }
  let outcome: SubmissionOutcome | undefined;
  void submit(world, [{ id: "lenders" }, { id: "clinics" }]).then((settled) => {
    outcome = settled;
    if (fault === "platformDown") world.platformFaults.down = true;
  });
  const startedAtMs = performance.now();
  while (!outcome && performance.now() - startedAtMs < ACTIVATION_MAX_MS) {
    await world.advance(ACTIVATION_STEP_MS);
  }
  if (outcome?.kind !== "accepted") return null;
  const acceptedAfterMs = performance.now() - startedAtMs;
  if (fault === "dataCentreCut") {
    await world.advance(PARTITION_MS);
    for (const [a, b] of paths) world.network.heal(a, b);
  }
  return {
    acceptedAfterMs,
    ...await waitForActivation(world, outcome.version),
  };
}

async function waitForActivation(world: World, version: number) {
  const sinceMs = performance.now();
  const pendingVms = new Set(world.vms.values());
  const timesMs: number[] = [];
  while (
    pendingVms.size > 0 && performance.now() - sinceMs < ACTIVATION_MAX_MS
  ) {
    for (const vm of [...pendingVms]) {
      if (vm.configuration.version() < version) continue;
      pendingVms.delete(vm);
      timesMs.push(performance.now() - sinceMs);
    }
    await world.advance(ACTIVATION_STEP_MS);
  }
  return { timesMs, late: pendingVms.size };
}

interface MeasuredWorkspace {
  id: string;
  weight?: number;
  tokens?: { hash: string; caller: string }[];
  quota?: Record<string, number>;
}

function listWorkspaces(): MeasuredWorkspace[] {
  return Array.from({ length: WORKSPACES }, (_, index) => ({
    id: `workspace-${String(index).padStart(5, "0")}`,
    tokens: [{
      hash: String(index).padStart(64, "0"),
      caller: `caller-${index}`,
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

function mapBytes(bytesOf: (name: keyof ControlBytes) => number) {
  const bytes: ControlBytes = {
    peers: bytesOf("peers"),
    rows: bytesOf("rows"),
    fetched: bytesOf("fetched"),
    written: bytesOf("written"),
  };
  return {
    ...bytes,
    total: bytes.peers + bytes.rows + bytes.fetched + bytes.written,
  };
}

function round(value: number): number {
  return Math.round(value);
}
