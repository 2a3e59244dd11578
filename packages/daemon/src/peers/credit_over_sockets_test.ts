import {
  asId,
  CreditTask,
  type Member,
  SILENT_OBSERVER,
  type VmIdentity,
  wait,
} from "@teaselvalve/core";
import type { RoutingTable, RoutingWorkspace } from "@teaselvalve/core/routing";
import { afterEach, expect, test } from "vitest";
import { createHttpComponent, type HttpComponent } from "../http/server.ts";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { createPeerPort } from "./port.ts";
import { createPeerHandler } from "./server.ts";

interface Vm {
  readonly task: CreditTask;
  readonly component: HttpComponent;
}

const BURST = 40;
const WORKSPACE: RoutingWorkspace = {
  id: asId("w"),
  keyDigests: [],
  priority: null,
  quota: { unit: "requests", perSecond: 40, burst: BURST, plainTokens: 200 },
};
const TABLE = {
  version: 1,
  workspaces: [WORKSPACE],
} as unknown as RoutingTable;
/** Time after which a new home no longer counts only the VMs that draw from it. */
const SETTLED_MS = 3_200;

let vms: Vm[] = [];

afterEach(async () => {
  for (const { task, component } of vms) {
    task.stop();
    component.abort?.();
    await component.stop();
  }
  vms = [];
});

/** Starts VMs of which the first is home of the workspace. */
async function start(
  count: number,
  { isFirstOld = false } = {},
): Promise<void> {
  const members: Member[] = [];
  for (let index = 0; index < count; index += 1) {
    members.push({
      id: asId(`vm-${index}`),
      incarnation: asId(`vm-${index}-1`),
      dataCentre: asId("a"),
      region: asId("r"),
      callerAddress: "",
      peerAddress: `127.0.0.1:${await freePort()}`,
      state: "live",
    });
  }
  for (const [index, member] of members.entries()) {
    const task: CreditTask = new CreditTask({
      membership: {
        self: member as VmIdentity,
        members: () => members,
        homeOf: () => members[0]!,
        onChange: () => () => {},
      },
      peers: createPeerPort({
        secret: null,
        self: {
          peerAddress: member.peerAddress,
          handlers: () => task.handlers,
        },
      }),
      observer: SILENT_OBSERVER,
    });
    task.setTable(TABLE);
    const component = createHttpComponent({
      name: "peers",
      address: member.peerAddress,
      handle: createPeerHandler({
        handlers: isFirstOld && index === 0 ? {} : task.handlers,
        secret: null,
        bodyLimitBytes: 1_048_576,
      }),
      limits: SettingsSchema.shape.limits.parse({}),
      observer: SILENT_OBSERVER,
      requestLogLevel: "debug",
    });
    await component.start();
    vms.push({ task, component });
  }
}

async function admit(vm: Vm): Promise<boolean> {
  const admitted = await vm.task.admit({
    workspace: WORKSPACE,
    tokens: null,
    waitMs: 0,
    signal: new AbortController().signal,
  });
  return admitted.isOk();
}

// Probes, which VMs of a deployment send each other every second, bring contacts.
async function settle(): Promise<void> {
  const untilMs = performance.now() + SETTLED_MS;
  while (performance.now() < untilMs) {
    for (const { task } of vms) task.noteContact();
    await wait(500);
  }
}

/** Sends requests to all VMs in turn; returns how many each of them admitted. */
async function flood(requests: number): Promise<number[]> {
  const counts = vms.map(() => 0);
  for (let sent = 0; sent < requests; sent += 1) {
    const index = sent % vms.length;
    if (await admit(vms[index]!)) counts[index]! += 1;
  }
  return counts;
}

test("VMs that draw credit over sockets share one account", async () => {
  await start(3);
  await settle();
  const startedMs = performance.now();
  const counts = await flood(150);
  const tookS = (performance.now() - startedMs) / 1_000;
  const admitted = counts.reduce((sum, count) => sum + count, 0);
  expect(admitted).toBeGreaterThan(0.9 * BURST);
  expect(admitted).toBeLessThanOrEqual(1.1 * BURST + 40 * tookS + 10);
  expect(Math.min(...counts)).toBeGreaterThan(0);
});

test("Beside a home of the previous build, VMs use their own shares", async () => {
  await start(3, { isFirstOld: true });
  const untilMs = performance.now() + 3_000;
  let admitted = 0;
  while (performance.now() < untilMs) {
    for (const vm of vms.slice(1)) if (await admit(vm)) admitted += 1;
    await wait(5);
  }
  // Two of three shares of 40 per second for 3 s are 80.
  expect(admitted).toBeGreaterThan(50);
  expect(admitted).toBeLessThan(95);
});
