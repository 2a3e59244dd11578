/** Methods that VMs call on the home of a shard. */
import type { EndpointId } from "../../common/ids.ts";
import { ShardFigures, type ToldLoad } from "../balance/shard_figures.ts";
import type {
  LoadReport,
  PlaceAnswer,
  PlacementHome,
  PlaceRequest,
} from "./home.ts";

/** Longer wait that is accepted to avoid a KV cache handover between data centres. */
const REMOTE_PENALTY_MS = 40;

/** Peer methods of placement. */
export interface PlacementHandlers {
  /** Records the VM's loads, then finds a place for a stream or tells how long it has to wait. */
  "routing/place-decode": (
    params: LoadReport & PlaceRequest,
  ) => PlaceAnswer & ToldLoad;
  /** Chooses a prefill engine and adds the prompt to its queue. */
  "routing/choose-prefill": (params: {
    engines: readonly EndpointId[];
    /** Engines in a data centre other than the decode engine's. */
    remote: readonly EndpointId[];
    /** Expected duration of the prefill. */
    readMs: number;
  }) => { engine: EndpointId | null; waitMs: number };
  /** Records that a prefill took a multiple of the expected time. */
  "routing/note-slow-prefill": (
    params: { engine: EndpointId; factor: number },
  ) => null;
  /** Records the streams that a VM has at the engines of a shard; VMs of earlier builds answer null. */
  "routing/note-streams": (params: LoadReport) => ToldLoad | null;
}

/** Creates the peer methods of placement, backed by a VM's load state. */
export function createPlacementHandlers(
  home: PlacementHome,
): PlacementHandlers {
  const figures = new ShardFigures((engines) => home.heldTokens(engines));
  return {
    "routing/place-decode": ({ loads, ...request }) => {
      const { vm, shard, tokensPerMs, speeds } = request;
      home.noteLoads({ vm, shard, loads, tokensPerMs, speeds });
      const answer = home.place(request);
      return { ...answer, ...figures.tellOf(shard, request.engines) };
    },
    "routing/choose-prefill": ({ engines, remote, readMs }) => {
      const remoteIds = new Set(remote);
      const chosen = home.choosePrefill(engines, {
        readMs,
        extraMs: (engine) => remoteIds.has(engine) ? REMOTE_PENALTY_MS : 0,
      });
      return { engine: chosen?.engine ?? null, waitMs: chosen?.waitMs ?? 0 };
    },
    "routing/note-slow-prefill": ({ engine, factor }) => {
      home.noteSlowPrefill(engine, factor);
      return null;
    },
    "routing/note-streams": (report) => {
      home.noteLoads(report);
      return figures.tell(report.shard);
    },
  };
}
