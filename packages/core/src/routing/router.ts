/** Routes callers' requests to services by the table in force. */
import type { ServiceName } from "../common/ids.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
import { CallRun } from "./call_run.ts";
import type { RoutingContext } from "./context.ts";
import { fingerprintOf } from "./crash_tracker.ts";
import { DecodeQueue } from "./decode_queue.ts";
import type { EndpointAnswer } from "./port.ts";
import { chooseService, RouteIndex } from "./queries/match_route.ts";
import type { AnswerSink } from "./stream_relay.ts";
import { type StreamOutcome, StreamRun } from "./stream_run.ts";
import type { Route, RoutedRequest, RoutingTable, Service } from "./types.ts";

/** When to come back to a VM that has no table yet. */
const NO_TABLE_RETRY_MS = 300;

/** A request that crashes endpoints is worth no early return. */
const QUARANTINED_RETRY_MS = 60_000;

/** How a request ended. */
export type RoutedOutcome =
  | { readonly kind: "answered"; readonly answer: EndpointAnswer }
  | StreamOutcome;

/** What a request is handled with. */
export interface HandleOptions {
  /** Receives answers that are passed on while they are made. */
  sink: AnswerSink;
  /** Ends the request when its caller leaves. */
  signal: AbortSignal;
}

/** Owns the routing table and what waits for endpoints. */
export class Router {
  #context: RoutingContext;
  #table: RoutingTable | null = null;
  #index = new RouteIndex([]);
  #services = new Map<ServiceName, Service>();
  #queues = new Map<ServiceName, DecodeQueue>();

  constructor(context: RoutingContext) {
    this.#context = context;
  }

  /** The table in force, or null before the first. */
  get table(): RoutingTable | null {
    return this.#table;
  }

  /** Puts a table in force; an older one than that in force is ignored. */
  setTable(table: RoutingTable): boolean {
    if (this.#table && table.version <= this.#table.version) return false;
    this.#table = table;
    this.#index = new RouteIndex(table.routes);
    this.#services = new Map(table.services.map((one) => [one.name, one]));
    this.#context.observer.count("configuration_changes", "in-force");
    this.#context.observer.log({
      event: "routing-table-in-force",
      version: table.version,
      routes: table.routes.length,
      services: table.services.length,
    });
    return true;
  }

  /** A service of the table in force. */
  service(name: ServiceName): Service | undefined {
    return this.#services.get(name);
  }

  /** Finds a request's route, or why it has none. */
  match(host: string, target: string): Route | Refusal {
    if (!this.#table) {
      return notRun("no-configuration", { retryAfterMs: NO_TABLE_RETRY_MS });
    }
    return this.#index.match(host, target) ?? notRun("not-found");
  }

  /** Runs a request of a route to its end. */
  async handle(
    request: RoutedRequest,
    { route, sink, signal }: HandleOptions & { route: Route },
  ): Promise<RoutedOutcome> {
    const end = await this.#run(request, { route, sink, signal });
    const tookMs = performance.now() - request.receivedAtMs;
    this.#context.times.note("whole", route.kind, tookMs);
    return end;
  }

  async #run(
    request: RoutedRequest,
    { route, sink, signal }: HandleOptions & { route: Route },
  ): Promise<RoutedOutcome> {
    const { crashes } = this.#context;
    if (crashes.hasSuspects && crashes.isQuarantined(fingerprintOf(request))) {
      return {
        kind: "refused",
        refusal: notRun("convicted", { retryAfterMs: QUARANTINED_RETRY_MS }),
      };
    }
    const service = chooseService(route, request.id);
    this.#context.budget.earn(service);
    const pool = this.#services.get(service)?.engines ?? null;
    const common = { request, route, service, signal };
    if (route.kind === "stream" && pool) {
      const queue = this.#queueOf(service);
      const run = new StreamRun(this.#context, {
        ...common,
        pool,
        queue,
        sink,
      });
      return await run.run();
    }
    const verdict = await new CallRun(this.#context, common).run();
    return verdict.match<RoutedOutcome>(
      (answer) => ({ kind: "answered", answer }),
      (refusal) => ({ kind: "refused", refusal }),
    );
  }

  /** Refuses all that wait. */
  stop(): void {
    for (const queue of this.#queues.values()) queue.stop();
  }

  #queueOf(service: ServiceName): DecodeQueue {
    const known = this.#queues.get(service);
    if (known) return known;
    const queue = new DecodeQueue(this.#context, {
      service,
      pool: () => this.#services.get(service)?.engines ?? null,
    });
    this.#queues.set(service, queue);
    return queue;
  }
}
