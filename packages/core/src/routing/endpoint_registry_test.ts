import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type ServiceName } from "../common/ids.ts";
import { SILENT_OBSERVER } from "../common/observe.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import { entry, SERVICE } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function idsOf(registry: EndpointRegistry): string[] {
  return registry.usable(SERVICE, null).map((record) => record.entry.id).sort();
}

test("A draining endpoint gets no work, and an outdated entry doesn't restore it", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("b")]);
  registry.apply({
    id: entry("a").id,
    entry: entry("a", { state: "draining" }),
  });
  expect(idsOf(registry)).toEqual(["b"]);
  registry.apply({ id: entry("a").id, entry: entry("a") });
  expect(idsOf(registry)).toEqual(["b"]);
  // A restart under the same id is a new incarnation.
  registry.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 2 }) });
  expect(idsOf(registry)).toEqual(["a", "b"]);
});

test("An endpoint that was ordered to change its stage gets no work until it has changed", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  const engine = (stage: "prefill" | "decode") => entry("e", { stage });
  const usable = () => [
    ...registry.usable(SERVICE, "prefill"),
    ...registry.usable(SERVICE, "decode"),
  ];
  registry.replace([engine("decode")]);
  const { id } = engine("decode");
  registry.get(id)!.noteStageOrder(performance.now() + 8_000);
  expect(usable()).toEqual([]);
  await vi.advanceTimersByTimeAsync(6_000);
  expect(usable()).toEqual([]);
  registry.apply({ id, entry: engine("prefill") });
  expect(usable().map((record) => record.entry.stage)).toEqual(["prefill"]);
});

test("An address belongs to the endpoint that started on it last", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  const address = "10.0.0.7:1";
  registry.replace([entry("old", { address }), entry("b")]);
  const newer = entry("new", { address, bornAtMs: 9 });
  registry.apply({ id: newer.id, entry: newer });
  expect(idsOf(registry)).toEqual(["b", "new"]);
  // An outdated entry of the previous endpoint, which can't be running there now.
  registry.apply({ id: entry("old").id, entry: entry("old", { address }) });
  expect(idsOf(registry)).toEqual(["b", "new"]);
});

test("An entry of an older incarnation doesn't replace a newer one", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a", { bornAtMs: 5, address: "10.0.0.5:1" })]);
  registry.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 4 }) });
  expect(registry.get(entry("a").id)?.entry.address).toBe("10.0.0.5:1");
});

test("A missing endpoint is removed at once while the directory is reachable", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("b")]);
  registry.apply({ id: entry("a").id, entry: null });
  expect(idsOf(registry)).toEqual(["b"]);
});

/** The directory is read again, after a read that failed so long before. */
function regain(registry: EndpointRegistry, failedForMs = 300): void {
  registry.noteDirectoryRegained({
    waitedSinceMs: performance.now() - 6_000,
    failedAtMs: performance.now() - failedForMs,
  });
}

test("Entries that expired while the directory was unreachable are kept for a while after it recovers", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("b")]);
  expect(idsOf(registry)).toEqual(["a", "b"]);
  regain(registry);
  registry.replace([entry("b")]);
  expect(idsOf(registry)).toEqual(["a", "b"]);
  await vi.advanceTimersByTimeAsync(1_900);
  expect(idsOf(registry)).toEqual(["a", "b"]);
  await vi.advanceTimersByTimeAsync(400);
  expect(idsOf(registry)).toEqual(["b"]);
});

test("An entry that is rewritten in time is kept", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a")]);
  regain(registry);
  registry.replace([]);
  registry.apply({ id: entry("a").id, entry: entry("a") });
  await vi.advanceTimersByTimeAsync(5_000);
  expect(idsOf(registry)).toEqual(["a"]);
});

test("An endpoint that says that it leaves gets no work, whatever its entry says, until it starts again", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("b")]);
  registry.noteLeaving(entry("a"));
  expect(idsOf(registry)).toEqual(["b"]);
  registry.apply({ id: entry("a").id, entry: entry("a") });
  expect(idsOf(registry)).toEqual(["b"]);
  registry.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 2 }) });
  // A late answer of the start before.
  registry.noteLeaving(entry("a"));
  expect(idsOf(registry)).toEqual(["a", "b"]);
  registry.noteLeaving(entry("b", { bornAtMs: 0 }));
  expect(idsOf(registry)).toEqual(["a", "b"]);
});

/** The directory comes back from a copy, which lists `copied`. */
function returnTo(registry: EndpointRegistry, ...copied: string[]): void {
  registry.noteDirectoryReturn();
  registry.replace(copied.map((id) => entry(id)));
}

test("An endpoint that was gone gets no work because a copy of the directory lists it", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("gone")]);
  registry.apply({ id: entry("gone").id, entry: null });
  returnTo(registry, "a", "gone");
  expect(idsOf(registry)).toEqual(["a"]);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(idsOf(registry)).toEqual(["a"]);
  registry.apply({ id: entry("gone").id, entry: null });
  await vi.advanceTimersByTimeAsync(3_000);
  expect(idsOf(registry)).toEqual(["a"]);
});

test("An endpoint that was thought gone gets work again when it writes its entry after a return", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("back")]);
  registry.apply({ id: entry("back").id, entry: null });
  returnTo(registry, "a", "back");
  registry.apply({ id: entry("back").id, entry: entry("back") });
  expect(idsOf(registry)).toEqual(["a", "back"]);
});

test("An endpoint that is still listed when its entry would have expired gets work again", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("back")]);
  registry.apply({ id: entry("back").id, entry: null });
  returnTo(registry, "a", "back");
  await vi.advanceTimersByTimeAsync(5_000);
  expect(idsOf(registry)).toEqual(["a", "back"]);
});

test("An endpoint that a copy of the directory lacks is kept until it can have written its entry again", async () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("newer"), entry("gone")]);
  returnTo(registry, "a");
  await vi.advanceTimersByTimeAsync(1_500);
  expect(idsOf(registry)).toEqual(["a", "gone", "newer"]);
  registry.apply({ id: entry("newer").id, entry: entry("newer") });
  await vi.advanceTimersByTimeAsync(1_500);
  expect(idsOf(registry)).toEqual(["a", "newer"]);
});

test("An endpoint that drained before the directory came back from a copy gets no work", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a"), entry("b")]);
  registry.apply({
    id: entry("b").id,
    entry: entry("b", { state: "draining" }),
  });
  returnTo(registry, "a", "b");
  expect(idsOf(registry)).toEqual(["a"]);
});

/** A registry where entries of other services than `SERVICE` aren't usable. */
function createStrict(
  isUsable: (service: string) => boolean = (service) => service === SERVICE,
): EndpointRegistry {
  return new EndpointRegistry(SILENT_OBSERVER, () => {}, {
    isUsable: ({ service }) => isUsable(service),
  });
}

const FOREIGN = { service: asId<ServiceName>("node-metrics"), bornAtMs: 99 };

/** Guards against entries of another writer that take endpoints out of use. */
test("An entry without a service of the configuration takes no address, by whatever message it comes", () => {
  const registry = createStrict();
  const { id, address } = entry("a");
  const agent = entry("agent", { ...FOREIGN, address });
  registry.replace([agent, entry("a")]);
  expect(idsOf(registry)).toEqual(["a"]);
  const record = registry.get(id);
  registry.apply({ id: agent.id, entry: agent });
  registry.apply({ id, entry: entry("a", { slots: 7 }) });
  expect(idsOf(registry)).toEqual(["a"]);
  expect(registry.get(id)).toBe(record);
  registry.replace([entry("a"), agent]);
  expect(idsOf(registry)).toEqual(["a"]);
});

test("An entry that offers no work takes no address of an older endpoint", () => {
  const registry = createStrict();
  const { address } = entry("a");
  registry.replace([entry("a")]);
  const drained = entry("d", { address, state: "draining", bornAtMs: 9 });
  registry.apply({ id: drained.id, entry: drained });
  expect(idsOf(registry)).toEqual(["a"]);
});

test("An address is settled once the services of the configuration are known", () => {
  let isKnown = false;
  const registry = createStrict((service) => isKnown && service === SERVICE);
  const { address } = entry("a");
  registry.replace([
    entry("a"),
    entry("agent", { ...FOREIGN, address }),
    entry("new", { address, bornAtMs: 5 }),
  ]);
  isKnown = true;
  registry.noteServices();
  expect(idsOf(registry)).toEqual(["new"]);
});

test("An endpoint is used again when the one that took its address is gone", () => {
  const registry = createStrict();
  const { address } = entry("a");
  const newer = entry("new", { address, bornAtMs: 9 });
  registry.replace([entry("a"), newer]);
  expect(idsOf(registry)).toEqual(["new"]);
  registry.apply({ id: newer.id, entry: null });
  expect(idsOf(registry)).toEqual(["a"]);
});

test("A removed entry whose address another endpoint took doesn't return", () => {
  const registry = createStrict();
  const { id, address } = entry("a");
  const newer = entry("new", { address, bornAtMs: 9 });
  registry.replace([entry("a"), newer]);
  registry.apply({ id, entry: null });
  registry.apply({ id: newer.id, entry: null });
  expect(idsOf(registry)).toEqual([]);
});

test("An endpoint's own entry replaces one of another writer under its id with a later start", () => {
  const registry = createStrict();
  const { id } = entry("a");
  registry.replace([entry("a")]);
  registry.apply({ id, entry: entry("a", FOREIGN) });
  expect(idsOf(registry)).toEqual([]);
  registry.apply({ id, entry: entry("a") });
  expect(idsOf(registry)).toEqual(["a"]);
});

// Guards against work for an endpoint by the entry of its previous start.
test("An endpoint that answers with a later start gets no work until the directory has its new entry", () => {
  const ended: string[] = [];
  const registry = new EndpointRegistry(
    SILENT_OBSERVER,
    ({ id, bornAtMs }) => ended.push(`${id} ${bornAtMs}`),
  );
  registry.replace([entry("a", { bornAtMs: 5 }), entry("b")]);
  const record = registry.get(entry("a").id)!;
  registry.noteRestarted(record.entry, { bornAtMs: 4 });
  expect(idsOf(registry)).toEqual(["a", "b"]);
  registry.noteRestarted(record.entry, { bornAtMs: 6 });
  registry.noteRestarted(record.entry, { bornAtMs: 6 });
  expect(ended).toEqual(["a 5"]);
  expect(idsOf(registry)).toEqual(["b"]);
  // A whole read of the directory may still have the entry.
  registry.replace([entry("a", { bornAtMs: 5 }), entry("b")]);
  expect(idsOf(registry)).toEqual(["b"]);
  const restarted = entry("a", { bornAtMs: 6 });
  registry.apply({ id: restarted.id, entry: restarted });
  expect(idsOf(registry)).toEqual(["a", "b"]);
});

test("The record of a start that another one follows takes no more work", () => {
  const registry = new EndpointRegistry(SILENT_OBSERVER);
  registry.replace([entry("a")]);
  const record = registry.get(entry("a").id)!;
  registry.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 2 }) });
  expect(record.mayTakeWork(performance.now())).toBe(false);
  expect(idsOf(registry)).toEqual(["a"]);
});
