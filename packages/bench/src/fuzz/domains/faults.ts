/** Faults: VMs that die and freeze, paths that are cut or go silent, a platform and engines that fail. */
import { FakePrefillEngine, PLATFORM_HOST } from "@teaselvalve/fakes";
import fc from "fast-check";
import type { World } from "../../world/world.ts";
import {
  type FuzzCommand,
  type FuzzDomain,
  type FuzzModel,
  stateOf,
} from "../fuzz_domain.ts";

/** Longest freeze of a VM; longer than every lease. */
const MAX_FREEZE_MS = 25_000;
const MAX_PLATFORM_DELAY_MS = 1_500;
const MAX_VMS = 6;

/** What the faults domain knows of a run. */
export interface FaultsState {
  /** VMs that are frozen now. */
  readonly frozen: Set<string>;
  /** Pairs of hosts that are cut now. */
  readonly cuts: Map<string, readonly [string, string]>;
  /** Engines that are down now. */
  readonly downEngines: Set<string>;
  /** VMs that any fault has touched in this run. */
  readonly affectedVms: Set<string>;
  /** True once any fault has happened in this run. */
  anyOccurred: boolean;
}

/** Gives the faults of a run. */
export const FAULTS = "faults";

type Action = (part: FaultsState, world: World) => Promise<void> | void;

function fault(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      const part = stateOf<FaultsState>(model, FAULTS);
      part.anyOccurred = true;
      await action(part, world);
    },
    toString: () => label,
  };
}

/** Picks one of the names by a drawn number, so that shrinking keeps its meaning. */
export function pick<T>(names: Iterable<T>, drawn: number): T | undefined {
  const all = [...names];
  return all[drawn % all.length];
}

const index = fc.nat({ max: 11 });

const killAndReplace = index.map((at) =>
  fault(`killAndReplaceVm(${at})`, (part, world) => {
    const name = pick(world.vms.keys(), at);
    if (!name || world.vms.size <= 1) return;
    part.frozen.delete(name);
    part.affectedVms.add(name);
    world.killVm(name);
    if (world.vms.size < MAX_VMS) world.addVm();
  })
);

const freeze = fc.tuple(index, fc.integer({ min: 100, max: MAX_FREEZE_MS }))
  .map(([at, forMs]) =>
    fault(`freezeVm(${at}, ${forMs})`, (part, world) => {
      const name = pick(world.vms.keys(), at);
      if (!name || part.frozen.has(name)) return;
      part.frozen.add(name);
      part.affectedVms.add(name);
      world.network.freeze(name);
      world.timers.runDetached(() =>
        setTimeout(() => thaw(part, { world, name }), forMs)
      );
    })
  );

const cutPair = fc.tuple(index, index).map(([a, b]) =>
  fault(`cut(${a}, ${b})`, (part, world) => {
    const from = pick(world.vms.keys(), a);
    const to = pick(hostsOf(world), b);
    if (!from || !to || from === to) return;
    cut(part, { world, pair: [from, to] });
  })
);

const cutDataCentre = index.map((at) =>
  fault(`cutDataCentre(${at})`, (part, world) => {
    const vms = [...world.vms.values()];
    const vm = pick(vms, at);
    if (!vm) return;
    const inside = vm.context.identity.dataCentre;
    for (const near of vms) {
      if (near.context.identity.dataCentre !== inside) continue;
      for (const far of vms) {
        if (far.context.identity.dataCentre === inside) continue;
        const pair = [
          near.context.identity.id,
          far.context.identity.id,
        ] as const;
        cut(part, { world, pair });
      }
    }
  })
);

const healAll = fc.constant(null).map(() =>
  fault("healPaths()", (part, world) => healPaths(part, world))
);

const silence = fc.tuple(index, index).map(([a, b]) =>
  fault(`silence(${a}, ${b})`, (part, world) => {
    const from = pick(world.vms.keys(), a);
    const to = pick(hostsOf(world), b);
    if (!from || !to) return;
    part.affectedVms.add(from);
    world.network.silence(from, to);
  })
);

const platformDown = fc.constant(null).map(() =>
  fault("platformDown()", (_part, world) => {
    world.platformFaults.down = true;
  })
);

const platformSlow = fc.integer({ min: 10, max: MAX_PLATFORM_DELAY_MS }).map((
  delayMs,
) =>
  fault(`platformSlow(${delayMs})`, (_part, world) => {
    world.platformFaults.delayMs = delayMs;
  })
);

const platformHealed = fc.constant(null).map(() =>
  fault("platformHealed()", (_part, world) => healPlatform(world))
);

const loseReplies = fc.integer({ min: 1, max: 3 }).map((count) =>
  fault(`loseReplies(${count})`, (_part, world) => {
    world.platformFaults.loseReplies += count;
  })
);

const crashEngine = index.map((at) =>
  fault(`crashEngine(${at})`, (part, world) => {
    const address = pick(world.engines.keys(), at);
    if (!address) return;
    part.downEngines.add(address);
    world.crashEngine(address);
  })
);

const restartEngines = fc.constant(null).map(() =>
  fault("restartEngines()", (part, world) => restartAll(part, world))
);

const stallTransfers = fc.tuple(index, fc.boolean()).map(([at, stalled]) =>
  fault(`stallTransfers(${at}, ${stalled})`, (_part, world) => {
    const engine = pick(prefillsOf(world), at);
    engine?.link.stall(stalled);
  })
);

const freezeReports = fc.tuple(index, fc.boolean()).map(([at, frozen]) =>
  fault(`freezeReports(${at}, ${frozen})`, (_part, world) => {
    pick(world.engines.values(), at)?.freezeReports(frozen);
  })
);

/** Faults of VMs, paths, the platform and engines. Two or three may overlap. */
export const FAULTS_DOMAIN: FuzzDomain = {
  name: FAULTS,
  createState: (): FaultsState => ({
    frozen: new Set(),
    cuts: new Map(),
    downEngines: new Set(),
    affectedVms: new Set(),
    anyOccurred: false,
  }),
  commands: [
    killAndReplace,
    freeze,
    cutPair,
    cutDataCentre,
    healAll,
    silence,
    platformDown,
    platformSlow,
    platformHealed,
    loseReplies,
    crashEngine,
    restartEngines,
    stallTransfers,
    freezeReports,
  ],
  checks: [{
    name: "faults",
    when: "always",
    findViolations: noteFreezes,
  }],
  mutants: [],
  heal(model, world) {
    const part = stateOf<FaultsState>(model, FAULTS);
    part.frozen.clear();
    for (const name of world.vms.keys()) world.network.thaw(name);
    healPaths(part, world);
    healPlatform(world);
    restartAll(part, world);
    for (const engine of prefillsOf(world)) engine.link.stall(false);
    for (const engine of world.engines.values()) engine.freezeReports(false);
  },
};

/** Other domains freeze VMs too; all checks after this one know of it. */
function noteFreezes(model: FuzzModel, world: World): string[] {
  const part = stateOf<FaultsState>(model, FAULTS);
  for (const name of world.network.everFrozen) part.affectedVms.add(name);
  part.anyOccurred ||= world.network.everFrozen.size > 0;
  return [];
}

function hostsOf(world: World): string[] {
  return [
    ...world.vms.keys(),
    ...world.engines.keys(),
    ...world.services.keys(),
    PLATFORM_HOST,
  ];
}

function prefillsOf(world: World): FakePrefillEngine[] {
  return [...world.engines.values()].filter((engine) =>
    engine instanceof FakePrefillEngine
  );
}

/** Cuts the path between two hosts, until it is healed with all others. */
export function cut(
  part: FaultsState,
  options: { world: World; pair: readonly [string, string] },
): void {
  const [a, b] = options.pair;
  part.affectedVms.add(a);
  part.affectedVms.add(b);
  part.cuts.set(`${a} ${b}`, options.pair);
  options.world.network.cut(a, b);
}

function healPaths(part: FaultsState, world: World): void {
  for (const [a, b] of part.cuts.values()) world.network.heal(a, b);
  part.cuts.clear();
}

function healPlatform(world: World): void {
  world.platformFaults.down = false;
  world.platformFaults.delayMs = 0;
}

function thaw(
  part: FaultsState,
  options: { world: World; name: string },
): void {
  if (!part.frozen.delete(options.name)) return;
  options.world.network.thaw(options.name);
}

function restartAll(part: FaultsState, world: World): void {
  for (const address of world.engines.keys()) world.restartEngine(address);
  part.downEngines.clear();
}
