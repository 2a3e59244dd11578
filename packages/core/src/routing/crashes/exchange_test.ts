import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import type { Member, VmIdentity } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import { entry, request } from "../testing/fake_endpoints.ts";
import type { RoutedRequest } from "../types.ts";
import { CrashExchange, type CrashHandlers } from "./exchange.ts";
import { CrashTracker } from "./tracker.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const PROBE_INTERVAL_MS = 1_000;
const CONTACT_MS = 3_000;
let requestCount = 0;
const POISON = request({ target: "/a/poison" });

/** VMs whose calls may be lost; each probes one random VM in every interval. */
class Vms {
  readonly trackers = new Map<string, CrashTracker>();
  readonly exchanges = new Map<string, CrashExchange>();
  readonly down = new Set<string>();
  calls = 0;
  #members: Member[] = [];
  #seed = 1;

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) this.add(`vm-${index}`);
    setInterval(() => this.#probe(), PROBE_INTERVAL_MS);
  }

  add(id: string): void {
    this.#members.push({ id, state: "live" } as unknown as Member);
    const exchange = new CrashExchange({
      membership: {
        self: { id } as unknown as VmIdentity,
        members: () => this.#members,
        homeOf: () => this.#members[0]!,
      },
      peers: { call: this.#call(id) } as unknown as PeerPort,
      observer: SILENT_OBSERVER,
      random: this.#random,
      tracker: () => this.trackers.get(id)!,
    });
    this.exchanges.set(id, exchange);
    this.trackers.set(
      id,
      new CrashTracker({
        onChange: (change) => exchange.announce(change),
        claimTrial: (...claim) => exchange.claimTrial(...claim),
      }),
    );
  }

  quarantined(): number {
    return [...this.trackers.values()]
      .filter((tracker) => tracker.refusalOf(POISON) !== null).length;
  }

  #random = () => {
    this.#seed = this.#seed * 16_807 % 2_147_483_647;
    return this.#seed / 2_147_483_647;
  };

  #call(from: string) {
    return (
      { id }: { id: string },
      method: keyof CrashHandlers,
      { params }: { params: never },
    ) => {
      this.calls += 1;
      if (this.down.has(id) || this.down.has(from)) {
        return Promise.resolve(err({ kind: "timeout" }));
      }
      const copy = JSON.parse(JSON.stringify(params)) as never;
      return Promise.resolve(
        ok(this.exchanges.get(id)!.handlers[method](copy)),
      );
    };
  }

  #probe(): void {
    for (const { id } of this.#members) {
      const peer = this.#members[
        Math.floor(this.#random() * this.#members.length)
      ]!;
      if (this.down.has(id) || this.down.has(peer.id)) continue;
      const { hash } = this.trackers.get(peer.id)!.evidence;
      void this.exchanges.get(id)!.compare(peer, hash);
    }
  }
}

/** A request like no other, whose prompt has the given parts before its own. */
function promptWith(parts: readonly string[]): RoutedRequest {
  requestCount += 1;
  const own = `own-${requestCount}`;
  return request({
    target: `/a/${own}`,
    prompt: {
      model: "m",
      promptTokens: 100,
      maxOutputTokens: 10,
      expectedOutputTokens: null,
      parts: [...parts, own].map((id) => ({ id, tokens: 10 })),
    },
  });
}

/** Three VMs each see one crash. */
function crashAtThree(vms: Vms): void {
  for (const index of [0, 1, 2]) {
    const tracker = vms.trackers.get(`vm-${index}`)!;
    tracker.noteLost(POISON, entry(`engine-${index}`));
    tracker.noteEnd(entry(`engine-${index}`));
  }
}

test("Crashes that different VMs saw reach 400 VMs within the time to contact, at a bounded number of calls", async () => {
  const vms = new Vms(400);
  crashAtThree(vms);
  await vi.advanceTimersByTimeAsync(CONTACT_MS);
  expect(vms.quarantined()).toBe(400);
  expect(vms.calls / 400).toBeLessThan(40);
});

test("A first part that is alone in the crashes of one VM is spared at all once another VM has noted their cause", async () => {
  const vms = new Vms(7);
  const engines = [1, 2, 3, 4].map((index) => entry(`engine-${index}`));
  const noteCrashes = (vm: string, parts: readonly string[]) => {
    for (const engine of engines) {
      const tracker = vms.trackers.get(vm)!;
      tracker.noteLost(promptWith(parts), engine);
      tracker.noteEnd(engine);
    }
  };
  noteCrashes("vm-4", ["first"]);
  await vi.advanceTimersByTimeAsync(15);
  noteCrashes("vm-1", ["first", "bad"]);
  await vi.advanceTimersByTimeAsync(60);
  for (const tracker of vms.trackers.values()) {
    expect(tracker.refusalOf(promptWith(["first"]))).toBeNull();
    expect(tracker.refusalOf(promptWith(["first", "bad"]))).not.toBeNull();
  }
});

test("VMs that were cut off, and VMs that start later, learn of crashes within the time to contact", async () => {
  const vms = new Vms(30);
  for (let index = 20; index < 30; index += 1) vms.down.add(`vm-${index}`);
  crashAtThree(vms);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(vms.quarantined()).toBe(20);
  vms.down.clear();
  vms.add("late");
  await vi.advanceTimersByTimeAsync(CONTACT_MS);
  expect(vms.quarantined()).toBe(31);
});

test("An answer at one VM ends the quarantine at all", async () => {
  const vms = new Vms(30);
  crashAtThree(vms);
  await vi.advanceTimersByTimeAsync(CONTACT_MS);
  vms.trackers.get("vm-9")!.noteAnswered(POISON);
  await vi.advanceTimersByTimeAsync(CONTACT_MS);
  expect(vms.quarantined()).toBe(0);
});

test("All VMs together send one request as a trial", async () => {
  const vms = new Vms(9);
  crashAtThree(vms);
  await vi.advanceTimersByTimeAsync(10_000);
  const verdicts = await Promise.all(
    [...vms.trackers.values()].map((tracker) => tracker.admit(POISON)),
  );
  expect(verdicts.filter((verdict) => verdict === "trial")).toHaveLength(1);
});

test("No trial takes place while its home doesn't answer", async () => {
  const vms = new Vms(9);
  crashAtThree(vms);
  await vi.advanceTimersByTimeAsync(10_000);
  vms.down.add("vm-0");
  const verdict = await vms.trackers.get("vm-1")!.admit(POISON);
  expect(verdict).toMatchObject({ reason: "quarantined" });
});
