/** A place for a stream at an endpoint: what is needed, and what was reserved. */
import type { EndpointId, WorkspaceId } from "../common/ids.ts";
import type { Result } from "neverthrow";
import type { NotRun } from "../common/verdict.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { StreamLoad } from "./placement/memory_forecast.ts";
import type { RequestClock } from "./request_clock.ts";
import type { AttemptId, ReservationId, SoftwareVersion } from "./types.ts";

/** Minimum time for the handover after the prefill, when estimating the first event. */
const MIN_HANDOVER_MS = 20;

/** A slot and memory reserved for a stream at a decode endpoint, or a plain endpoint. */
export interface DecodeReservation {
  readonly endpoint: EndpointRecord;
  /** Null for plain endpoints, which reserve nothing. */
  readonly reservationId: ReservationId | null;
  /** The stream among those of the endpoint, until {@link endLoad} is called. */
  readonly load: GrowingLoad;
  /** Whether a home forecast the memory; otherwise the reservation covers the output. */
  readonly isForecast: boolean;
  /** Whether the stream can't meet its target, and got what nobody else needed. */
  readonly isLate?: boolean;
}

/** Load of a stream that is updated while its output grows. */
export type GrowingLoad = {
  -readonly [Key in keyof StreamLoad]: StreamLoad[Key];
};

/** Where the streams of one service find their places. */
export interface StreamPlaces {
  /** Resolves with a place, or with a refusal if there is none in time. */
  enqueue(request: DecodeRequest): Promise<Result<DecodeReservation, NotRun>>;
}

/** Returns a place that is not needed. */
export function releasePlace(
  context: Pick<RoutingContext, "placement" | "port">,
  reservation: DecodeReservation,
): void {
  const { endpoint, reservationId } = reservation;
  if (reservationId !== null) {
    context.port.releaseReservation(endpoint.entry, reservationId);
  }
  endLoad(context, reservation);
}

/** Takes a stream off the load of its endpoint. */
export function endLoad(
  { placement }: Pick<RoutingContext, "placement">,
  { endpoint, load }: DecodeReservation,
): void {
  if (endpoint.streams.delete(load)) placement.noteStreamEnd(endpoint);
}

/** What a stream needs from an endpoint, and by when. */
export interface DecodeRequest {
  readonly attempt: AttemptId;
  readonly clock: RequestClock;
  /** The stream's memory at its start, and its expected output. */
  readonly load: StreamLoad;
  /** Expected duration of the prefill. */
  readonly prefillMs: number;
  /** Endpoints that may have run an earlier send of this stream, which failed. */
  readonly avoid: ReadonlySet<EndpointId>;
  /** The software version that began the stream, where it has to continue; null for a new one. */
  readonly version: SoftwareVersion | null;
  /** Its priority, 0 being the highest, where the streams of its service have several. */
  readonly priority?: number;
  /** The workspace of its caller, if it has one. */
  readonly workspace?: WorkspaceId;
  /** False for a stream that continues, even if it is late. */
  readonly mustBeOnTime: boolean;
  /** Returns why the stream may no longer be sent to any endpoint, or null. */
  readonly findRefusal: () => NotRun | null;
  readonly signal: AbortSignal;
}

/** Time that a stream may still wait for its place; negative once it can't be in time. */
export function timeToSpareMs(request: DecodeRequest): number {
  const leftMs = request.mustBeOnTime
    ? request.clock.targetLeftMs()
    : request.clock.leftMs();
  return leftMs - request.prefillMs - MIN_HANDOVER_MS;
}
