/** Policies that decide on lagging reports, as routers commonly do. */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import {
  availableReplicas,
  estimatePlacement,
  promptKvBlocks,
} from "./estimate.ts";
import type { GrantPolicy, Placement, ShardView } from "./types.ts";

type Pick = <T>(
  options: { from: readonly T[]; view: ShardView; loadOf: (one: T) => number },
) => T | undefined;

const pickLeast: Pick = ({ from, loadOf }) => {
  const loads = from.map(loadOf);
  return from[loads.indexOf(Math.min(...loads))];
};

const pickTwoChoices: Pick = ({ from, view, loadOf }) => {
  const first = from[Math.floor(view.random() * from.length)];
  const second = from[Math.floor(view.random() * from.length)];
  if (!first || !second) return undefined;
  return loadOf(first) <= loadOf(second) ? first : second;
};

/** Takes replicas in turn, whatever their load. */
export function createRoundRobin(): GrantPolicy {
  let turn = 0;
  return {
    name: "roundRobin",
    queuesRequests: false,
    place(view, request) {
      turn += 1;
      const at = turn;
      return placeBy(view, {
        request,
        pick: ({ from }) => from[at % Math.max(1, from.length)],
        checksRoom: false,
      });
    },
  };
}

/** Takes the replicas that look least loaded. */
export const leastLoaded: GrantPolicy = {
  name: "leastLoaded",
  queuesRequests: false,
  place: (view, request) =>
    placeBy(view, { request, pick: pickLeast, checksRoom: true }),
};

/** Takes the less loaded of two random replicas. */
export const twoChoices: GrantPolicy = {
  name: "twoChoices",
  queuesRequests: false,
  place: (view, request) =>
    placeBy(view, { request, pick: pickTwoChoices, checksRoom: true }),
};

function placeBy(
  view: ShardView,
  options: { request: GrantRequest; pick: Pick; checksRoom: boolean },
): Placement | null {
  const { request, pick } = options;
  const { nowMs } = view;
  const prefill = pick({
    from: availableReplicas(view.prefills, { request, nowMs }),
    view,
    loadOf: (one: PrefillReplica) => one.waitingTokens,
  });
  const stepMs = view.speeds.stepMs.predict(1);
  const use = (one: DecodeReplica) => one.usage(nowMs, stepMs);
  const roomy = availableReplicas(view.decodes, { request, nowMs }).filter(
    (one) => {
      if (!options.checksRoom) return true;
      const { batchSize: members, kvBlocks: pieces } = use(one);
      const needed = pieces + promptKvBlocks(request.promptTokens);
      return members < one.slots && needed <= one.memoryPieces;
    },
  );
  const decode = pick({
    from: roomy,
    view,
    loadOf: (one: DecodeReplica) => use(one).kvBlocks / one.memoryPieces,
  });
  if (!prefill || !decode) return null;
  return estimatePlacement(view, {
    request,
    prefill,
    decode,
    members: use(decode).batchSize,
  });
}
