/** Injects faults: VMs that are killed or frozen, network paths that are cut or drop messages, a platform and engines that fail. */
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

/** State of the faults domain in one run. */
export interface FaultsState {
  /** VMs that are currently frozen. */
  readonly frozen: Set<string>;
  /** Pairs of hosts that are currently cut from each other, by both names. */
  readonly cuts: Map<string, readonly [string, string]>;
  /** Engines that the crashEngine command crashed and that were not restarted yet; crashes by prompts are not included. */
  readonly downEngines: Set<string>;
  /** VMs that were subject to a fault in this run, thawed and killed ones included, and the other hosts of cut paths. */
  readonly affectedVms: Set<string>;
  /** True once any fault has occurred in this run. */
  anyOccurred: boolean;
}

/** Name of the faults domain. */
export const FAULTS = "faults";

type Action = (state: FaultsState, world: World) => Promise<void> | void;

function fault(label: string, action: Action): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      const state = stateOf<FaultsState>(model, FAULTS);
      state.anyOccurred = true;
      await action(state, world);
    },
    toString: () => label,
  };
}

/** Picks an item by a drawn number modulo the count, so that a drawn number stays valid while the run is shrunk; undefined if there is none. */
export function pick<T>(items: Iterable<T>, drawn: number): T | undefined {
  const choices = [...items];
  return choices[drawn % choices.length];
}

const index = fc.nat({ max: 11 });

const killAndReplace = index.map((drawn) =>
  fault(`killAndReplaceVm(${drawn})`, (state, world) => {
    const name = pick(world.vms.keys(), drawn);
    if (!name || world.vms.size <= 1) return;
    state.frozen.delete(name);
    state.affectedVms.add(name);
    world.killVm(name);
    if (world.vms.size < MAX_VMS) world.addVm();
  })
);

const freeze = fc.tuple(index, fc.integer({ min: 100, max: MAX_FREEZE_MS }))
  .map(([drawn, forMs]) =>
    fault(`freezeVm(${drawn}, ${forMs})`, (state, world) => {
      const name = pick(world.vms.keys(), drawn);
      if (!name || state.frozen.has(name)) return;
      state.frozen.add(name);
      state.affectedVms.add(name);
      world.network.freeze(name);
      world.timers.runDetached(() =>
        setTimeout(() => thaw(state, { world, name }), forMs)
      );
    })
  );

const cutPair = fc.tuple(index, index).map(([a, b]) =>
  fault(`cut(${a}, ${b})`, (state, world) => {
    const from = pick(world.vms.keys(), a);
    const to = pick(hostsOf(world), b);
    if (!from || !to || from === to) return;
    cut(state, { world, pair: [from, to] });
  })
);

const cutDataCentre = index.map((drawn) =>
  fault(`cutDataCentre(${drawn})`, (state, world) => {
    const vms = [...world.vms.values()];
    const vm = pick(vms, drawn);
    if (!vm) return;
    const dataCentre = vm.context.identity.dataCentre;
    for (const near of vms) {
      if (near.context.identity.dataCentre !== dataCentre) continue;
      for (const far of vms) {
        if (far.context.identity.dataCentre === dataCentre) continue;
        const pair = [
          near.context.identity.id,
          far.context.identity.id,
        ] as const;
        cut(state, { world, pair });
      }
    }
  })
);

const healAll = fc.constant(null).map(() =>
  fault("healPaths()", (state, world) => healPaths(state, world))
);

const silence = fc.tuple(index, index).map(([a, b]) =>
  fault(`silence(${a}, ${b})`, (state, world) => {
    const from = pick(world.vms.keys(), a);
    const to = pick(hostsOf(world), b);
    if (!from || !to) return;
    state.affectedVms.add(from);
    world.network.silence(from, to);
  })
);

const platformDown = fc.constant(null).map(() =>
  fault("platformDown()", (_state, world) => {
    world.platformFaults.down = true;
  })
);

const platformSlow = fc.integer({ min: 10, max: MAX_PLATFORM_DELAY_MS }).map((
  delayMs,
) =>
  fault(`platformSlow(${delayMs})`, (_state, world) => {
    world.platformFaults.delayMs = delayMs;
  })
);

const platformHealed = fc.constant(null).map(() =>
  fault("platformHealed()", (_state, world) => healPlatform(world))
);

const loseReplies = fc.integer({ min: 1, max: 3 }).map((count) =>
  fault(`loseReplies(${count})`, (_state, world) => {
    world.platformFaults.loseReplies += count;
  })
);

const crashEngine = index.map((drawn) =>
  fault(`crashEngine(${drawn})`, (state, world) => {
    const address = pick(world.engines.keys(), drawn);
    if (!address) return;
    state.downEngines.add(address);
    world.crashEngine(address);
  })
);

const restartEngines = fc.constant(null).map(() =>
  fault("restartEngines()", (state, world) => restartAll(state, world))
);

const stallTransfers = fc.tuple(index, fc.boolean()).map(([drawn, stalled]) =>
  fault(`stallTransfers(${drawn}, ${stalled})`, (_state, world) => {
    const engine = pick(prefillsOf(world), drawn);
    engine?.link.stall(stalled);
  })
);

const freezeReports = fc.tuple(index, fc.boolean()).map(([drawn, frozen]) =>
  fault(`freezeReports(${drawn}, ${frozen})`, (_state, world) => {
    pick(world.engines.values(), drawn)?.freezeReports(frozen);
  })
);

/** Faults of VMs, network paths, the platform and engines. Several may overlap. */
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
    findViolations: recordFreezes,
  }],
  mutants: [],
  heal(model, world) {
    const state = stateOf<FaultsState>(model, FAULTS);
    state.frozen.clear();
    for (const name of world.vms.keys()) world.network.thaw(name);
    healPaths(state, world);
    healPlatform(world);
    restartAll(state, world);
    for (const engine of prefillsOf(world)) engine.link.stall(false);
    for (const engine of world.engines.values()) engine.freezeReports(false);
  },
};

/** Records freezes by other domains' commands; later checks rely on it, and this check reports no violations. */
function recordFreezes(model: FuzzModel, world: World): string[] {
  const state = stateOf<FaultsState>(model, FAULTS);
  for (const name of world.network.everFrozen) state.affectedVms.add(name);
  state.anyOccurred ||= world.network.everFrozen.size > 0;
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

/** Cuts the path between two hosts until all paths are healed. */
export function cut(
  state: FaultsState,
  options: { world: World; pair: readonly [string, string] },
): void {
  const [a, b] = options.pair;
  state.affectedVms.add(a);
  state.affectedVms.add(b);
  state.cuts.set(`${a} ${b}`, options.pair);
  options.world.network.cut(a, b);
}

function healPaths(state: FaultsState, world: World): void {
  for (const [a, b] of state.cuts.values()) world.network.heal(a, b);
  state.cuts.clear();
}

function healPlatform(world: World): void {
  world.platformFaults.down = false;
  world.platformFaults.delayMs = 0;
}

function thaw(
  state: FaultsState,
  options: { world: World; name: string },
): void {
  if (!state.frozen.delete(options.name)) return;
  options.world.network.thaw(options.name);
}

function restartAll(state: FaultsState, world: World): void {
  for (const address of world.engines.keys()) world.restartEngine(address);
  state.downEngines.clear();
}
