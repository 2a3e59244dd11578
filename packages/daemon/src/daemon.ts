/** Assembles the daemon from its ports, VM, HTTP interfaces and life cycle. */
import { randomUUID } from "node:crypto";
import {
  asId,
  type Incarnation,
  type LogValue,
  type Observer,
  type ShutdownOutcome,
  Vm,
} from "@teaselvalve/core";
import { createAdminHandler } from "./admin/handler.ts";
import { createCallerHandler } from "./callers/handler.ts";
import { createEnginePort } from "./engines/port.ts";
import { Admission } from "./http/admission.ts";
import { splitAddress } from "./http/listen.ts";
import { toWholeSeconds } from "./http/problem.ts";
import { createHttpComponent } from "./http/server.ts";
import { LifecycleManager } from "./lifecycle/manager.ts";
import { describeInterfaces } from "./observe/interfaces.ts";
import type { Log } from "./observe/log.ts";
import { Metrics } from "./observe/metrics.ts";
import { TrafficCounter } from "./observe/traffic.ts";
import { createPeerPort } from "./peers/port.ts";
import { createPeerHandler } from "./peers/server.ts";
import { createPlatformPort } from "./platform/port.ts";
import { createServicePort } from "./services/port.ts";
import type { LoadedSettings } from "./settings/load.ts";

/** Options of {@link createDaemon}. */
export interface DaemonOptions extends LoadedSettings {
  log: Log;
}

/** A daemon that can be started and stopped. */
export interface Daemon {
  start(): Promise<void>;
  /** Stops all components in reverse order, each within its time limit. */
  stop(): Promise<void>;
  /**
   * Announces that the VM is leaving, finishes work in progress, then stops.
   * Work still in progress after `stopTimeoutMs` is cut off.
   */
  stopGracefully(): Promise<void>;
  /** Cuts off the work that a graceful stop is waiting for. */
  abortGracefulStop(): void;
  /** Returns what is in progress as fields of a log line. */
  describe(): Record<string, LogValue>;
  readonly observer: Observer;
  readonly metrics: Metrics;
}

/** Time for sockets to send the responses to requests that were cut off. */
const FLUSH_MS = 1_000;

/** Creates a daemon that is not started yet. */
export function createDaemon(options: DaemonOptions): Daemon {
  const { settings, secrets, tls, log } = options;
  const metrics = new Metrics();
  const observer: Observer = {
    log,
    count: (counter, reason) => metrics.count(counter, reason),
  };
  const vm = createVm({ ...options, observer });
  const manager = new LifecycleManager(observer);
  const { listen, limits } = settings;
  const sharedOptions = { observer, limits };
  const bodyLimitBytes = limits.bodyBytes;
  const peers = createHttpComponent({
    ...sharedOptions,
    name: "peers",
    address: listen.peers,
    tls: tls.peers,
    requestLogLevel: "debug",
    omitDiagnosticHeaders: true,
    handle: createPeerHandler({
      handlers: vm.peerHandlers,
      secret: secrets.peerSecret,
      bodyLimitBytes: bodyLimitBytes * 16,
      observer,
    }),
  });
  const admin = createHttpComponent({
    ...sharedOptions,
    name: "admin",
    address: listen.admin,
    tls: tls.admin,
    requestLogLevel: "info",
    handle: createAdminHandler({
      vm,
      metrics,
      observer,
      adminToken: secrets.adminToken,
      bodyLimitBytes: bodyLimitBytes * 16,
    }),
  });
  const callers = createHttpComponent({
    ...sharedOptions,
    name: "callers",
    address: listen.callers,
    tls: tls.callers,
    requestLogLevel: "info",
    stopTimeoutMs: limits.stopTimeoutMs,
    admission: {
      gate: new Admission({ observer }),
      // Callers don't say how long they wait.
      timeoutMs: () => null,
      describe: () => ({}),
      formatRetryAfter: toWholeSeconds,
    },
    handle: createCallerHandler({ vm, observer, bodyLimitBytes }),
  });
  metrics.watchInterfaces([peers, admin, callers]);
  const traffic = new TrafficCounter(
    new Map(
      Object.entries(listen).map(([name, address]) => [
        splitAddress(address)[1],
        name,
      ]),
    ),
  );
  metrics.watchTraffic(traffic);
  const components = [
    {
      name: "traffic",
      start: () => traffic.start(),
      stop: () => traffic.stop(),
    },
    peers,
    { name: "vm", start: () => vm.start(), stop: () => vm.stop() },
    admin,
    callers,
  ];
  return {
    observer,
    metrics,
    describe: () => describeInterfaces([callers, peers, admin]),
    start: () => manager.start(components),
    stop: () => manager.stop(),
    async stopGracefully() {
      const timeout = setTimeout(
        () => vm.forceShutdown("time-limit"),
        limits.stopTimeoutMs,
      );
      const outcome = await vm.leave();
      clearTimeout(timeout);
      logStopOutcome(observer, outcome);
      // Requests that were cut off have a response; give the sockets time to send it.
      if (outcome.kind === "cut") setTimeout(() => callers.abort?.(), FLUSH_MS);
      await manager.stop();
    },
    abortGracefulStop: () => vm.forceShutdown("second-signal"),
  };
}

function logStopOutcome(observer: Observer, outcome: ShutdownOutcome): void {
  if (outcome.kind === "drained") {
    return observer.log({ event: "planned-stop-done" });
  }
  const { reason, inProgress } = outcome;
  observer.log({
    event: "planned-stop-cut",
    level: "warn",
    reason,
    requestsCut: inProgress,
  });
}

function createVm(options: LoadedSettings & { observer: Observer }): Vm {
  const { settings, secrets, tls, observer } = options;
  const vm: Vm = new Vm({
    identity: {
      ...settings.vm,
      incarnation: asId<Incarnation>(randomUUID()),
      callerAddress: settings.listen.callers,
      peerAddress: settings.listen.peers,
    },
    ports: {
      platform: createPlatformPort({ ...settings.platform, observer }),
      engines: createEnginePort({ observer }),
      services: createServicePort({ observer }),
      peers: createPeerPort({
        secret: secrets.peerSecret,
        tls: tls.peers,
        observer,
        self: {
          peerAddress: settings.listen.peers,
          handlers: () => vm.peerHandlers,
        },
      }),
    },
    observer,
    random: Math.random,
  });
  return vm;
}
