/** State of the VMs domain in one run. */
import { seededRandom } from "@teaselvalve/fakes";
import { AddressCaller } from "../../world/address_caller.ts";
import { type World } from "../../world/world.ts";
import { type FuzzModel, stateOf } from "../fuzz_domain.ts";
import { FAULTS, type FaultsState } from "./faults.ts";

/** Name of the VMs domain. */
export const VMS = "vms";

/** Number of callers that cache address answers. */
export const CALLER_COUNT = 4;

/** An order to an endpoint that is leaving. */
export interface OrderToLeavingEndpoint {
  readonly endpoint: string;
  /** Time since the endpoint began to leave. */
  readonly afterMs: number;
  /** The VM that sent the order; null for services, whose requests don't name it. */
  readonly vm: string | null;
}

/** Callers, leaving endpoints and the orders sent to them in one run. */
export interface VmsState {
  callers: AddressCaller[];
  /** Endpoints that are leaving. */
  readonly leavingEndpoints: Set<string>;
  readonly ordersToLeavingEndpoints: OrderToLeavingEndpoint[];
}

/** Creates the domain's state; callers are created on first use. */
export function createVmsState(): VmsState {
  return {
    callers: [],
    leavingEndpoints: new Set(),
    ordersToLeavingEndpoints: [],
  };
}

/** Returns one of the run's callers, by index modulo their number. */
export function callerOf(
  state: VmsState,
  options: { world: World; index: number },
): AddressCaller {
  const { world, index } = options;
  if (state.callers.length === 0) {
    state.callers = Array.from(
      { length: CALLER_COUNT },
      (_, callerIndex) =>
        new AddressCaller(world, {
          name: `visitor-${callerIndex + 1}`,
          random: seededRandom(31 + callerIndex),
        }),
    );
  }
  return state.callers[index % CALLER_COUNT]!;
}

/** Whether any fault has occurred in this run. */
export function hasFaults(model: FuzzModel): boolean {
  return stateOf<FaultsState | undefined>(model, FAULTS)?.anyOccurred ?? false;
}

/** Returns the VMs that were subject to a fault in this run. */
export function affectedVms(model: FuzzModel): ReadonlySet<string> {
  return stateOf<FaultsState | undefined>(model, FAULTS)?.affectedVms ??
    new Set();
}

/** Marks an endpoint as leaving and records every order to it from now on. */
export function recordOrdersWhileLeaving(
  state: VmsState,
  options: { world: World; endpoint: string },
): void {
  const { world, endpoint } = options;
  if (state.leavingEndpoints.has(endpoint)) return;
  state.leavingEndpoints.add(endpoint);
  const sinceMs = performance.now();
  const record = (vm: string | null) => {
    const afterMs = performance.now() - sinceMs;
    state.ordersToLeavingEndpoints.push({ endpoint, afterMs, vm });
  };
  const engine = world.engines.get(endpoint);
  if (engine?.role === "prefill") {
    const prefill = engine.prefill.bind(engine);
    engine.prefill = (order) => {
      record(order.owner.vm);
      return prefill(order);
    };
  } else if (engine) {
    const startRun = engine.startRun.bind(engine);
    engine.startRun = (order, options) => {
      record(order.owner.vm);
      return startRun(order, options);
    };
  }
  const service = world.services.get(endpoint);
  if (!service) return;
  const call = service.call.bind(service);
  service.call = (request) => {
    record(null);
    return call(request);
  };
}
