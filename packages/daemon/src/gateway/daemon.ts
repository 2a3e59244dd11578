/** Assembles a VM that routes requests by host and path. */
import { randomUUID } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import {
  asId,
  type Incarnation,
  InProgressCounter,
  type LogValue,
  MEMORY_USES,
  type Observer,
  PROCESS_MEMORY,
} from "@teaselvalve/core";
import {
  type CrashTable,
  type EndpointChange,
  type FollowedTable,
  type OriginTable,
  RoutingShutdown,
  type RoutingStore,
  type RoutingTable,
  RoutingVm,
} from "@teaselvalve/core/routing";
import { Admission } from "../http/admission.ts";
import type { Exchange } from "../http/exchange.ts";
import { sendJson, sendText } from "../http/exchange.ts";
import {
  type AdmittedRequests,
  createHttpComponent,
  type HttpComponent,
} from "../http/server.ts";
import { LifecycleManager } from "../lifecycle/manager.ts";
import { describeInterfaces } from "../observe/interfaces.ts";
import type { Metrics } from "../observe/metrics.ts";
import { createPeerPort } from "../peers/port.ts";
import { createPeerHandler } from "../peers/server.ts";
import type { Limits, RoutingSettings } from "../settings/schema.ts";
import { createRoutedEndpointPort } from "./endpoint_port.ts";
import { createForwardPort } from "./forward_port.ts";
import { createGatewayHandler } from "./handler.ts";
import { isForwarded, markRefusal, readHop } from "./hop.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** Handlers and formats that the platform defines for the VM's interfaces. */
export interface GatewayInterfaces {
  readiness: (exchange: Exchange, state: GatewayState) => void;
  directory: (exchange: Exchange, state: GatewayState) => void;
  /** Formats the `retry-after` header of a refusal. */
  formatRetryAfter: (retryAfterMs: number) => string;
}

/** State of the VM that the interfaces report. */
export interface GatewayState {
  readonly vm: RoutingVm;
  /** True while the VM can serve requests and isn't shutting down. */
  readonly ready: boolean;
  /** How long a caller may keep the VM's address. */
  readonly addressTtlMs: number;
}

/** Options of {@link createGateway}. */
export interface GatewayOptions {
  settings: RoutingSettings;
  observer: Observer;
  metrics: Metrics;
  tables: FollowedTable<RoutingTable>;
  endpoints: FollowedTable<EndpointChange>;
  origins: OriginTable;
  crashes: CrashTable;
  store: RoutingStore;
  protocol: EndpointProtocol;
  interfaces: GatewayInterfaces;
}

/** A gateway that can be started and stopped. */
export interface Gateway {
  start(): Promise<void>;
  /** Stops the components without draining, each within its time limit. */
  stop(): Promise<void>;
  /** Applies changed settings; VM identity, listen addresses and platform need a restart. */
  reload(settings: RoutingSettings): void;
  /** Leaves the membership and waits for requests in progress, within the grace period. */
  stopGracefully(): Promise<void>;
  /** Returns what is in progress as fields of a log line. */
  describe(): Record<string, LogValue>;
}

/** How long callers may keep an address; some keep it three times as long. */
const ADDRESS_TTL_MS = 1_000;
const MAX_ADDRESS_TTLS = 3;
const SERVING_MS = ADDRESS_TTL_MS * MAX_ADDRESS_TTLS;
/** Time before the end of the grace period when remaining requests are cut off. */
const CUT_OFF_MARGIN_MS = 600;
/** Time after which the process exits although callers have not read their refusals. */
const CUT_ANSWER_MS = 200;
const MS_PER_S = 1_000;
/** Above the limit for callers, so that larger headers can be refused with a response. */
const HEADER_BYTES = 65_536;
const PEER_BODY_BYTES = 16 * 1_024 * 1_024;
const BYTES_PER_MB = 1e6;
/** The rest is for the program, and for what waits to be garbage collected. */
const MESSAGE_SHARE_OF_MEMORY = 0.2;
const MESSAGE_SHARE_OF_HEAP = 0.4;
/** File descriptors reserved for endpoints, peers and files. */
const RESERVED_DESCRIPTORS = 1_200;

/** Path on the metrics interface where the operators' tool reads the VM's local view. */
const LOCAL_VIEW_PATH = "/admin/beliefs";

const INTERFACE_LIMITS: Limits = {
  bodyBytes: PEER_BODY_BYTES,
  headerBytes: HEADER_BYTES,
  headerCount: 200,
  connections: 1_000,
  idleMs: 15_000,
  headersMs: 5_000,
  requestMs: 60_000,
  slowReaderMs: 15_000,
  stopTimeoutMs: 5_000,
};

/** A starting VM has its tables within 100 ms if the store responds. */
const START_WAIT_MS = 250;

/** Returns how much memory all that the VM has accepted may take. */
function messageMemoryBytes({ limits }: RoutingSettings): number {
  const heapBytes = getHeapStatistics().heap_size_limit;
  return Math.min(
    MESSAGE_SHARE_OF_MEMORY * limits.memoryMb * BYTES_PER_MB,
    MESSAGE_SHARE_OF_HEAP * heapBytes,
  );
}

/** Creates a gateway without starting it. */
export function createGateway(options: GatewayOptions): Gateway {
  return new RoutingGateway(options);
}

class RoutingGateway implements Gateway {
  #options: GatewayOptions;
  #observer: Observer;
  #settings: RoutingSettings;
  #vm: RoutingVm;
  #shutdown: RoutingShutdown;
  #inProgress: InProgressCounter;
  #admission: Admission;
  #manager: LifecycleManager;
  #callers: HttpComponent;
  #interfaces: HttpComponent[] = [];
  /** Whether all interfaces have their ports. */
  #listening = false;
  /** Listeners of the requests in progress, which cut them off. */
  #cutListeners = new Set<() => void>();
  /** Resolves once the stop is complete; undefined before it begins. */
  #stopped: Promise<void> | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#observer = options.observer;
    this.#settings = options.settings;
    this.#manager = new LifecycleManager(this.#observer);
    PROCESS_MEMORY.setLimit(messageMemoryBytes(options.settings));
    this.#inProgress = new InProgressCounter(() => this.#shutdown.checkIdle());
    this.#admission = new Admission({
      observer: this.#observer,
      track: () => this.#inProgress.track(),
    });
    this.#vm = this.#createVm();
    this.#shutdown = new RoutingShutdown({
      observer: this.#observer,
      servingMs: SERVING_MS,
      announce: () => this.#vm.membership.leave(),
      inProgress: () => this.#inProgress.count,
    });
    this.#callers = this.#createCallers();
  }

  async start(): Promise<void> {
    const { settings, interfaces } = this.#options;
    const callPeerMethod = createPeerHandler({
      handlers: this.#vm.peerHandlers,
      secret: null,
      bodyLimitBytes: PEER_BODY_BYTES,
      observer: this.#observer,
    });
    const handleForwarded = this.#createHandler({ acceptsHops: true });
    const peers = this.#createComponent(
      "peers",
      (exchange) =>
        isForwarded(exchange.incoming.headers)
          ? handleForwarded(exchange)
          : callPeerMethod(exchange),
      {
        ...this.#admitted(),
        applies: isForwarded,
        timeoutMs: (headers) => readHop(headers)?.fields.timeoutMs ?? null,
        mark: markRefusal,
      },
    );
    // While one waits for its port, those before it show a VM that isn't ready, and
    // callers are turned away by the closed port.
    this.#interfaces = [
      this.#createComponent(
        "metrics",
        (exchange) => this.#serveMetrics(exchange),
      ),
      this.#createComponent(
        "readiness",
        (exchange) => interfaces.readiness(exchange, this.#state()),
      ),
      peers,
      this.#createComponent(
        "directory",
        (exchange) => interfaces.directory(exchange, this.#state()),
      ),
      this.#callers,
    ];
    const components = [
      ...this.#interfaces,
      {
        name: "vm",
        start: () => {
          this.#listening = true;
          return this.#vm.start();
        },
        stop: () => this.#vm.stop(),
      },
    ];
    const { metrics } = this.#options;
    metrics.watchInterfaces(this.#interfaces);
    metrics.watchHeldMemory(PROCESS_MEMORY);
    metrics.watchAdmission(this.#admission, settings.listen.callers);
    metrics.watchLostLinks(() => this.#vm.lostLinkGroups);
    metrics.watchViewAges(() => ({ ...this.#vm.viewAgesMs() }));
    await this.#manager.start(components);
    this.#observer.log({ event: "gateway-started", vm: settings.vm.id });
  }

  stop(): Promise<void> {
    return this.#manager.stop();
  }

  reload(settings: RoutingSettings): void {
    const restartSettings = ({ vm, listen, platform }: RoutingSettings) =>
      JSON.stringify([vm, listen, platform]);
    const needsRestart =
      restartSettings(settings) !== restartSettings(this.#settings);
    this.#settings = settings;
    this.#observer.log({ event: "settings-reloaded", needsRestart });
  }

  stopGracefully(): Promise<void> {
    this.#stopped ??= this.#runStop();
    return this.#stopped;
  }

  describe(): Record<string, LogValue> {
    return {
      inProgress: this.#inProgress.count,
      ...describeInterfaces(this.#interfaces),
      heldBytes: MEMORY_USES.map((use) =>
        `${use}:${PROCESS_MEMORY.usedBytes(use)}`
      ).join(","),
    };
  }

  async #runStop(): Promise<void> {
    if (!this.#listening) return;
    const graceMs = this.#settings.stop.graceS * MS_PER_S;
    const cutMs = Math.max(0, graceMs - CUT_OFF_MARGIN_MS);
    const cutTimer = setTimeout(() => {
      for (const cut of [...this.#cutListeners]) cut();
    }, cutMs);
    let endTimer: ReturnType<typeof setTimeout> | undefined;
    const timeIsUp = new Promise<void>((resolve) => {
      endTimer = setTimeout(() => {
        this.#shutdown.cut("time-limit");
        resolve();
      }, cutMs + CUT_ANSWER_MS);
    });
    this.#vm.beginStop({ servingMs: Math.min(SERVING_MS, cutMs), cutMs });
    await this.#shutdown.begin();
    await Promise.race([this.#closeInterfaces(), timeIsUp]);
    clearTimeout(cutTimer);
    clearTimeout(endTimer);
    this.#observer.log({
      event: "gateway-stopped",
      inProgress: this.#inProgress.count,
    });
  }

  // What had arrived before gets an answer.
  async #closeInterfaces(): Promise<void> {
    await Promise.all(this.#interfaces.map(async (component) => {
      await component.refuseArrivals();
      await component.stop();
    }));
  }

  #state(): GatewayState {
    return {
      vm: this.#vm,
      ready: this.#vm.ready && !this.#shutdown.leaving,
      addressTtlMs: Math.min(
        ADDRESS_TTL_MS,
        this.#settings.directory.ttlMaxS * MS_PER_S,
      ),
    };
  }

  #createVm(): RoutingVm {
    const { settings, tables, endpoints, origins, crashes, store, protocol } =
      this.#options;
    const { listen } = settings;
    return new RoutingVm({
      identity: {
        ...settings.vm,
        incarnation: asId<Incarnation>(randomUUID()),
        callerAddress: listen.callers,
        peerAddress: listen.peers,
      },
      ports: {
        tables,
        endpoints,
        origins,
        crashes,
        store,
        peers: createPeerPort({
          secret: null,
          observer: this.#observer,
          self: {
            peerAddress: listen.peers,
            handlers: () => this.#vm.peerHandlers,
          },
        }),
        calls: (onNotice) =>
          createRoutedEndpointPort({
            protocol,
            observer: this.#observer,
            onNotice,
          }),
        forward: (onNotice) =>
          createForwardPort({
            protocol,
            observer: this.#observer,
            onNotice,
          }),
      },
      observer: this.#observer,
      random: Math.random,
      budget: () => this.#settings.retries,
      contacts: () => this.#settings.peers.contacts,
      times: this.#options.metrics,
      bounds: settings.bounds,
      isBusy: () => this.#admission.isBusy,
      balance: () => this.#settings.balance,
      onTable: ({ limits }) => this.#callers.setTimeouts(limits),
    });
  }

  #createCallers(): HttpComponent {
    const { settings } = this.#options;
    const connections = settings.limits.descriptors - RESERVED_DESCRIPTORS;
    return createHttpComponent({
      name: "callers",
      address: settings.listen.callers,
      observer: this.#observer,
      limits: {
        ...INTERFACE_LIMITS,
        connections: Math.max(connections, INTERFACE_LIMITS.connections),
      },
      requestLogLevel: "info",
      omitDiagnosticHeaders: true,
      shouldCloseConnections: () => this.#shutdown.leaving,
      admission: this.#admitted(),
      handle: this.#createHandler(),
    });
  }

  #admitted(): AdmittedRequests {
    const { protocol, interfaces } = this.#options;
    return {
      gate: this.#admission,
      timeoutMs: (headers) => protocol.readTimeoutMs(headers),
      describe: (headers) => {
        const { attemptId } = protocol.readCallerHeaders(headers);
        return { attempt: attemptId ?? undefined };
      },
      formatRetryAfter: interfaces.formatRetryAfter,
    };
  }

  #createHandler(
    { acceptsHops = false } = {},
  ): ReturnType<typeof createGatewayHandler> {
    const { protocol, interfaces } = this.#options;
    return createGatewayHandler({
      router: this.#vm.router,
      authenticator: this.#vm.authenticator,
      protocol,
      observer: this.#observer,
      formatRetryAfter: interfaces.formatRetryAfter,
      acceptsHops,
      // The VM of the caller counts the requests that it sends on.
      ...(acceptsHops ? {} : { counters: this.#options.metrics.workspaces }),
      waitReady: () => this.#vm.waitReady(START_WAIT_MS),
      awaitTable: (hop, leftMs) => this.#vm.awaitTable(hop, leftMs),
      onCut: (listener) => {
        this.#cutListeners.add(listener);
        return () => this.#cutListeners.delete(listener);
      },
      track: () => this.#inProgress.track(),
    });
  }

  #createComponent(
    name: keyof RoutingSettings["listen"],
    handle: (exchange: Exchange) => Promise<void> | void,
    admission?: AdmittedRequests,
  ): HttpComponent {
    return createHttpComponent({
      name,
      address: this.#options.settings.listen[name],
      observer: this.#observer,
      limits: INTERFACE_LIMITS,
      // They must answer while callers have all other memory.
      requestMemoryUse: "internal",
      requestLogLevel: "debug",
      omitDiagnosticHeaders: true,
      admission,
      handle,
    });
  }

  async #serveMetrics({ response, url }: Exchange): Promise<void> {
    if (url.pathname === LOCAL_VIEW_PATH) {
      return sendJson(response, this.#vm.localView());
    }
    const { registry } = this.#options.metrics;
    sendText(response, await registry.metrics(), registry.contentType);
  }
}
