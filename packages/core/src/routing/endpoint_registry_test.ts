import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../common/observe.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import { entry, SERVICE } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function idsOf(book: EndpointRegistry): string[] {
  return book.usable(SERVICE, null).map((record) => record.entry.id).sort();
}

test("A draining endpoint takes no work, and a late entry doesn't bring it back", () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  book.replace([entry("a"), entry("b")]);
  book.apply({ id: entry("a").id, entry: entry("a", { state: "draining" }) });
  expect(idsOf(book)).toEqual(["b"]);
  book.apply({ id: entry("a").id, entry: entry("a") });
  expect(idsOf(book)).toEqual(["b"]);
  // Another start under the same id is another endpoint.
  book.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 2 }) });
  expect(idsOf(book)).toEqual(["a", "b"]);
});

test("An endpoint that was ordered to change its stage takes no work until it has", async () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  const engine = (stage: "prefill" | "decode") => entry("e", { stage });
  const usable = () => [
    ...book.usable(SERVICE, "prefill"),
    ...book.usable(SERVICE, "decode"),
  ];
  book.replace([engine("decode")]);
  const { id } = engine("decode");
  book.get(id)!.noteStageOrder(performance.now() + 8_000);
  expect(usable()).toEqual([]);
  await vi.advanceTimersByTimeAsync(6_000);
  expect(usable()).toEqual([]);
  book.apply({ id, entry: engine("prefill") });
  expect(usable().map((one) => one.entry.stage)).toEqual(["prefill"]);
});

test("An address belongs to the endpoint that started there last", () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  const address = "10.0.0.7:1";
  book.replace([entry("old", { address }), entry("b")]);
  const newer = entry("new", { address, bornAtMs: 9 });
  book.apply({ id: newer.id, entry: newer });
  expect(idsOf(book)).toEqual(["b", "new"]);
  // A late word of the one before, which can't be there any more.
  book.apply({ id: entry("old").id, entry: entry("old", { address }) });
  expect(idsOf(book)).toEqual(["b", "new"]);
});

test("An older start doesn't replace a newer one", () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  book.replace([entry("a", { bornAtMs: 5, address: "10.0.0.5:1" })]);
  book.apply({ id: entry("a").id, entry: entry("a", { bornAtMs: 4 }) });
  expect(book.get(entry("a").id)?.entry.address).toBe("10.0.0.5:1");
});

test("A missing endpoint is gone at once while the directory can be read", () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  book.replace([entry("a"), entry("b")]);
  book.apply({ id: entry("a").id, entry: null });
  expect(idsOf(book)).toEqual(["b"]);
});

test("What lapsed while the directory was away is kept for a while after its return", async () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  book.replace([entry("a"), entry("b")]);
  book.setDirectoryReachable(false);
  expect(idsOf(book)).toEqual(["a", "b"]);
  book.setDirectoryReachable(true);
  book.replace([entry("b")]);
  expect(idsOf(book)).toEqual(["a", "b"]);
  await vi.advanceTimersByTimeAsync(1_900);
  expect(idsOf(book)).toEqual(["a", "b"]);
  await vi.advanceTimersByTimeAsync(400);
  expect(idsOf(book)).toEqual(["b"]);
});

test("An entry that came back in time stays", async () => {
  const book = new EndpointRegistry(SILENT_OBSERVER);
  book.replace([entry("a")]);
  book.setDirectoryReachable(false);
  book.setDirectoryReachable(true);
  book.replace([]);
  book.apply({ id: entry("a").id, entry: entry("a") });
  await vi.advanceTimersByTimeAsync(5_000);
  expect(idsOf(book)).toEqual(["a"]);
});
