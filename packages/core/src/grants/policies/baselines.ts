/** Baseline policies that decide from lagging load reports, as routers commonly do. */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import {
  estimatePlacement,
  promptKvBlocks,
  usableReplicas,
} from "./estimate.ts";
import type { GrantPolicy, Placement, ShardView } from "./types.ts";

type PickReplica = <T>(
  options: { from: readonly T[]; view: ShardView; loadOf: (one: T) => number },
) => T | undefined;

const pickLeast: PickReplica = ({ from, loadOf }) => {
  const loads = from.map(loadOf);
  return from[loads.indexOf(Math.min(...loads))];
};

const pickTwoChoices: PickReplica = ({ from, view, loadOf }) => {
  const first = from[Math.floor(view.random() * from.length)];
  const second = from[Math.floor(view.random() * from.length)];
  if (!first || !second) return undefined;
  return loadOf(first) <= loadOf(second) ? first : second;
};

/** Creates a policy that takes replicas in turn, regardless of their load. */
export function createRoundRobin(): GrantPolicy {
  let turn = 0;
  return {
    name: "roundRobin",
    queuesRequests: false,
    place(view, request) {
      turn += 1;
      const index = turn;
      return placeWith(view, {
        request,
        pick: ({ from }) => from[index % Math.max(1, from.length)],
        checksCapacity: false,
      });
    },
  };
}

/** Takes the replicas with the lowest estimated load. */
export const leastLoaded: GrantPolicy = {
  name: "leastLoaded",
  queuesRequests: false,
  place: (view, request) =>
    placeWith(view, { request, pick: pickLeast, checksCapacity: true }),
};

/** Takes the less loaded of two randomly drawn replicas. */
export const twoChoices: GrantPolicy = {
  name: "twoChoices",
  queuesRequests: false,
  place: (view, request) =>
    placeWith(view, { request, pick: pickTwoChoices, checksCapacity: true }),
};

function placeWith(
  view: ShardView,
  options: {
    request: GrantRequest;
    pick: PickReplica;
    checksCapacity: boolean;
  },
): Placement | null {
  const { request, pick } = options;
  const { nowMs } = view;
  const prefill = pick({
    from: usableReplicas(view.prefills, { request, nowMs }),
    view,
    loadOf: (one: PrefillReplica) => one.waitingTokens,
  });
  const stepMs = view.speeds.stepMs.predict(1);
  const usageOf = (one: DecodeReplica) => one.usage(nowMs, stepMs);
  const withCapacity = usableReplicas(view.decodes, { request, nowMs }).filter(
    (one) => {
      if (!options.checksCapacity) return true;
      const { batchSize, kvBlocks } = usageOf(one);
      const neededBlocks = kvBlocks + promptKvBlocks(request.promptTokens);
      return batchSize < one.slots && neededBlocks <= one.memoryPieces;
    },
  );
  const decode = pick({
    from: withCapacity,
    view,
    loadOf: (one: DecodeReplica) => usageOf(one).kvBlocks / one.memoryPieces,
  });
  if (!prefill || !decode) return null;
  return estimatePlacement(view, {
    request,
    prefill,
    decode,
    batchSize: usageOf(decode).batchSize,
  });
}
