/** Runs single streams over fake engines in tests. */
import { DecodeQueue } from "../decode_queue.ts";
import type { RoutingContext } from "../context.ts";
import type { AnswerSink } from "../stream_relay.ts";
import type { StreamOutcome } from "../stream_outcome.ts";
import { StreamRun } from "../stream_run.ts";
import type {
  EndpointEntry,
  Route,
  RoutedRequest,
  SoftwareVersion,
} from "../types.ts";
import {
  context,
  entry,
  type FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
} from "./fake_endpoints.ts";

/** Deadline of the streams, by their caller and their route. */
export const DEADLINE_MS = 14_000;
/** Target for their first event. */
export const TARGET_MS = 900;

/** Two decode and two prefill engines. */
export const ENGINES: readonly EndpointEntry[] = [
  entry("d1", { stage: "decode", address: "10.0.0.1:1" }),
  entry("d2", { stage: "decode", address: "10.0.0.2:1" }),
  entry("p1", { stage: "prefill", address: "10.0.0.3:1" }),
  entry("p2", { stage: "prefill", address: "10.0.0.4:1" }),
];

/** Prompt of the streams. */
export const PROMPT = {
  model: "m",
  promptTokens: 3_000,
  maxOutputTokens: 500,
  expectedOutputTokens: 300,
  parts: [],
};

/** What the streams of one VM share. */
export interface SharedStreams {
  readonly context: RoutingContext;
  readonly queue: DecodeQueue;
}

/** Options of {@link shareEngines}. */
export interface ShareOptions {
  entries?: readonly EndpointEntry[];
  /** Slack of the retry budget. */
  slack?: number;
}

/** Creates a VM's view of engines and its decode queue. */
export function shareEngines(
  port: FakeEndpoints,
  { entries = ENGINES, ...budget }: ShareOptions = {},
): SharedStreams {
  const shared = context(port, entries, budget);
  const queue = new DecodeQueue(shared, { service: SERVICE, pool: () => POOL });
  return { context: shared, queue };
}

/** Options of {@link startStream}. */
export interface StartOptions {
  route?: Partial<Route>;
  request?: Partial<RoutedRequest>;
  sink?: Partial<AnswerSink>;
  /** The software version that began the stream, if it is resumed. */
  version?: SoftwareVersion;
}

/** A stream that was started, and what its caller has received. */
export interface StartedStream {
  readonly ended: Promise<StreamOutcome>;
  /** `head STATUS`, then the text of the body as it was written. */
  readonly out: string[];
  /** Aborted when the caller disconnects. */
  readonly caller: AbortController;
  /** Time until its end; infinite before. */
  readonly times: { endedAfterMs: number };
}

/** Starts a resumable stream. */
export function startStream(
  { context, queue }: SharedStreams,
  options: StartOptions = {},
): StartedStream {
  const caller = new AbortController();
  const out: string[] = [];
  const startedMs = performance.now();
  const times = { endedAfterMs: Infinity };
  const ended = new StreamRun(context, {
    request: request({
      callerTimeoutMs: DEADLINE_MS,
      prompt: PROMPT,
      ...options.request,
    }),
    route: route({
      kind: "stream",
      resumable: true,
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: TARGET_MS,
      maxEventGapMs: 300,
      ...options.route,
    }),
    service: SERVICE,
    pool: POOL,
    version: options.version ?? null,
    places: queue,
    sink: {
      head: (head) => out.push(`head ${head.status}`),
      write: (bytes) => out.push(new TextDecoder().decode(bytes)) > 0,
      onDrain() {},
      ...options.sink,
    },
    signal: caller.signal,
  }).run();
  // Tests look at `ended` itself.
  ended.then(() => (times.endedAfterMs = performance.now() - startedMs))
    .catch(() => {});
  return { ended, out, caller, times };
}

/** Ids of the events that a caller received. */
export function eventsOf(out: readonly string[]): string[] {
  return [...out.join("").matchAll(/id: (\d+)/g)].map(([, id]) => id!);
}
