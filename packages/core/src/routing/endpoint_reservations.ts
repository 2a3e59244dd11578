/** Requests reservations for streams at decode endpoints, and records how these answer. */
import type { RoutingContext } from "./context.ts";
import type { DecodeRequest, DecodeReservation } from "./decode_reservation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { detailOf, type SendFailure } from "./port.ts";
import type { EnginePool } from "./types.ts";

/** How long an endpoint that refused a reservation counts as full, and is ranked last. */
const FULL_FOR_MS = 40;
const RESERVE_TIMEOUT_MS = 250;

/** Options of {@link reserveAny}. */
export interface ReserveOptions {
  readonly pool: EnginePool;
  /** Endpoints in the order in which to request a reservation. */
  readonly endpoints: readonly EndpointRecord[];
  /** Memory to reserve. */
  readonly tokens: number;
  /** Whether a home forecast the memory for the output. */
  readonly isForecast: boolean;
}

/** Returns the first reservation that an endpoint grants; null if none does. */
export async function reserveAny(
  context: RoutingContext,
  request: DecodeRequest,
  { pool, endpoints, tokens, isForecast }: ReserveOptions,
): Promise<DecodeReservation | null> {
  const { port, crashes } = context;
  for (const endpoint of endpoints) {
    const sentAtMs = performance.now();
    const reserved = await port.reserve(endpoint.entry, {
      tokens: Math.min(tokens, pool.kvTokens),
      ttlMs: pool.reservationTtlMs,
      timeoutMs: RESERVE_TIMEOUT_MS,
      signal: request.signal,
    });
    if (reserved.isOk()) {
      const { id, bornAtMs } = reserved.value;
      crashes.noteAnswer(endpoint.entry, { sentAtMs, bornAtMs });
      const load = { ...request.load };
      endpoint.streams.add(load);
      return { endpoint, reservationId: id, load, isForecast };
    }
    noteReserveFailure(context, { endpoint, failure: reserved.error });
    if (request.signal.aborted) return null;
  }
  return null;
}

function noteReserveFailure(
  { crashes, endpoints, observer }: RoutingContext,
  { endpoint, failure }: { endpoint: EndpointRecord; failure: SendFailure },
): void {
  const nowMs = performance.now();
  const { kind } = failure;
  const { entry } = endpoint;
  if (kind === "notSent" && failure.refused) void crashes.noteRefused(entry);
  if (kind === "notExecuted") return endpoint.noteFull(nowMs + FULL_FOR_MS);
  if (kind === "aborted") return;
  if (kind === "limited") {
    return endpoint.noteLimited(nowMs + failure.retryAfterMs);
  }
  if (kind === "misdirected") return endpoint.setMissing(nowMs);
  if (kind === "restarted") return endpoints.noteRestarted(entry, failure);
  endpoint.noteFailure(nowMs);
  observer.log({
    event: "reservation-failed",
    endpoint: entry.id,
    reason: kind,
    detail: detailOf(failure),
  });
}
