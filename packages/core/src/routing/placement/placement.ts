/** How streams are placed on engines: the interface, and placement by a VM's own view. */
import type { ServiceName, WorkspaceId } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import {
  choosePrefillEndpoint,
  type ChoosePrefillOptions,
} from "../queries/choose_prefill_endpoint.ts";
import {
  rankDecodeEndpoints,
  type RankDecodeOptions,
} from "../queries/rank_decode_endpoints.ts";
import type { AttemptId } from "../types.ts";
import type { EventTimes } from "./engine_preference.ts";
import type { EngineCapacity, StreamLoad } from "./memory_forecast.ts";

/** What a stream needs from a decode engine, for its placement. */
export interface AdmitOptions extends RankDecodeOptions {
  readonly attempt: AttemptId;
  readonly stream: StreamLoad;
  readonly capacity: EngineCapacity;
  readonly events: EventTimes;
  /** How long it may still wait for its place. */
  readonly spareMs: number;
  /** Its priority, where the streams of its service have several. */
  readonly priority?: number;
  /** The workspace of its caller, if it has one. */
  readonly workspace?: WorkspaceId;
  /** Whether it can't meet its target, so that it may only take what nobody else needs. */
  readonly isLate?: boolean;
}

/** Answer of a shard's home about a new stream. */
export type DecodeAdmission =
  /** Engines that have room, in the order in which to request a reservation. */
  | { readonly kind: "place"; readonly engines: readonly EndpointRecord[] }
  /** Room is expected; ask again after `askAgainMs`. */
  | { readonly kind: "wait"; readonly askAgainMs: number }
  /** No room is expected in time. */
  | { readonly kind: "full" };

/** Chooses engines for streams. */
export interface Placement {
  /** Returns decode engines by this VM's own view, in the order in which to request a reservation. */
  rankDecode(
    service: ServiceName,
    options: RankDecodeOptions,
  ): EndpointRecord[];
  /** Asks the homes where all VMs' streams leave room; null if no home answers. */
  admitDecode(
    service: ServiceName,
    options: AdmitOptions,
  ): Promise<DecodeAdmission | null>;
  /** Called when a stream has left a decode engine. */
  noteStreamEnd(engine: EndpointRecord): void;
  /** Chooses the prefill engine for a prompt; undefined if there is none. */
  choosePrefill(
    service: ServiceName,
    options: ChoosePrefillOptions & { tokens: number },
  ): Promise<PrefillChoice | undefined>;
  /** Called when a prefill has ended, or has taken too long. */
  notePrefill(
    choice: PrefillChoice,
    prefill: { tokens: number; tookMs: number },
  ): void;
}

/** A prefill engine and the time until it starts on the prompt; null if no home told it. */
export interface PrefillChoice {
  readonly endpoint: EndpointRecord;
  readonly waitMs: number | null;
}

/** Places streams by this VM's local view only. */
export class LocalPlacement implements Placement {
  #endpoints: EndpointRegistry;

  constructor(endpoints: EndpointRegistry) {
    this.#endpoints = endpoints;
  }

  rankDecode(service: ServiceName, options: RankDecodeOptions) {
    const usable = this.#endpoints.usable(service, "decode");
    return rankDecodeEndpoints(usable, options);
  }

  admitDecode() {
    return Promise.resolve(null);
  }

  noteStreamEnd() {}

  choosePrefill(
    service: ServiceName,
    options: ChoosePrefillOptions,
  ): Promise<PrefillChoice | undefined> {
    const usable = this.#endpoints.usable(service, "prefill");
    const endpoint = choosePrefillEndpoint(usable, options);
    return Promise.resolve(endpoint && { endpoint, waitMs: null });
  }

  notePrefill() {}
}
