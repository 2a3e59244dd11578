/** In-process fake endpoints, for routing tests on fake timers. */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  asId,
  type DataCentre,
  type EndpointId,
  type ServiceName,
} from "../../common/ids.ts";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import { notRun } from "../../common/verdict.ts";
import { NO_TIMES, type RoutingContext } from "../context.ts";
import { CallQueues } from "../call_queue.ts";
import { CrashTracker } from "../crashes/tracker.ts";
import type { Forwarding } from "../links/forwarder.ts";
import { OriginMemory, type StreamOrigins } from "../stream_origins.ts";
import { EndpointRegistry } from "../endpoint_registry.ts";
import type {
  EndpointAnswer,
  EngineReport,
  IncarnationFields,
  OrderOutcome,
  PrefillAnswer,
  RoutedEndpointPort,
  Send,
  SendFailure,
  StageOrder,
  StreamListener,
} from "../port.ts";
import { LocalPlacement } from "../placement/placement.ts";
import { OutputEstimates } from "../output_estimates.ts";
import { PrefillDelays } from "../prefill_delays.ts";
import { PrefillTimes } from "../prefill_times.ts";
import { ServiceBudget } from "../service_budget.ts";
import { StopGate } from "../stop_gate.ts";
import {
  type EndpointEntry,
  type EnginePool,
  isFromIncarnation,
  type ReservationId,
  type Route,
  type RoutedRequest,
  type RoutingTable,
  type Stage,
} from "../types.ts";

export const SERVICE = asId<ServiceName>("readers");
export const DATA_CENTRE = asId<DataCentre>("north-a");

/** Creates a directory entry; `options` override the defaults. */
export function entry(
  id: string,
  options: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id: asId<EndpointId>(id),
    service: SERVICE,
    address: `10.0.1.${id.charCodeAt(0)}:${id.length}`,
    dataCentre: DATA_CENTRE,
    slots: 6,
    state: "ready",
    stage: null,
    softwareVersion: asId("v1"),
    bornAtMs: 1,
    ...options,
  };
}

/** Creates a route; `options` override the defaults. */
export function route(options: Partial<Route> = {}): Route {
  return {
    name: asId("r"),
    host: "a.example",
    prefix: "/a/",
    kind: "safe",
    destinations: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 1_000,
    targetLatencyMs: 150,
    priority: 1,
    maxAttempts: 2,
    resumable: false,
    maxEventGapMs: null,
    ...options,
  };
}

/** Creates a request received now; `options` override the defaults. */
export function request(options: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: asId("attempt-1"),
    method: "GET",
    host: "a.example",
    target: "/a/b",
    rawHeaders: [],
    body: Buffer.alloc(0),
    receivedAtMs: performance.now(),
    callerTimeoutMs: 1_500,
    lastEventId: null,
    resumes: null,
    prompt: null,
    ...options,
  };
}

export const POOL: EnginePool = {
  slots: 24,
  kvTokens: 33_000,
  kvTokenBytes: 1,
  tokensPerEvent: 10,
  linkMbps: 1_000,
  handleTtlMs: 500,
  reconfigureMs: 6_000,
  reservationTtlMs: 2_000,
  models: [],
};

/** Creates a routing table with one service. */
export function table(
  version: number,
  options: { routes?: Route[]; engines?: EnginePool | null } = {},
): RoutingTable {
  return {
    version,
    routes: options.routes ?? [route()],
    services: [{
      name: SERVICE,
      maxConnections: 100,
      healthPath: "/health",
      engines: options.engines ?? null,
    }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headersMs: 3_000,
      idleMs: 15_000,
    },
  };
}

/** Creates a complete response with a text body. */
export function answer(status = 200, text = "ok"): EndpointAnswer {
  return { status, headers: [], body: Buffer.from(text) };
}

type Outcome<T> = Result<T, SendFailure>;

/** Behaviour of the fake endpoints; a test may replace each method. */
export interface FakeBehaviour {
  call(endpoint: EndpointEntry, send: Send): Promise<Outcome<EndpointAnswer>>;
  reserve(endpoint: EndpointEntry, tokens: number): Outcome<ReservationId>;
  /** Start time in the endpoint's answers; by default that of its entry. */
  bornAtMs(endpoint: EndpointEntry): number | null;
  prefill(endpoint: EndpointEntry, send: Send): Promise<Outcome<PrefillAnswer>>;
  /** Streams to the listener, and resolves when the stream ends. */
  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): Promise<Outcome<void>>;
  report(endpoint: EndpointEntry): Outcome<EngineReport>;
  order(endpoint: EndpointEntry, order: StageOrder): OrderOutcome;
  checkLink(endpoint: EndpointEntry): Promise<boolean | undefined>;
}

/** Fake endpoints with replaceable behaviour, which record the requests that they receive. */
export class FakeEndpoints implements RoutedEndpointPort {
  readonly log: string[] = [];
  readonly released: string[] = [];
  readonly freed: string[] = [];
  #behaviour: FakeBehaviour;

  constructor(behaviour: Partial<FakeBehaviour> = {}) {
    this.#behaviour = {
      call: () => Promise.resolve(ok(answer())),
      reserve: () => ok(asId<ReservationId>("hold")),
      bornAtMs: ({ bornAtMs }) => bornAtMs,
      prefill: () => Promise.resolve(ok({ handle: asId("kv"), tokens: 1 })),
      stream: (_endpoint, { listener }) => {
        listener.onHead(EVENT_HEAD);
        listener.onData(event(1));
        return Promise.resolve(ok(undefined));
      },
      report: ({ stage }) =>
        ok({ stage: stage as Stage, busy: false, orderSequence: 0 }),
      order: () => "accepted",
      checkLink: () => Promise.resolve(true),
      ...behaviour,
    };
  }

  call(endpoint: EndpointEntry, send: Send) {
    this.log.push(`call ${endpoint.id}`);
    return this.#behaviour.call(endpoint, send);
  }

  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ) {
    const from = send.kvSource ? ` from ${send.kvSource.address}` : "";
    const after = send.lastEventId ? ` after ${send.lastEventId}` : "";
    this.log.push(`stream ${endpoint.id}${from}${after}`);
    let abort: () => void = () => {};
    const aborted = new Promise<Outcome<void>>((resolve) => {
      abort = () => resolve(err({ kind: "aborted" }));
      send.signal.addEventListener("abort", abort);
    });
    const ended = Promise.race([
      this.#behaviour.stream(endpoint, send),
      aborted,
    ]);
    return { ended, resume() {}, abort };
  }

  prefill(endpoint: EndpointEntry, send: Send) {
    this.log.push(`prefill ${endpoint.id}`);
    return this.#behaviour.prefill(endpoint, send);
  }

  reserve(endpoint: EndpointEntry, { tokens }: { tokens: number }) {
    this.log.push(`reserve ${endpoint.id}`);
    return Promise.resolve(
      this.#behaviour.reserve(endpoint, tokens)
        .andThen((id) => this.#answer(endpoint, { id })),
    );
  }

  releaseReservation(_endpoint: EndpointEntry, id: string): void {
    this.released.push(id);
  }

  freeHandle(_endpoint: EndpointEntry, handle: string): void {
    this.freed.push(handle);
  }

  report(endpoint: EndpointEntry) {
    return Promise.resolve(
      this.#behaviour.report(endpoint)
        .andThen((report) => this.#answer(endpoint, report)),
    );
  }

  #answer<T>(
    endpoint: EndpointEntry,
    value: T,
  ): Outcome<T & IncarnationFields> {
    const bornAtMs = this.#behaviour.bornAtMs(endpoint);
    return bornAtMs === null || isFromIncarnation(endpoint, bornAtMs)
      ? ok({ ...value, bornAtMs })
      : err({ kind: "restarted", bornAtMs });
  }

  checkLink(endpoint: EndpointEntry) {
    return this.#behaviour.checkLink(endpoint);
  }

  orderStage(endpoint: EndpointEntry, order: StageOrder) {
    this.log.push(`order ${endpoint.id} ${order.stage}`);
    return Promise.resolve(this.#behaviour.order(endpoint, order));
  }
}

/** Response head of a server-sent event stream. */
export const EVENT_HEAD = {
  status: 200,
  headers: [["content-type", "text/event-stream"]] as [string, string][],
};

/** Creates one server-sent event. */
export function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

/** The links are not lost, and no other VM takes requests. */
export const NO_FORWARDING: Forwarding = {
  isLost: () => false,
  settled: () => Promise.resolve(),
  send: () =>
    Promise.resolve(err({ kind: "refused", refusal: notRun("no-links") })),
};

/** Creates the context that runs share, over fakes. */
export function context(
  port: RoutedEndpointPort,
  entries: readonly EndpointEntry[],
  options: { share?: number; slack?: number } = {},
): RoutingContext {
  const endpoints = new EndpointRegistry(SILENT_OBSERVER);
  endpoints.replace(entries);
  return {
    dataCentre: DATA_CENTRE,
    endpoints,
    budget: new ServiceBudget({
      limits: () => ({
        share: options.share ?? 0.2,
        slack: options.slack ?? 50,
      }),
      vmCount: () => 1,
    }),
    callQueues: new CallQueues(),
    placement: new LocalPlacement(endpoints),
    prefillTimes: new PrefillTimes(),
    prefillDelays: new PrefillDelays(),
    outputs: new OutputEstimates(),
    crashes: new CrashTracker(),
    origins: createOrigins(entries),
    credit: { admit: () => Promise.resolve(ok({ giveBack() {} })) },
    forwarding: NO_FORWARDING,
    stop: new StopGate(),
    port,
    isBalancing: () => false,
    observer: SILENT_OBSERVER,
    times: NO_TIMES,
    noteRefusal() {},
    noteArrival() {},
    noteStreamCost() {},
    random: () => 0.5,
  };
}

/** The origins that a VM keeps which has always seen the same endpoints. */
function createOrigins(entries: readonly EndpointEntry[]): StreamOrigins {
  const memory = new OriginMemory();
  const seen = new Map(
    entries.map(({ service, softwareVersion: version }) => [
      `${service} ${version}`,
      { service, version },
    ]),
  );
  return {
    note: (attempt, origin) => memory.note(attempt, origin),
    find: (attempt) => Promise.resolve(memory.get(attempt)),
    possibleOrigins: () => [...seen.values()],
    confirmPossible: () => Promise.resolve(true),
  };
}
