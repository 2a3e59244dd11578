/** Fuzzes engine orders: manifests that change engines' versions and models, delayed orders, lease holders that freeze. */
import {
  type EngineOrder,
  LEASE_MS,
  MAX_SAFE_FREEZE_MS,
  Vm,
  type VmContext,
} from "@teaselvalve/core";
import fc from "fast-check";
import { MODEL, type World } from "../../world/world.ts";
import { type FuzzCommand, type FuzzDomain, stateOf } from "../fuzz_domain.ts";
import { pick } from "./faults.ts";

/** Name of the orders domain. */
export const ORDERS = "orders";

const TABLE = "orders";
const OTHER_MODEL = "other";
/** The engine whose model manifests change. */
const MOVED_ENGINE = "decode-3";
const LOADS_PER_MINUTE = 600;
/** Longest freeze of a lease holder; longer than the lease and the wait after it. */
const MAX_HOLDER_FREEZE_MS = 5 * LEASE_MS;

/** State of the orders domain in one run. */
export interface OrdersState {
  isObserving: boolean;
  submissionCount: number;
  /** Descriptions of orders that engines accepted with a fencing number below the current one; cleared by each check. */
  readonly staleOrders: string[];
  /** The highest fencing number announced to engines ahead of an order. */
  highestAnnounced: number;
  /** True once all faults are healed; from then on no VM is frozen. */
  healed: boolean;
}

/** Creates a command that runs an action and then advances the clock by `thenMs`. */
function step(
  label: string,
  action: (state: OrdersState, world: World) => void,
  thenMs = 0,
): FuzzCommand {
  return {
    check: () => true,
    async run(model, world) {
      const state = stateOf<OrdersState>(model, ORDERS);
      if (!state.isObserving) observeOrders(state, world);
      action(state, world);
      await world.advance(thenMs);
    },
    toString: () => label,
  };
}

function observeOrders(state: OrdersState, world: World): void {
  state.isObserving = true;
  for (const [name, engine] of world.engines) {
    engine.onOrder = (order) => {
      if (order.model === undefined) {
        state.highestAnnounced = Math.max(
          state.highestAnnounced,
          order.fencingNumber,
        );
      }
      const current = fencingNumberOf(world, order);
      if (order.fencingNumber >= current) return;
      state.staleOrders.push(
        `${name} accepted ${order.fencingNumber} although ${current} was issued`,
      );
    };
  }
}

interface LeaseValue {
  readonly incarnation: string;
  readonly fencingNumber: number;
  readonly released: boolean;
}

function leaseOf(world: World, model: string): LeaseValue | undefined {
  return world.platform.read(TABLE, `lease/${model}`)?.value as unknown as
    | LeaseValue
    | undefined;
}

// An order without a model changes nothing; it only announces the fencing number.
function fencingNumberOf(world: World, order: EngineOrder): number {
  if (order.model === undefined) return 0;
  return leaseOf(world, order.model)?.fencingNumber ?? 0;
}

const index = fc.nat({ max: 11 });

const changeEngines = fc.record({
  vm: index,
  version: fc.nat({ max: 2 }),
  moved: fc.boolean(),
  checksFencing: fc.boolean(),
  thenMs: fc.constantFrom(500, 4_000, 12_000),
}).map(({ vm, version, moved, checksFencing, thenMs }) =>
  step(
    `changeEngines(${vm}, v${version}, ${moved}, ${checksFencing}, ${thenMs})`,
    (state, world) => {
      const name = pick(world.vms.keys(), vm);
      const active = name && world.vms.get(name)!.configuration.current();
      if (!active) return;
      state.submissionCount += 1;
      const endpoints = active.bodies.endpoints.map((endpoint) => {
        if (endpoint.kind !== "decode") return endpoint;
        const model = moved && endpoint.id === MOVED_ENGINE
          ? OTHER_MODEL
          : MODEL;
        return {
          ...endpoint,
          model,
          modelVersion: `v${version}`,
          checksFencing,
        };
      });
      const deployment = {
        ...active.bodies.deployment,
        modelLoadsPerMinute: LOADS_PER_MINUTE,
      };
      for (const engine of world.engines.values()) {
        engine.checksFencing = checksFencing;
      }
      void world.submitManifest(name, {
        submissionId: `engines-${state.submissionCount}`,
        allowModelWithoutReplica: true,
        scopes: {
          deployment: {
            basedOn: active.head.scopes.deployment!.version,
            body: deployment,
          },
          endpoints: {
            basedOn: active.head.scopes.endpoints!.version,
            body: endpoints,
          },
        },
      });
    },
    thenMs,
  )
);

const delayOrders = fc.tuple(index, fc.nat({ max: MAX_SAFE_FREEZE_MS })).map((
  [drawn, delayMs],
) =>
  step(`delayOrders(${drawn}, ${delayMs})`, (_state, world) => {
    const engine = pick(world.engines.values(), drawn);
    if (engine) engine.orderDelayMs = delayMs;
  })
);

/** Freezes a lease holder once, just before it sends orders; the first `skip` such moments pass without a freeze. */
const freezeBeforeSend = fc.tuple(
  fc.integer({ min: LEASE_MS, max: MAX_HOLDER_FREEZE_MS }),
  fc.nat({ max: 1 }),
  fc.constantFrom(2_000, 60_000),
).map(([forMs, skip, thenMs]) =>
  step(`freezeBeforeSend(${forMs}, ${skip}, ${thenMs})`, (state, world) => {
    let remainingSkips = skip;
    for (const [name, vm] of world.vms) {
      const { engines } = vm.context.ports;
      const report = engines.report;
      // The reports of other models' engines are the last thing a holder requests before it sends orders.
      engines.report = (endpoint, options) => {
        const lease = leaseOf(world, MODEL);
        const mayOrder = lease && !lease.released &&
          lease.incarnation === vm.context.identity.incarnation &&
          state.highestAnnounced >= lease.fencingNumber;
        if (
          mayOrder && !state.healed && endpoint.id === MOVED_ENGINE &&
          remainingSkips >= 0
        ) {
          remainingSkips -= 1;
          if (remainingSkips >= 0) return report(endpoint, options);
          world.network.freeze(name);
          world.timers.runDetached(() =>
            setTimeout(() => world.network.thaw(name), forMs)
          );
        }
        return report(endpoint, options);
      };
    }
  }, thenMs)
);

/** Orders that lease holders send to engines. */
export const ORDERS_DOMAIN: FuzzDomain = {
  name: ORDERS,
  createState: (): OrdersState => ({
    isObserving: false,
    submissionCount: 0,
    staleOrders: [],
    highestAnnounced: 0,
    healed: false,
  }),
  // Repeated so that enough of each are drawn beside the faults.
  commands: [
    ...[changeEngines, changeEngines, changeEngines, changeEngines],
    ...[delayOrders, delayOrders, freezeBeforeSend, freezeBeforeSend],
  ],
  checks: [{
    name: "No order from a previous lease holder takes effect",
    when: "always",
    findViolations: (model) =>
      stateOf<OrdersState>(model, ORDERS).staleOrders.splice(0),
  }],
  mutants: [{
    name: "no lease check before send",
    createVm: (context: VmContext) =>
      new Vm(context, { orders: { checksLease: false } }),
  }],
  heal(model, world) {
    // A pending freezeBeforeSend must not freeze a VM after all faults are healed.
    stateOf<OrdersState>(model, ORDERS).healed = true;
    for (const engine of world.engines.values()) engine.orderDelayMs = 0;
  },
};
