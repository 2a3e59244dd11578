/** Puts the daemon together: ports, the VM, its interfaces and its life cycle. */
import { randomUUID } from "node:crypto";
import {
  asId,
  type Incarnation,
  type Observer,
  type StopOutcome,
  Vm,
} from "@teaselvalve/core";
import { createAdminHandler } from "./admin/handler.ts";
import { createCallerHandler } from "./callers/handler.ts";
import { createEnginePort } from "./engines/port.ts";
import { createHttpComponent, splitAddress } from "./http/server.ts";
import { LifecycleManager } from "./lifecycle/manager.ts";
import type { Log } from "./observe/log.ts";
import { Metrics } from "./observe/metrics.ts";
import { TrafficCounter } from "./observe/traffic.ts";
import { createPeerPort } from "./peers/port.ts";
import { createPeerHandler } from "./peers/server.ts";
import { createPlatformPort } from "./platform/port.ts";
import { createServicePort } from "./services/port.ts";
import type { LoadedSettings } from "./settings/load.ts";

/** What a daemon is made from. */
export interface DaemonOptions extends LoadedSettings {
  log: Log;
}

/** A daemon that can be started and stopped. */
export interface Daemon {
  start(): Promise<void>;
  /** Stops at once, as far as the time limits of the parts allow. */
  stop(): Promise<void>;
  /** Leaves the deployment without cutting off work, then stops. */
  leave(): Promise<void>;
  /** Ends a leave before its work is done. */
  cutLeave(): void;
}

const FLUSH_MS = 1_000;

/** Creates a daemon. */
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
  const common = { observer, limits };
  const bodyLimitBytes = limits.bodyBytes;
  const peers = createHttpComponent({
    ...common,
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
    ...common,
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
    ...common,
    name: "callers",
    address: listen.callers,
    tls: tls.callers,
    requestLogLevel: "info",
    stopTimeoutMs: limits.stopTimeoutMs,
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
  const parts = [
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
    start: () => manager.start(parts),
    stop: () => manager.stop(),
    async leave() {
      const limit = setTimeout(
        () => vm.cutStop("time-limit"),
        limits.stopTimeoutMs,
      );
      const outcome = await vm.leave();
      clearTimeout(limit);
      logOutcome(observer, outcome);
      // What was cut off has been answered; the sockets get a moment to send it.
      if (outcome.kind === "cut") setTimeout(() => callers.abort?.(), FLUSH_MS);
      await manager.stop();
    },
    cutLeave: () => vm.cutStop("second-signal"),
  };
}

function logOutcome(observer: Observer, outcome: StopOutcome): void {
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
      platform: createPlatformPort(settings.platform),
      engines: createEnginePort(),
      services: createServicePort(),
      peers: createPeerPort({
        secret: secrets.peerSecret,
        tls: tls.peers,
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
