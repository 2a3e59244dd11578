/** One attempt at a summary: a stream id and all that holds something for it. */
import type { Endpoint } from "../configuration/types.ts";
import type { GrantRequest } from "../grants/types.ts";
import type { StreamId } from "../common/ids.ts";
import type { SuspectRun } from "../suspects/types.ts";
import type { GrantHold } from "./grants_client.ts";
import type { RunLocation } from "./types.ts";

/** What one attempt holds. */
export interface Attempt {
  readonly stream: StreamId;
  /** What was asked of the shard's home last. */
  grantRequest: GrantRequest | null;
  hold: GrantHold | null;
  prefill: Endpoint | null;
  decode: Endpoint | null;
  /** Replicas that may hold something. */
  readonly holders: Set<Endpoint>;
  /** Until when the prefill's result is kept, on the clock of `performance.now`. */
  keptUntilMs: number;
  sizeBytes: number;
  suspect: SuspectRun | null;
  /** The replica that failed the attempt. */
  failedReplica: Endpoint | null;
  /** The connection broke, which a crash does too. */
  connectionLost: boolean;
}

/** Begins an attempt. */
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

/** Continues an attempt that another VM began. */
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
    holders: new Set([prefill, decode].filter((one) => one !== null)),
  };
}

/** Where an attempt runs, as registrations tell it. */
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
