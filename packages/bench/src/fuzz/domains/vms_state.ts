/** What the fuzzer's domain of VMs knows of a run. */
import { seededRandom } from "@teaselvalve/fakes";
import { AddressCaller } from "../../world/address_caller.ts";
import { type World } from "../../world/world.ts";
import { type FuzzModel, stateOf } from "../fuzz_domain.ts";
import { FAULTS, type FaultsState } from "./faults.ts";

/** Gives the VMs' state of a run. */
export const VMS = "vms";

/** Callers that keep address answers. */
export const CALLER_COUNT = 4;

/** Work that was ordered at an endpoint that is leaving. */
export interface OrderToLeavingEndpoint {
  readonly endpoint: string;
  readonly afterMs: number;
  /** The VM that ordered it, where the order says so. */
  readonly vm: string | null;
}

/** What the domain knows of a run. */
export interface VmsState {
  callers: AddressCaller[];
  /** Endpoints that are leaving. */
  readonly leavingEndpoints: Set<string>;
  readonly ordersToLeavingEndpoints: OrderToLeavingEndpoint[];
}

/** Makes the domain's state. */
export function createVmsState(): VmsState {
  return {
    callers: [],
    leavingEndpoints: new Set(),
    ordersToLeavingEndpoints: [],
  };
}

/** Gives one of the run's callers. */
export function callerOf(
  state: VmsState,
  options: { world: World; index: number },
): AddressCaller {
  const { world, index } = options;
  if (state.callers.length === 0) {
    state.callers = Array.from(
      { length: CALLER_COUNT },
      (_, at) =>
        new AddressCaller(world, {
          name: `visitor-${at + 1}`,
          random: seededRandom(31 + at),
        }),
    );
  }
  return state.callers[index % CALLER_COUNT]!;
}

/** Whether a fault of any kind has happened in this run. */
export function hasFaults(model: FuzzModel): boolean {
  return stateOf<FaultsState | undefined>(model, FAULTS)?.anyOccurred ?? false;
}

/** VMs that a fault has touched in this run. */
export function affectedVms(model: FuzzModel): ReadonlySet<string> {
  return stateOf<FaultsState | undefined>(model, FAULTS)?.affectedVms ??
    new Set();
}

/** Records what is ordered at an endpoint from now on, the first sign of its leaving. */
export function recordOrdersWhileLeaving(
  state: VmsState,
  options: { world: World; endpoint: string },
): void {
  const { world, endpoint } = options;
  if (state.leavingEndpoints.has(endpoint)) return;
  state.leavingEndpoints.add(endpoint);
  const sinceMs = performance.now();
  const note = (vm: string | null) => {
    const afterMs = performance.now() - sinceMs;
    state.ordersToLeavingEndpoints.push({ endpoint, afterMs, vm });
  };
  const engine = world.engines.get(endpoint);
  if (engine?.role === "prefill") {
    const prefill = engine.prefill.bind(engine);
    engine.prefill = (order) => {
      note(order.owner.vm);
      return prefill(order);
    };
  } else if (engine) {
    const startRun = engine.startRun.bind(engine);
    engine.startRun = (order, how) => {
      note(order.owner.vm);
      return startRun(order, how);
    };
  }
  const service = world.services.get(endpoint);
  if (!service) return;
  const call = service.call.bind(service);
  service.call = (request) => {
    note(null);
    return call(request);
  };
}
