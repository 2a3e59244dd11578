/**
 * One attempt to run a summary: its stream id and the resources that it holds.
 */
import type { Endpoint } from "../configuration/types.ts";
import type { GrantRequest } from "../grants/types.ts";
import type { StreamId } from "../common/ids.ts";
import type { SuspectRun } from "../suspects/types.ts";
import type { GrantHold } from "./grants_client.ts";
import type { RunLocation } from "./types.ts";

/** State and resources of one attempt. */
export interface Attempt {
  readonly stream: StreamId;
  /** The latest grant request that was sent to a shard's home. */
  grantRequest: GrantRequest | null;
  hold: GrantHold | null;
  prefill: Endpoint | null;
  decode: Endpoint | null;
  /** Replicas that may hold resources of the attempt. */
  readonly holders: Set<Endpoint>;
  /**
   * When the prefill's result expires, in milliseconds of `performance.now`.
   */
  keptUntilMs: number;
  /** Size of the prefill's result. */
  sizeBytes: number;
  suspect: SuspectRun | null;
  /** The replica that failed the attempt. */
  failedReplica: Endpoint | null;
  /** Whether the connection was lost before, which may be due to a crash. */
  connectionLost: boolean;
}

/** Creates an attempt that holds nothing yet. */
export function createAttempt(stream: StreamId): Attempt {
  return {
    stream,
    grantRequest: null,
    hold: null,
    prefill: null,
    decode: null,
    holders: new Set(),
    keptUntilMs: 0,
    sizeBytes: 0,
    suspect: null,
    failedReplica: null,
    connectionLost: false,
  };
}

/**
 * Takes over the attempt of another VM. A replica that isn't among `endpoints`
 * is left out.
 */
export function takeOverAttempt(
  run: RunLocation,
  endpoints: readonly Endpoint[],
): Attempt {
  const find = (id: string | undefined) =>
    endpoints.find((endpoint) => endpoint.id === id) ?? null;
  const prefill = find(run.prefill?.id);
  const decode = find(run.decode?.id);
  return {
    ...createAttempt(run.stream),
    prefill,
    decode,
    holders: new Set([prefill, decode].filter((replica) => replica !== null)),
  };
}

/**
 * Returns where an attempt runs, as stored in registrations; null while it has
 * no decode replica.
 */
export function locationOf(attempt: Attempt): RunLocation | null {
  const { stream, prefill, decode, hold } = attempt;
  if (!decode) return null;
  return {
    stream,
    prefill: prefill && { id: prefill.id, address: prefill.address },
    decode: { id: decode.id, address: decode.address },
    ...(hold ? { grant: hold.granted.grant } : {}),
  };
}
