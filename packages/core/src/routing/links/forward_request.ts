/** Lets another VM serve a call, or continue a stream. */
import { err, type Result } from "neverthrow";
import { ByteCollector } from "../../common/byte_collector.ts";
import type { ServiceName } from "../../common/ids.ts";
import { freeMemory } from "../../common/memory_budget.ts";
import { wait } from "../../common/wait.ts";
import {
  ANSWER_LIMIT_BYTES,
  type AnswerHead,
  type EndpointAnswer,
  TOO_LARGE,
} from "../port.ts";
import type { RequestClock } from "../request_clock.ts";
import type { StreamOrigin } from "../stream_origins.ts";
import type { StreamRelay } from "../stream_relay.ts";
import type { RoutedRequest } from "../types.ts";
import { refusalOfLinks } from "../verdicts.ts";
import { type Forwarding, mayTryOther } from "./forwarder.ts";
import type {
  ForwardedStream,
  ForwardFailure,
  ForwardResult,
} from "./types.ts";

/** Largest share of its time for which a continued stream waits for a VM with links. */
const MAX_WAIT_SHARE = 0.5;
/** Time until the other VMs are asked again; doubles with each time. */
const ASK_AGAIN_BASE_MS = 200;
/** Interval at which it is found out whether this VM's links are back. */
const LINK_POLL_MS = 50;

/** A request that this VM can't send to endpoints. */
export interface UnreachableRequest {
  readonly request: RoutedRequest;
  readonly clock: RequestClock;
  /** Number of endpoints that may already have run it. */
  readonly runs: number;
  readonly signal: AbortSignal;
}

/** Returns the whole answer that another VM received. */
export async function forwardCall(
  forwarding: Forwarding,
  { request, clock, runs, signal }: UnreachableRequest,
): Promise<Result<EndpointAnswer, ForwardFailure>> {
  if (request.hop) return refuseSecondHop();
  let head: AnswerHead = { status: 0, headers: [] };
  let stream: ForwardedStream | undefined;
  const collector = new ByteCollector({
    limitBytes: ANSWER_LIMIT_BYTES,
    use: "answer",
    onRoom: () => stream?.resume(),
  });
  const result = await forwarding.send({
    request,
    runs,
    origin: null,
    leftMs: () => timesLeft(clock),
    lastEventId: null,
    resumes: null,
    signal,
    onStream: (opened) => (stream = opened),
    listener: {
      onHead: (received) => (head = received),
      onData: (bytes) => {
        const collected = collector.add(bytes);
        if (collected === "refused") stream?.abort();
        return collected !== "waiting";
      },
    },
  });
  const body = collector.take();
  collector.discard();
  if (body === null) return err(TOO_LARGE);
  if (result.isErr()) freeMemory(body);
  return result.map(() => ({ ...head, body }));
}

/** A stream that this VM can't send to endpoints. */
export interface UnreachableStream extends UnreachableRequest {
  readonly service: ServiceName;
  readonly relay: StreamRelay;
  /** Where the stream began; null before its first event. */
  readonly origin: StreamOrigin | null;
  /** Called with its origin when the first event of the stream has been passed on. */
  readonly onFirstEvent: (origin: StreamOrigin) => void;
}

/**
 * Passes the events on that another VM receives, after the last one of the relay. A
 * stream that has begun can't begin anew at other endpoints, so that it waits for a part
 * of its time while no VM takes it. Fails as `notSent` if this VM's links are back.
 */
export async function forwardStream(
  forwarding: Forwarding,
  stream: UnreachableStream,
): Promise<ForwardResult> {
  const { request, clock, signal, origin, service } = stream;
  if (request.hop) return refuseSecondHop();
  const untilMs = performance.now() + MAX_WAIT_SHARE * clock.leftMs();
  for (let pauseMs = ASK_AGAIN_BASE_MS;; pauseMs *= 2) {
    const result = await forwardOnce(forwarding, stream);
    if (result.isOk() || origin === null) return result;
    if (!mayTryOther(result.error)) return result;
    const askAtMs = Math.min(performance.now() + pauseMs, untilMs);
    while (performance.now() < askAtMs && forwarding.isLost(service)) {
      if (signal.aborted) return result;
      await wait(LINK_POLL_MS);
    }
    if (!forwarding.isLost(service)) return err({ kind: "notSent" });
    if (performance.now() >= untilMs) return result;
  }
}

async function forwardOnce(
  forwarding: Forwarding,
  { request, clock, runs, signal, relay, origin, onFirstEvent }:
    UnreachableStream,
): Promise<ForwardResult> {
  const { lastEventId } = relay;
  let stream: ForwardedStream | undefined;
  let continues = true;
  let head: AnswerHead;
  const source = relay.listen({ resume: () => stream?.resume() });
  const result = await forwarding.send({
    request,
    runs,
    origin,
    leftMs: () => timesLeft(clock),
    lastEventId,
    resumes: request.resumes ?? (lastEventId === null ? null : request.id),
    signal,
    onStream: (opened) => (stream = opened),
    listener: {
      onHead: (received) => {
        head = received;
        continues = source.onHead(head);
        if (!continues) stream?.abort();
      },
      onData: (bytes) => {
        const isBegun = relay.events > 0;
        const writable = source.onData(bytes);
        if (!isBegun && relay.events > 0 && head.origin) {
          onFirstEvent(head.origin);
        }
        if (source.overflowed) stream?.abort();
        return writable;
      },
    },
  });
  const finished = source.overflowed || result.isOk()
    ? source.finish()
    : result;
  source.discard();
  if (continues) return finished;
  const detail = "The answer of the other VM does not continue the stream";
  return err({ kind: "lost", detail });
}

// A request that came from another VM is not sent on, so that none goes in circles.
function refuseSecondHop<T>(): Result<T, ForwardFailure> {
  return err({ kind: "refused", refusal: refusalOfLinks() });
}

function timesLeft(clock: RequestClock) {
  return { caller: clock.callerTimeLeftMs(), whole: clock.leftMs() };
}

/** Whether a request that was sent on may have run, by how this failed. */
export function mayHaveRunElsewhere(
  result: Result<unknown, ForwardFailure>,
): boolean {
  return result.isErr() && result.error.kind !== "refused" &&
    result.error.kind !== "notSent";
}
