/** Routes callers' requests to services by the active routing table. */
import type { ServiceName, WorkspaceId } from "../common/ids.ts";
import { ok, type Result } from "neverthrow";
import { type NotRun, notRun, type Refusal } from "../common/verdict.ts";
import { CallRun } from "./call_run.ts";
import type { RoutingContext } from "./context.ts";
import { DecodeQueue } from "./decode_queue.ts";
import { PlainPlaces } from "./plain_places.ts";
import type { EndpointAnswer } from "./port.ts";
import { effectivePriority } from "./queries/effective_priority.ts";
import { RouteIndex } from "./queries/match_route.ts";
import { findPrioritisedServices } from "./queries/stream_priorities.ts";
import { chooseDestination, type ServiceChoice } from "./resumption.ts";
import type { AnswerSink } from "./stream_relay.ts";
import type { StreamOutcome } from "./stream_outcome.ts";
import { StreamRun } from "./stream_run.ts";
import type { CreditCharge } from "../quotas/credit/types.ts";
import type { Route, RoutedRequest, RoutingTable, Service } from "./types.ts";
import type { RoutingWorkspace } from "./workspaces/types.ts";

/** Retry delay given to callers while the VM has no routing table. */
const NO_TABLE_RETRY_MS = 300;

/**
 * Share of a request's latency target for which it waits for credit of its workspace.
 * A prefill of an average prompt takes another eighth of a stream's target, and the
 * rest is needed to place a stream beside others.
 */
const CREDIT_WAIT_SHARE = 0.2;

/** Outcome of a routed request. */
export type RoutedOutcome =
  | { readonly kind: "answered"; readonly answer: EndpointAnswer }
  | StreamOutcome;

/** Options of {@link Router.handle}. */
export interface HandleOptions {
  /** Receives the answer of a stream as it arrives; other answers are returned. */
  sink: AnswerSink;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** Holds the active routing table and the decode queues of the services. */
export class Router {
  #context: RoutingContext;
  #table: RoutingTable | null = null;
  #index = new RouteIndex([]);
  #services = new Map<ServiceName, Service>();
  #callServices: ReadonlySet<ServiceName> = new Set();
  /** Services whose streams have several priorities. */
  #prioritised: ReadonlySet<ServiceName> = new Set();
  #queues = new Map<ServiceName, DecodeQueue>();
  #workspaces = new Map<WorkspaceId, RoutingWorkspace>();

  constructor(context: RoutingContext) {
    this.#context = context;
  }

  /** The active table, or null before the first. */
  get table(): RoutingTable | null {
    return this.#table;
  }

  /**
   * Activates a table; returns false if its version is not above the active one.
   * `source` names where it was read, for the log.
   */
  setTable(table: RoutingTable, { source = "store" } = {}): boolean {
    if (this.#table && table.version <= this.#table.version) return false;
    this.#table = table;
    this.#index = new RouteIndex(table.routes);
    this.#services = new Map(
      table.services.map((service) => [service.name, service]),
    );
    this.#callServices = findCallServices(table);
    this.#workspaces = new Map(
      table.workspaces?.map((workspace) => [workspace.id, workspace]),
    );
    this.#prioritised = findPrioritisedServices(table);
    this.#context.observer.count("configuration_changes", "in-force");
    this.#context.observer.log({
      event: "routing-table-in-force",
      version: table.version,
      source,
      routes: table.routes.length,
      services: table.services.length,
      idleMs: table.limits.idleMs,
      headersMs: table.limits.headersMs,
    });
    return true;
  }

  /** Looks up a service in the active table. */
  service(name: ServiceName): Service | undefined {
    return this.#services.get(name);
  }

  /** Returns the route of a request, or the refusal if it has none. */
  match(host: string, target: string): Route | Refusal {
    if (!this.#table) {
      return notRun("no-configuration", { retryAfterMs: NO_TABLE_RETRY_MS });
    }
    return this.#index.match(host, target) ?? notRun("not-found");
  }

  /** Runs a request until it is answered, refused or broken off, and records its duration. */
  async handle(
    request: RoutedRequest,
    { route, sink, signal }: HandleOptions & { route: Route },
  ): Promise<RoutedOutcome> {
    const outcome = await this.#run(request, { route, sink, signal });
    const tookMs = performance.now() - request.receivedAtMs;
    this.#context.times.note("whole", route.kind, tookMs);
    return outcome;
  }

  async #run(
    request: RoutedRequest,
    { route, sink, signal }: HandleOptions & { route: Route },
  ): Promise<RoutedOutcome> {
    const admission = await this.#context.crashes.admit(request);
    if (typeof admission === "object") {
      return { kind: "refused", refusal: admission };
    }
    const destination = await chooseDestination(this.#context, {
      request,
      route,
      callServices: this.#callServices,
    });
    if (destination.isErr()) {
      return { kind: "refused", refusal: destination.error };
    }
    const charge = await this.#charge(request, { route, signal });
    if (charge.isErr()) return { kind: "refused", refusal: charge.error };
    const outcome = await this.#send(request, {
      route,
      sink,
      signal,
      destination: destination.value,
      isTrial: admission === "trial",
    });
    const isNotRun = outcome.kind === "refused" &&
      outcome.refusal.kind === "notRun";
    if (isNotRun) charge.value?.giveBack();
    return outcome;
  }

  // A request that another VM sent on was charged there.
  async #charge(
    request: RoutedRequest,
    { route, signal }: { route: Route; signal: AbortSignal },
  ): Promise<Result<CreditCharge | null, NotRun>> {
    const workspace = request.workspace === undefined
      ? undefined
      : this.#workspaces.get(request.workspace);
    if (!workspace?.quota || request.hop) return ok(null);
    return await this.#context.credit.admit({
      workspace,
      tokens: request.tokenCount ?? null,
      waitMs: CREDIT_WAIT_SHARE * route.targetLatencyMs,
      signal,
    });
  }

  async #send(
    request: RoutedRequest,
    { route, sink, signal, destination, isTrial }: HandleOptions & {
      route: Route;
      destination: ServiceChoice;
      isTrial: boolean;
    },
  ): Promise<RoutedOutcome> {
    const { service, version } = destination;
    // The VM that sends it on to an endpoint counts it.
    const { budget, forwarding } = this.#context;
    if (!forwarding.isLost(service)) budget.earn(service);
    const pool = this.#services.get(service)?.engines ?? null;
    const common = { request, route, service, signal, isTrial };
    if (route.kind === "stream") {
      const places = pool
        ? this.#queueOf(service)
        : new PlainPlaces(this.#context, { service });
      const priority = this.#prioritised.has(service)
        ? effectivePriority(request, route)
        : undefined;
      const options = { ...common, pool, places, version, sink, priority };
      return await new StreamRun(this.#context, options).run();
    }
    const verdict = await new CallRun(this.#context, common).run();
    return verdict.match<RoutedOutcome>(
      (answer) => ({ kind: "answered", answer }),
      (refusal) => ({ kind: "refused", refusal }),
    );
  }

  /** Returns the refusal of a request that a VM which is stopping can't finish, or null. */
  refusalOfStop(route: Route, leftMs: number): Refusal | null {
    return this.#context.stop.refusalOf(route, leftMs);
  }

  /** Refuses the waiting streams that may no longer be sent. */
  refuseLate(): void {
    for (const queue of this.#queues.values()) queue.refuseLate();
  }

  /** Refuses the waiting streams of a service whose links are lost, so that they are sent on. */
  noteLostLinks(service: ServiceName): void {
    this.#queues.get(service)?.refuseLate();
  }

  /** Refuses all waiting streams. */
  stop(): void {
    for (const queue of this.#queues.values()) queue.stop();
  }

  #queueOf(service: ServiceName): DecodeQueue {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new DecodeQueue(this.#context, {
      service,
      pool: () => this.#services.get(service)?.engines ?? null,
    });
    this.#queues.set(service, queue);
    return queue;
  }
}

// Services that only routes without streams lead to.
function findCallServices({ routes }: RoutingTable): Set<ServiceName> {
  const services = new Set(routes.flatMap(servicesOf));
  for (const route of routes) {
    if (route.kind !== "stream") continue;
    for (const service of servicesOf(route)) services.delete(service);
  }
  return services;
}

function servicesOf({ destinations }: Route): ServiceName[] {
  return destinations.map(({ service }) => service);
}
