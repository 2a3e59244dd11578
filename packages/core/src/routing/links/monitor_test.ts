import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import { wait } from "../../common/wait.ts";
import type {
  Member,
  ViewListener,
  VmIdentity,
  VmState,
} from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import { EndpointRegistry } from "../endpoint_registry.ts";
import { entry, SERVICE } from "../testing/fake_endpoints.ts";
import type { EndpointEntry } from "../types.ts";
import { LinkMonitor } from "./monitor.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

type Reach = "answers" | "refuses" | "hangs" | "is slow";

/** Longer than any check waits. */
const SLOW_MS = 400;
const SEND_TIMEOUT_MS = 250;
const OTHER_SERVICE = "writers" as typeof SERVICE;
const ENTRIES: readonly EndpointEntry[] = [
  entry("a"),
  entry("b"),
  entry("c"),
  entry("d", { service: OTHER_SERVICE, stage: "decode" }),
  entry("p", { service: OTHER_SERVICE, stage: "prefill" }),
];

interface Vm {
  readonly id: string;
  readonly monitor: LinkMonitor;
  readonly endpoints: EndpointRegistry;
  /** What its connections to endpoints do; by default they are answered. */
  reach: (endpoint: EndpointEntry) => Reach;
  checks: number;
  /** Whether endpoints name limits to it, and whether a check gets a permit. */
  isLimited: boolean;
  takesPermit: () => boolean;
  /** Its state as the others see it. */
  state: VmState;
  /** Called when its view of the others changes. */
  readonly listeners: ViewListener[];
}

function createVms(count: number): Vm[] {
  const vms: Vm[] = [];
  const peers = {
    call: async (
      { id }: { id: string },
      method: "routing/check-links",
      { params, timeoutMs }: { params: never; timeoutMs: number },
    ) => {
      const vm = vms.find((other) => other.id === id)!;
      return await Promise.race([
        vm.monitor.handlers[method](params).then((answer) => ok(answer)),
        wait(timeoutMs).then(() => err({ kind: "timeout" })),
      ]);
    },
  } as unknown as PeerPort;
  const members = () =>
    vms.map(({ id, state }) => ({ id, state }) as unknown as Member);
  for (let index = 0; index < count; index += 1) {
    const id = `vm-${index}`;
    const endpoints = new EndpointRegistry(SILENT_OBSERVER);
    endpoints.replace(ENTRIES);
    const listeners: ViewListener[] = [];
    const vm: Vm = {
      id,
      endpoints,
      reach: () => "answers",
      checks: 0,
      isLimited: false,
      takesPermit: () => true,
      state: "live",
      listeners,
      monitor: new LinkMonitor({
        membership: {
          self: { id } as unknown as VmIdentity,
          members,
          onChange: (listener) => {
            listeners.push(listener);
            return () => {};
          },
        },
        peers,
        endpoints: () => endpoints,
        port: () => ({
          checkLink: async (endpoint, { timeoutMs }) => {
            if (!vm.takesPermit()) return undefined;
            vm.checks += 1;
            return await connect(vm, endpoint, timeoutMs);
          },
        }),
        healthPathOf: () => "/health",
        isLimited: () => vm.isLimited,
        observer: SILENT_OBSERVER,
        random: Math.random,
      }),
    };
    vms.push(vm);
  }
  return vms;
}

async function connect(
  vm: Vm,
  endpoint: EndpointEntry,
  timeoutMs: number,
): Promise<boolean> {
  const reach = vm.reach(endpoint);
  const takesMs =
    { answers: 2, refuses: 0, hangs: Infinity, "is slow": SLOW_MS }[
      reach
    ];
  await wait(Math.min(takesMs, timeoutMs));
  return reach !== "refuses" && takesMs <= timeoutMs;
}

/** Sends a request to an endpoint of the plain service every 50 ms. */
async function send(vms: readonly Vm[], durationMs: number): Promise<void> {
  const untilMs = performance.now() + durationMs;
  for (let round = 0; performance.now() < untilMs; round += 1) {
    const endpoint = ENTRIES[round % 3]!;
    for (const vm of vms) {
      const sentAtMs = performance.now();
      void connect(vm, endpoint, SEND_TIMEOUT_MS).then((isAnswered) =>
        isAnswered
          ? vm.monitor.noteAnswer(endpoint, sentAtMs)
          : vm.monitor.noteFailure(endpoint, sentAtMs)
      );
    }
    await vi.advanceTimersByTimeAsync(50);
  }
}

function lostAt(vms: readonly Vm[]): string[] {
  return vms.filter(({ monitor }) => monitor.isLost(SERVICE))
    .map(({ id }) => id);
}

for (const reach of ["refuses", "hangs"] as const) {
  test(`A VM to which each endpoint ${reach} finds out within a second, also for services without requests, and ends it soon after`, async () => {
    const vms = createVms(4);
    const [cut] = vms;
    await send(vms, 1_000);
    cut!.reach = () => reach;
    await send(vms, 1_000);
    expect(lostAt(vms)).toEqual([cut!.id]);
    expect(cut!.monitor.isLost(OTHER_SERVICE)).toBe(true);
    expect(cut!.monitor.lostGroups).toBe(3);
    const record = cut!.endpoints.get(ENTRIES[0]!.id)!;
    record.noteFailure(performance.now());
    record.noteFailure(performance.now());
    cut!.reach = () => "answers";
    await vi.advanceTimersByTimeAsync(1_000);
    expect(cut!.monitor.lostGroups).toBe(0);
    expect(record.isHealthy(performance.now())).toBe(true);
  });
}

test("A VM that has lost its links to one service only keeps using the others", async () => {
  const vms = createVms(4);
  const [cut] = vms;
  cut!.reach = ({ service }) => service === SERVICE ? "refuses" : "answers";
  await send(vms, 1_500);
  expect(lostAt(vms)).toEqual([cut!.id]);
  expect(cut!.monitor.isLost(OTHER_SERVICE)).toBe(false);
});

const NO_LOSSES: readonly (readonly [string, Vm["reach"]])[] = [
  ["one endpoint refuses", ({ id }) => id === "a" ? "refuses" : "answers"],
  ["two endpoints hang", ({ id }) => id === "a" ? "answers" : "hangs"],
  [
    "all of one service are down",
    ({ service }) => service === SERVICE ? "refuses" : "answers",
  ],
  [
    "all of one service hang",
    ({ service }) => service === SERVICE ? "hangs" : "answers",
  ],
  ["all endpoints are down", () => "refuses"],
  ["all endpoints are overloaded", () => "is slow"],
];

test.each(NO_LOSSES)(
  "No VM takes its links for lost while %s for everyone",
  async (_name, reach) => {
    const vms = createVms(4);
    await send(vms, 500);
    for (const vm of vms) vm.reach = reach;
    for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
      await send(vms, 100);
      expect(lostAt(vms)).toEqual([]);
    }
  },
);

test("No VM takes its links for lost when endpoints fail one after the other", async () => {
  const vms = createVms(4);
  for (let round = 0; round < 20; round += 1) {
    const failed = new Set<string>();
    const reach: Vm["reach"] = ({ id }) =>
      failed.has(id) ? "refuses" : "answers";
    for (const vm of vms) vm.reach = reach;
    await send(vms, 500);
    for (const id of ["a", "b", "c"]) {
      failed.add(id);
      await send(vms, 50 + 10 * round);
      expect(lostAt(vms)).toEqual([]);
    }
    await send(vms, 300);
    expect(lostAt(vms)).toEqual([]);
  }
});

test("A single VM never takes its links for lost", async () => {
  const vms = createVms(1);
  vms[0]!.reach = () => "refuses";
  await send(vms, 3_000);
  expect(lostAt(vms)).toEqual([]);
});

test("Answers to requests sent before a loss don't end it", async () => {
  const vms = createVms(3);
  const [cut] = vms;
  await send(vms, 500);
  const sentAtMs = performance.now();
  cut!.reach = () => "refuses";
  await send(vms, 1_000);
  cut!.monitor.noteAnswer(ENTRIES[0]!, sentAtMs);
  expect(lostAt(vms)).toEqual([cut!.id]);
});

test("Endpoints that refuse connections count as ended only where the links work", async () => {
  for (let round = 0; round < 30; round += 1) {
    const vms = createVms(3);
    const [cut, ...linked] = vms;
    await send(vms, 500);
    cut!.reach = () => "refuses";
    for (const vm of linked) {
      vm.reach = ({ id }) => id === "a" ? "refuses" : "answers";
    }
    const confirmed = Promise.all(
      vms.map(({ monitor }) => monitor.confirmLinks(ENTRIES[0]!)),
    );
    await vi.advanceTimersByTimeAsync(600);
    expect(await confirmed).toEqual([false, true, true]);
  }
});

test("Most of sixty VMs find their links lost, and check them seldom", async () => {
  const vms = createVms(60);
  const cut = vms.slice(0, 55);
  for (const vm of cut) vm.reach = () => "hangs";
  await send(vms, 2_000);
  expect(lostAt(vms)).toHaveLength(cut.length);
  for (const vm of vms) vm.checks = 0;
  await send(vms, 10_000);
  const checks = vms.reduce((sum, vm) => sum + vm.checks, 0);
  // Three groups, two endpoints of each every half second.
  expect(checks).toBeLessThanOrEqual(cut.length * 10 * 3 * 4);
});

test("VMs whose links are lost find it out from a VM that leaves, if only that one has links", async () => {
  const vms = createVms(3);
  const [leaving, ...cut] = vms;
  leaving!.state = "leaving";
  for (const vm of cut) vm.reach = () => "hangs";
  await send(vms, 1_500);
  expect(lostAt(vms)).toEqual(cut.map(({ id }) => id));
});

test("VMs that have checked their links in vain check them again soon after a VM with links has started", async () => {
  const vms = createVms(3);
  const [started, ...cut] = vms;
  started!.state = "dead";
  for (const vm of vms) vm.reach = () => "hangs";
  await send(vms, 12_000);
  expect(lostAt(vms)).toEqual([]);
  started!.state = "live";
  started!.reach = () => "answers";
  for (const { listeners } of cut) {
    for (const notify of listeners) notify([]);
  }
  await send(vms, 1_000);
  expect(lostAt(vms)).toEqual(cut.map(({ id }) => id));
});

test("A check ends with the first answer, whatever other VMs do", async () => {
  const vms = createVms(3);
  const [asking, ...silent] = vms;
  for (const vm of silent) vm.reach = () => "hangs";
  await send([asking!], 1_000);
  asking!.reach = ({ id }) => id === "a" ? "refuses" : "answers";
  const startedMs = performance.now();
  const confirmed = asking!.monitor.confirmLinks(ENTRIES[0]!)
    .then((works) => ({ works, tookMs: performance.now() - startedMs }));
  await vi.advanceTimersByTimeAsync(1_000);
  const { works, tookMs } = await confirmed;
  expect(works).toBe(true);
  expect(tookMs).toBeLessThan(50);
});

test("Links to a stage that has no endpoints any more are not lost, those to the others still are", async () => {
  const vms = createVms(3);
  const [cut] = vms;
  cut!.reach = () => "refuses";
  await send(vms, 1_000);
  expect(cut!.monitor.lostGroups).toBe(3);
  cut!.endpoints.replace(
    ENTRIES.map((known) =>
      known.stage === "prefill" ? { ...known, stage: "decode" as const } : known
    ),
  );
  await send(vms, 1_000);
  expect(cut!.monitor.lostGroups).toBe(2);
  cut!.reach = () => "answers";
  await vi.advanceTimersByTimeAsync(1_000);
  expect(cut!.monitor.isLost(OTHER_SERVICE)).toBe(false);
});

/** Permits for endpoints with a limit; what one VM takes, the others lack. */
function limitEndpoints(vms: readonly Vm[], share = 1): void {
  for (const vm of vms) {
    vm.isLimited = true;
    vm.takesPermit = () => Math.random() < share;
  }
}

// Guards against a VM without links that keeps its requests, as it gets no permits for
// checks where all endpoints name limits.
test("A VM finds its links lost by its requests where limits leave no permits for checks", async () => {
  const vms = createVms(4);
  limitEndpoints(vms, 0);
  vms[0]!.reach = () => "hangs";
  await send(vms, 2_500);
  expect(lostAt(vms)).toEqual(["vm-0"]);
  vms[0]!.reach = () => "answers";
  limitEndpoints(vms, 0.3);
  await send(vms, 3_000);
  expect(lostAt(vms)).toEqual([]);
});

test("No VM takes its links for lost where limits leave no permits and endpoints answer nobody", async () => {
  const vms = createVms(4);
  limitEndpoints(vms, 0);
  for (const vm of vms) vm.reach = () => "hangs";
  await send(vms, 3_000);
  expect(lostAt(vms)).toEqual([]);
});

test("No VM takes its links for lost where limits leave no permits and one endpoint hangs for it", async () => {
  const vms = createVms(4);
  limitEndpoints(vms, 0);
  vms[0]!.reach = ({ id }) => id === "a" ? "hangs" : "answers";
  await send(vms, 3_000);
  expect(lostAt(vms)).toEqual([]);
});

test("Requests alone don't show a loss where endpoints can be checked", async () => {
  const vms = createVms(4);
  for (const vm of vms) vm.takesPermit = () => false;
  vms[0]!.reach = () => "hangs";
  await send(vms, 2_500);
  expect(lostAt(vms)).toEqual([]);
});

test("A VM of the previous build, which doesn't name the endpoints that answered, shows no loss", async () => {
  const vms = createVms(2);
  limitEndpoints(vms, 0);
  const links = vms[1]!.monitor.handlers["routing/check-links"];
  vms[1]!.monitor.handlers["routing/check-links"] = (
    { failedAgoMs: _unknown, ...params },
  ) => links(params);
  vms[0]!.reach = () => "hangs";
  await send(vms, 2_500);
  expect(lostAt(vms)).toEqual([]);
});
