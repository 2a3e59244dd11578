/** What the fuzzer's domain of VMs knows of a run. */
import { seededRandom } from "@teaselvalve/fakes";
import { AddressCaller } from "../../world/address_caller.ts";
import { type World } from "../../world/world.ts";
import { type FuzzModel, partOf } from "../frame.ts";
import { FAULTS, type FaultsPart } from "./faults.ts";

/** Gives the VMs' part of a run. */
export const VMS = "vms";

/** Callers that keep address answers. */
export const CALLERS = 4;

/** Work that was ordered at an endpoint that is leaving. */
export interface LeavingOrder {
  readonly endpoint: string;
  readonly afterMs: number;
  /** The VM that ordered it, where the order says so. */
  readonly vm: string | null;
}

/** What the domain knows of a run. */
export interface VmsPart {
  callers: AddressCaller[];
  /** Endpoints that are leaving. */
  readonly leaving: Set<string>;
  readonly ordersAtLeaving: LeavingOrder[];
}

/** Makes the domain's part. */
export function createVmsPart(): VmsPart {
  return { callers: [], leaving: new Set(), ordersAtLeaving: [] };
}

/** Gives one of the run's callers. */
export function callerOf(
  part: VmsPart,
  options: { world: World; index: number },
): AddressCaller {
  const { world, index } = options;
  if (part.callers.length === 0) {
    part.callers = Array.from(
      { length: CALLERS },
      (_, at) =>
        new AddressCaller(world, {
          name: `visitor-${at + 1}`,
          random: seededRandom(31 + at),
        }),
    );
  }
  return part.callers[index % CALLERS]!;
}

/** Whether a fault of any kind has happened in this run. */
export function hasFaults(model: FuzzModel): boolean {
  return partOf<FaultsPart | undefined>(model, FAULTS)?.any ?? false;
}

/** VMs that a fault has touched in this run. */
export function touchedVms(model: FuzzModel): ReadonlySet<string> {
  return partOf<FaultsPart | undefined>(model, FAULTS)?.touchedVms ??
    new Set();
}

/** Records what is ordered at an endpoint from now on, the first sign of its leaving. */
export function watchLeaving(
  part: VmsPart,
  options: { world: World; endpoint: string },
): void {
  const { world, endpoint } = options;
  if (part.leaving.has(endpoint)) return;
  part.leaving.add(endpoint);
  const sinceMs = performance.now();
  const note = (vm: string | null) => {
    const afterMs = performance.now() - sinceMs;
    part.ordersAtLeaving.push({ endpoint, afterMs, vm });
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
