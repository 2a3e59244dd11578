/** What must hold for VMs that act together. */
import { listAddresses, type Vm } from "@teaselvalve/core";
import { describeFailure } from "../../world/address_caller.ts";
import type { World } from "../../world/world.ts";
import { type Check, type FuzzModel, stateOf } from "../fuzz_domain.ts";
import { affectedVms, hasFaults, VMS, type VmsState } from "./vms_state.ts";

/** Time in which a dead VM must be out of every answer, at the sizes of the fuzzer. */
const DETECTION_MS = 20_000;
/** Time in which the others must know that a VM is leaving. */
const LEAVING_KNOWN_MS = 3_000;
/** Time after which a leaving endpoint gets no new work. */
const LEAVING_ENDPOINT_MS = 3_000;
/** Oldest load report that an engine gives. */
const REPORT_AGE_MS = 2_000;
const SAMPLE_KEYS = 20;

/** Failures that say that a request was cut off or sent away by a stop. */
const STOP_FAILURES =
  /refused or cut|no end|no verdict|wrong text|stopping|cut-by-stop|claimant-lost/;
/** What a run at an endpoint may come to when the endpoint leaves. */
const ENDPOINT_FAILURES = /connection-lost/;

type Find = (state: VmsState, world: World, model: FuzzModel) => string[];

function check(name: string, when: Check["when"], find: Find): Check {
  return {
    name: `vms: ${name}`,
    when,
    findViolations: (model, world) =>
      find(stateOf<VmsState>(model, VMS), world, model),
  };
}

/** VMs that serve, are not stopping, and were not touched by a fault. */
function soundVms(world: World, model: FuzzModel): [string, Vm][] {
  const touched = affectedVms(model);
  return [...world.vms].filter(([name]) =>
    !touched.has(name) && !world.stopStartedAtMs.has(name)
  );
}

const stopCutsNothing = check(
  "a planned stop lost or cut a request",
  "quiescence",
  (state, _world, model) => {
    if (hasFaults(model)) return [];
    return state.callers.flatMap(({ requests }) => requests)
      .map(describeFailure)
      .filter((failure) => failure !== null)
      .filter((failure) =>
        STOP_FAILURES.test(failure) ||
        (state.leavingEndpoints.size === 0 && ENDPOINT_FAILURES.test(failure))
      );
  },
);

const answersListNoDead = check(
  "an address answer lists a VM that is long dead",
  "always",
  (_state, world, model) =>
    soundVms(world, model).flatMap(([name, vm]) => {
      const { addresses } = listAddresses(vm.membership, {
        spreadBy: name,
        ttlMs: 1,
      });
      return addresses
        .filter((listed) => isLongDead(world, listed.vm))
        .map((listed) => `${name} lists ${listed.vm}`);
    }),
);

function isLongDead(world: World, name: string): boolean {
  const goneAtMs = world.removedAtMs.get(name);
  return goneAtMs !== undefined &&
    performance.now() - goneAtMs > DETECTION_MS;
}

const leavingIsNotHome = check(
  "a leaving VM is home for a key",
  "always",
  (_state, world, model) => {
    if (hasFaults(model)) return [];
    const leaving = [...world.stopStartedAtMs]
      .filter(([name, atMs]) =>
        world.vms.has(name) && performance.now() - atMs > LEAVING_KNOWN_MS
      ).map(([name]) => name);
    if (leaving.length === 0) return [];
    return soundVms(world, model).flatMap(([name, vm]) =>
      Array.from(
        { length: SAMPLE_KEYS },
        (_, at) => vm.membership.homeOf(`key-${at}`).id,
      )
        .filter((home) => leaving.includes(home))
        .map((home) => `${name} takes ${home} for a home`)
    );
  },
);

const viewsConverge = check(
  "views differ at quiescence",
  "quiescence",
  (_state, world) => {
    const expected = new Set(
      [...world.vms.keys()].filter((name) => !world.stopStartedAtMs.has(name)),
    );
    return [...world.vms].flatMap(([name, vm]) => {
      const seen = vm.membership.members()
        .filter(({ id, state }) => state === "live" && id !== name)
        .map(({ id }) => String(id));
      const missing = [...expected].filter((id) =>
        id !== name && !seen.includes(id)
      );
      const excess = seen.filter((id) => !expected.has(id));
      return [
        ...missing.map((id) => `${name} does not see ${id}`),
        ...excess.map((id) => `${name} sees ${id}, which is gone or leaving`),
      ];
    });
  },
);

const leavingEndpointIsLeft = check(
  "work was ordered at a leaving endpoint",
  "always",
  (state, world, model) =>
    state.ordersToLeavingEndpoints
      .filter(({ afterMs }) => afterMs > LEAVING_ENDPOINT_MS + REPORT_AGE_MS)
      .filter(({ vm, endpoint }) =>
        vm === null || world.services.has(endpoint)
          ? !hasFaults(model)
          : !affectedVms(model).has(vm)
      )
      .map(({ endpoint, afterMs, vm }) =>
        `${endpoint}, ${Math.round(afterMs)} ms after, by ${vm ?? "a VM"}`
      ),
);

/** All checks of the domain. */
export const VMS_CHECKS: readonly Check[] = [
  stopCutsNothing,
  answersListNoDead,
  leavingIsNotHome,
  viewsConverge,
  leavingEndpointIsLeft,
];
