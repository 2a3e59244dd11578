/** Puts the daemon together: ports, the VM, its interfaces and its life cycle. */
import { randomUUID } from "node:crypto";
import { asId, type Incarnation, type Observer, Vm } from "@teaselvalve/core";
import { createAdminHandler } from "./admin/handler.ts";
import { createCallerHandler } from "./callers/handler.ts";
import { createEnginePort } from "./engines/port.ts";
import { createHttpPart } from "./http/server.ts";
import { LifecycleManager } from "./lifecycle/manager.ts";
import type { Log } from "./observe/log.ts";
import { Metrics } from "./observe/metrics.ts";
import { createPeerPort } from "./peers/port.ts";
import { createPeerHandler } from "./peers/server.ts";
import { createPlatformPort } from "./platform/port.ts";
import { createServicePort } from "./services/port.ts";
import type { Secrets } from "./settings/load.ts";
import type { Settings } from "./settings/schema.ts";

/** What a daemon is made from. */
export interface DaemonOptions {
  settings: Settings;
  secrets: Secrets;
  log: Log;
}

/** A daemon that can be started and stopped. */
export interface Daemon {
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Creates a daemon. */
export function createDaemon(options: DaemonOptions): Daemon {
  const { settings, secrets, log } = options;
  const metrics = new Metrics();
  const observer: Observer = {
    log,
    count: (counter, reason) => metrics.count(counter, reason),
  };
  const vm = createVm({ settings, secrets, observer });
  const manager = new LifecycleManager(observer);
  const { listen, limits } = settings;
  const common = { observer, connections: limits.connections };
  const bodyLimitBytes = limits.bodyBytes;
  const parts = [
    createHttpPart({
      ...common,
      name: "peers",
      address: listen.peers,
      handle: createPeerHandler({
        handlers: vm.peerHandlers,
        secret: secrets.peerSecret,
        bodyLimitBytes: bodyLimitBytes * 16,
      }),
    }),
    { name: "vm", start: () => vm.start(), stop: () => vm.stop() },
    createHttpPart({
      ...common,
      name: "admin",
      address: listen.admin,
      handle: createAdminHandler({
        vm,
        metrics,
        observer,
        adminToken: secrets.adminToken,
        bodyLimitBytes: bodyLimitBytes * 16,
      }),
    }),
    createHttpPart({
      ...common,
      name: "callers",
      address: listen.callers,
      handle: createCallerHandler({ vm, observer, bodyLimitBytes }),
    }),
  ];
  return {
    start: () => manager.start(parts),
    stop: () => manager.stop(),
  };
}

function createVm(options: {
  settings: Settings;
  secrets: Secrets;
  observer: Observer;
}): Vm {
  const { settings, secrets, observer } = options;
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
        own: {
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
