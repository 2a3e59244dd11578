/** VMs in one process whose views follow their connections with a delay, for tests of quotas. */
import { err, ok } from "neverthrow";
import { vi } from "vitest";
import { asId, type VmId, type WorkspaceId } from "../../../common/ids.ts";
import { SILENT_OBSERVER } from "../../../common/observe.ts";
import { wait } from "../../../common/wait.ts";
import { HomeRanking } from "../../../membership/queries/home.ts";
import type {
  Member,
  ViewListener,
  VmIdentity,
  VmState,
} from "../../../membership/types.ts";
import type { PeerPort } from "../../../ports/peers.ts";
import type { RoutingTable } from "../../../routing/types.ts";
import type {
  RoutingWorkspace,
  WorkspaceQuota,
} from "../../../routing/workspaces/types.ts";
import { CreditTask } from "../task.ts";
import type { CreditHandlers } from "../types.ts";

/** Window of the bound. */
export const WINDOW_MS = 8_000;
const STEP_MS = 10;
const PROBE_MS = 1_000;
const MESSAGE_MS = 1;
/** Time within which VMs that reach each other suspect one that they don't reach. */
const SUSPICION_MS = { least: 700, most: 2_500 };
/** The same for a VM that reaches no other one: it finds one after the other. */
const LONE_SUSPICION_MS = 500;
/** Time within which VMs learn of one that starts or stops as planned. */
const NOTICE_MS = 1_000;
/** Time after which VMs that can reach each other again know it. */
const REUNION_MS = 500;
const SLACK_TOKENS = 190_000;

/** A request that an endpoint ran. */
interface Run {
  readonly atMs: number;
  readonly cost: number;
}

/** A call of a peer method. */
interface Message {
  readonly peer: VmId;
  readonly method: keyof CreditHandlers;
  readonly params: never;
}

/** What became of the requests of one workspace. */
export interface Tally {
  readonly runs: Run[];
  offered: number;
  offeredCost: number;
  refused: number;
  /** Requests that a single token bucket for all VMs would have refused. */
  overQuota: number;
  readonly reference: { level: number; atMs: number };
  cancelled: number;
  readonly retryAfterMs: number[];
}

/** One VM of the world. */
export interface WorldVm {
  readonly id: VmId;
  readonly identity: VmIdentity;
  readonly task: CreditTask;
  readonly listeners: Set<ViewListener>;
  /** When another VM was lost or found again, and which of both. */
  readonly changes: Map<VmId, { lost: boolean; atMs: number; delayMs: number }>;
  readonly counts: Map<string, number>;
  group: number;
  /** Whether it doesn't know the peer methods of quotas. */
  isOld: boolean;
  isLeaving: boolean;
  frozen: Promise<void> | null;
  thaw: () => void;
  view: string;
  members: Member[];
  ranking: HomeRanking;
}

/** Requests of one workspace: how many per second, and what they cost. */
export interface Load {
  readonly workspace: RoutingWorkspace;
  readonly perSecond: number;
  readonly tokens: (random: () => number) => number;
  /** VMs that receive them; all by default. */
  readonly vms?: readonly WorldVm[];
  readonly waitMs?: number;
  /** Share of the requests that are refused later without having run. */
  readonly notRunShare?: number;
}

/** Creates a workspace with a quota in tokens. */
export function workspaceOf(
  id: string,
  quota: Partial<WorkspaceQuota> = {},
): RoutingWorkspace {
  const perSecond = quota.perSecond ?? 50_000;
  return {
    id: asId(id),
    keyDigests: [],
    priority: null,
    quota: {
      unit: "tokens",
      perSecond,
      burst: perSecond,
      plainTokens: 200,
      ...quota,
    },
  };
}

/** Returns a generator of numbers in [0, 1) that repeats for the same seed. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** VMs, their messages and their views; requests count as run when they are admitted. */
export class CreditWorld {
  readonly vms: WorldVm[] = [];
  readonly tallies = new Map<WorkspaceId, Tally>();
  readonly random: () => number;
  messages = 0;
  /** Share of the messages that are lost. */
  lossShare = 0;
  #workspaces: readonly RoutingWorkspace[];
  #version = 1;
  #starts = 0;
  /** Who reaches whom, and until when views may still follow it. */
  #connections = "";
  #changingUntilMs = 0;
  #rankings = new Map<string, HomeRanking>();

  constructor(
    count: number,
    { workspaces, seed = 1 }: {
      workspaces: readonly RoutingWorkspace[];
      seed?: number;
    },
  ) {
    this.random = seededRandom(seed);
    this.#workspaces = workspaces;
    for (let index = 0; index < count; index += 1) {
      this.vms.push(this.#create(asId(`vm-${index}`)));
    }
    for (const vm of this.vms) this.#start(vm);
  }

  /** The VM that is home of a workspace in the view of the first VM. */
  homeOf({ id }: RoutingWorkspace): WorldVm {
    const home = this.vms[0]!.ranking.homeOf(`credit/${id}`)!;
    return this.vms.find((vm) => vm.id === home.id)!;
  }

  /** Assigns VMs to groups that can't reach each other. */
  divide(groupOf: (vm: WorldVm, index: number) => number): void {
    this.vms.forEach((vm, index) => (vm.group = groupOf(vm, index)));
  }

  /** Lets a VM stand still. */
  freeze(vm: WorldVm): void {
    vm.frozen = new Promise((resolve) => {
      vm.thaw = () => {
        vm.frozen = null;
        resolve();
        vm.task.noteStall();
      };
    });
  }

  /** Ends a VM at once, and starts it again under the same id. */
  restart(vm: WorldVm): void {
    vm.task.stop();
    const index = this.vms.indexOf(vm);
    const next = this.#create(vm.id);
    next.group = vm.group;
    this.vms[index] = next;
    this.#start(next);
  }

  /** Starts a further VM, which the others learn of within a second. */
  join(id: string): WorldVm {
    const vm = this.#create(asId(id));
    const atMs = performance.now();
    for (const other of this.vms) {
      const delayMs = NOTICE_MS * this.random();
      other.changes.set(vm.id, { lost: false, atMs, delayMs });
    }
    this.vms.push(vm);
    this.#start(vm);
    return vm;
  }

  /** Lets a VM announce that it stops; it takes no further requests. */
  leave(vm: WorldVm): void {
    vm.isLeaving = true;
  }

  /** Activates new quotas at some or all VMs. */
  setWorkspaces(
    workspaces: readonly RoutingWorkspace[],
    vms: readonly WorldVm[] = this.vms,
  ): void {
    this.#workspaces = workspaces;
    this.#version += 1;
    for (const vm of vms) vm.task.setTable(this.#table());
  }

  /** Sends requests for some time. */
  async run(durationMs: number, loads: readonly Load[]): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      this.#updateViews();
      for (const load of loads) this.#offer(load);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  /** What became of a workspace's requests. */
  tally({ id }: RoutingWorkspace): Tally {
    const tally = this.tallies.get(id) ?? {
      runs: [],
      offered: 0,
      offeredCost: 0,
      refused: 0,
      overQuota: 0,
      reference: { level: Infinity, atMs: performance.now() },
      cancelled: 0,
      retryAfterMs: [],
    };
    this.tallies.set(id, tally);
    return tally;
  }

  /** Cost of the requests that were run after `sinceMs`. */
  costSince(workspace: RoutingWorkspace, sinceMs: number): number {
    return this.tally(workspace).runs
      .filter(({ atMs }) => atMs >= sinceMs)
      .reduce((sum, { cost }) => sum + cost, 0);
  }

  /** The highest cost in a window after `sinceMs`, relative to the bound. */
  worstWindow(workspace: RoutingWorkspace, sinceMs = -Infinity): number {
    const runs = this.tally(workspace).runs.filter(({ atMs }) =>
      atMs >= sinceMs
    );
    let first = 0;
    let sum = 0;
    let worst = 0;
    for (const { atMs, cost } of runs) {
      sum += cost;
      while (runs[first]!.atMs <= atMs - WINDOW_MS) {
        sum -= runs[first]!.cost;
        first += 1;
      }
      worst = Math.max(worst, sum);
    }
    return worst / boundOf(workspace);
  }

  /** The highest cost of any workspace in a window, relative to its bound. */
  worstOf(workspaces: readonly RoutingWorkspace[], sinceMs?: number): number {
    return Math.max(
      ...workspaces.map((each) => this.worstWindow(each, sinceMs)),
    );
  }

  /** Sum of a counter over all VMs. */
  count(reason: string): number {
    return this.vms.reduce(
      (sum, { counts }) => sum + (counts.get(reason) ?? 0),
      0,
    );
  }

  #create(id: VmId): WorldVm {
    this.#starts += 1;
    const identity = {
      id,
      region: "r",
      incarnation: `${id}-${this.#starts}`,
    } as unknown as VmIdentity;
    const listeners = new Set<ViewListener>();
    const counts = new Map<string, number>();
    const vm: WorldVm = {
      id,
      identity,
      listeners,
      counts,
      changes: new Map(),
      group: 0,
      isOld: false,
      isLeaving: false,
      frozen: null,
      thaw() {},
      view: "",
      members: [],
      ranking: new HomeRanking([]),
      task: new CreditTask({
        membership: {
          self: identity,
          members: () => vm.members,
          homeOf: (key) => vm.ranking.homeOf(key) ?? vm.members[0]!,
          onChange: (listener) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
          },
        },
        peers: {
          call: (
            peer: { id: VmId },
            method: keyof CreditHandlers,
            options: { params: never; timeoutMs: number },
          ) => this.#call(vm, { peer: peer.id, method, ...options }),
        } as unknown as PeerPort,
        observer: {
          ...SILENT_OBSERVER,
          count: (_counter, reason) =>
            void counts.set(reason, (counts.get(reason) ?? 0) + 1),
        },
      }),
    };
    return vm;
  }

  #start(vm: WorldVm): void {
    this.#updateView(vm);
    vm.task.setTable(this.#table());
    const probe = setInterval(() => {
      if (!this.vms.includes(vm)) return clearInterval(probe);
      const other = this.vms[Math.floor(this.random() * this.vms.length)]!;
      const isReached = other !== vm && !other.frozen &&
        other.group === vm.group;
      if (!vm.frozen && isReached) vm.task.noteContact();
    }, PROBE_MS);
  }

  async #call(
    from: WorldVm,
    { timeoutMs, ...message }: Message & { timeoutMs: number },
  ) {
    this.messages += 1;
    const timeout = wait(timeoutMs).then(() =>
      err({ kind: "timeout" as const })
    );
    return await Promise.race([timeout, this.#deliver(from, message)]);
  }

  async #deliver(
    from: WorldVm,
    { peer, method, params }: Message,
  ) {
    const never = new Promise<never>(() => {});
    const isLost = () => this.random() < this.lossShare;
    await wait(MESSAGE_MS);
    const vm = this.vms.find(({ id }) => id === peer);
    if (!vm || vm.group !== from.group || isLost()) return await never;
    while (vm.frozen) await vm.frozen;
    if (!this.vms.includes(vm)) return await never;
    if (vm.isOld) return err({ kind: "refused" as const, message: "unknown" });
    const result = vm.task.handlers[method](structuredClone(params));
    await wait(MESSAGE_MS);
    while (from.frozen) await from.frozen;
    return vm.group !== from.group || isLost() ? await never : ok(result);
  }

  #offer(load: Load): void {
    const { perSecond, vms = this.vms } = load;
    const expected = perSecond * STEP_MS / 1_000;
    const count = Math.floor(expected) +
      (this.random() < expected % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) {
      const vm = vms[Math.floor(this.random() * vms.length)]!;
      if (!vm.frozen && !vm.isLeaving) void this.#request(vm, load);
    }
  }

  async #request(
    vm: WorldVm,
    { workspace, tokens, waitMs = 100, notRunShare = 0 }: Load,
  ): Promise<void> {
    const tally = this.tally(workspace);
    const cost = workspace.quota?.unit === "requests" ? 1 : tokens(this.random);
    tally.offered += 1;
    tally.offeredCost += cost;
    if (!takeReference(tally, workspace, cost)) tally.overQuota += 1;
    const current = this.#workspaces.find(({ id }) => id === workspace.id);
    const admitted = await vm.task.admit({
      workspace: current ?? workspace,
      tokens: cost,
      waitMs,
      signal: new AbortController().signal,
    });
    if (admitted.isErr()) {
      tally.refused += 1;
      tally.retryAfterMs.push(admitted.error.retryAfterMs);
    } else if (this.random() < notRunShare) {
      tally.cancelled += 1;
      setTimeout(() => admitted.value.giveBack(), 50);
    } else tally.runs.push({ atMs: performance.now(), cost });
  }

  #table(): RoutingTable {
    return {
      version: this.#version,
      workspaces: this.#workspaces,
    } as unknown as RoutingTable;
  }

  #updateViews(): void {
    const connections = this.vms
      .map(({ identity, group, frozen, isLeaving }) =>
        `${identity.incarnation} ${group} ${frozen !== null} ${isLeaving}`
      ).join();
    const nowMs = performance.now();
    if (connections !== this.#connections) {
      this.#connections = connections;
      this.#changingUntilMs = nowMs +
        Math.max(SUSPICION_MS.most, this.vms.length * LONE_SUSPICION_MS);
    }
    if (nowMs > this.#changingUntilMs) return;
    for (const vm of this.vms) {
      this.#noteChanges(vm);
      if (!vm.frozen) this.#updateView(vm);
    }
  }

  #noteChanges(vm: WorldVm): void {
    const nowMs = performance.now();
    const { least, most } = SUSPICION_MS;
    const isLone = !this.vms.some((other) =>
      other !== vm && other.group === vm.group && !other.frozen
    );
    let delayMs = 0;
    for (const other of this.vms) {
      if (other === vm) continue;
      const lost = other.group !== vm.group || other.frozen !== null ||
        other.isLeaving;
      const before = vm.changes.get(other.id);
      if ((before?.lost ?? false) === lost) continue;
      delayMs = !lost
        ? REUNION_MS
        : other.isLeaving
        ? NOTICE_MS * this.random()
        : isLone
        ? delayMs + LONE_SUSPICION_MS
        : least + this.random() * (most - least);
      vm.changes.set(other.id, { lost, atMs: nowMs, delayMs });
    }
  }

  #updateView(vm: WorldVm): void {
    const nowMs = performance.now();
    const members = this.vms.map(({ id }) => {
      const change = vm.changes.get(id);
      const isKnown = change && nowMs - change.atMs >= change.delayMs;
      const isLost = change && isKnown === change.lost ||
        id === vm.id && vm.isLeaving;
      const state: VmState = isLost ? "suspected" : "live";
      return { id, region: "r", state } as unknown as Member;
    });
    const view = members.map(({ state }) => state === "live" ? 1 : 0).join("");
    if (view === vm.view) return;
    vm.view = view;
    vm.members = members;
    const ranking = this.#rankings.get(view) ??
      new HomeRanking(members.filter(({ state }) => state === "live"));
    this.#rankings.set(view, ranking);
    vm.ranking = ranking;
    for (const listener of vm.listeners) listener(members);
  }
}

function takeReference(
  { reference }: Tally,
  { quota }: RoutingWorkspace,
  cost: number,
): boolean {
  const { perSecond, burst } = quota!;
  const nowMs = performance.now();
  const earned = (nowMs - reference.atMs) / 1_000 * perSecond;
  reference.level = Math.min(burst, reference.level + earned);
  reference.atMs = nowMs;
  if (reference.level < cost) return false;
  reference.level -= cost;
  return true;
}

function boundOf({ quota }: RoutingWorkspace): number {
  const { unit, perSecond, burst } = quota!;
  const tokens = unit === "tokens" ? SLACK_TOKENS : 0;
  return (perSecond * WINDOW_MS / 1_000 + burst) * 1.1 + tokens;
}
