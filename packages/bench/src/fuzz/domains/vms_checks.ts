/** Invariants of graceful shutdown, address answers, membership and leaving endpoints. */
import { listAddresses, type Vm } from "@teaselvalve/core";
import { describeFailure } from "../../world/address_caller.ts";
import type { World } from "../../world/world.ts";
import { type Check, type FuzzModel, stateOf } from "../fuzz_domain.ts";
import { affectedVms, hasFaults, VMS, type VmsState } from "./vms_state.ts";

/** Time after which no address answer may list a dead VM, at the fuzzer's numbers of VMs. */
const DETECTION_MS = 20_000;
/** Time after which all other VMs must have seen that a VM is leaving. */
const LEAVING_KNOWN_MS = 3_000;
/** Time after which a leaving endpoint must get no new work. */
const LEAVING_ENDPOINT_MS = 3_000;
/** Maximum age of an engine's load report. */
const REPORT_AGE_MS = 2_000;
/** Number of keys whose home, the VM that rendezvous hashing picks for a key, is checked. */
const SAMPLE_KEYS = 20;

/** Failures that show that a shutdown cut or refused a request. */
const STOP_FAILURES =
  /refused or cut|no end|no verdict|wrong text|stopping|cut-by-stop|claimant-lost/;
/** Failures that are allowed for runs at an endpoint that leaves. */
const ENDPOINT_FAILURES = /connection-lost/;

type FindViolations = (
  state: VmsState,
  world: World,
  model: FuzzModel,
) => string[];

function check(name: string, when: Check["when"], find: FindViolations): Check {
  return {
    name: `vms: ${name}`,
    when,
    findViolations: (model, world) =>
      find(stateOf<VmsState>(model, VMS), world, model),
  };
}

/** Returns the running VMs that are not shutting down and were not subject to a fault. */
function healthyVms(world: World, model: FuzzModel): [string, Vm][] {
  const affected = affectedVms(model);
  return [...world.vms].filter(([name]) =>
    !affected.has(name) && !world.stopStartedAtMs.has(name)
  );
}

const shutdownCutsNothing = check(
  "a graceful shutdown lost or cut a request",
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

const answersListNoDeadVm = check(
  "an address answer lists a VM that died long ago",
  "always",
  (_state, world, model) =>
    healthyVms(world, model).flatMap(([name, vm]) => {
      const { addresses } = listAddresses(vm.membership, {
        spreadBy: name,
        ttlMs: 1,
      });
      return addresses
        .filter((listed) => diedLongAgo(world, listed.vm))
        .map((listed) => `${name} lists ${listed.vm}`);
    }),
);

function diedLongAgo(world: World, name: string): boolean {
  const removedAtMs = world.removedAtMs.get(name);
  return removedAtMs !== undefined &&
    performance.now() - removedAtMs > DETECTION_MS;
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
    return healthyVms(world, model).flatMap(([name, vm]) =>
      Array.from(
        { length: SAMPLE_KEYS },
        (_, index) => vm.membership.homeOf(`key-${index}`).id,
      )
        .filter((home) => leaving.includes(home))
        .map((home) => `${name} uses ${home} as a home`)
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
        ...excess.map((id) =>
          `${name} sees ${id}, which is removed or leaving`
        ),
      ];
    });
  },
);

const noOrderToLeavingEndpoint = check(
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

/** The checks of the VMs domain. */
export const VMS_CHECKS: readonly Check[] = [
  shutdownCutsNothing,
  answersListNoDeadVm,
  leavingIsNotHome,
  viewsConverge,
  noOrderToLeavingEndpoint,
];
