import { expect, test } from "vitest";
import { EndpointSchema } from "../../configuration/types.ts";
import { asId } from "../../common/ids.ts";
import { chooseShards, planShards, SHARD_REPLICAS } from "./choose_shard.ts";

function pool(prefills: number, decodes: number, dataCentres: string[]) {
  const create = (kind: string, at: number) =>
    EndpointSchema.parse({
      id: `${kind}-${at}`,
      kind,
      address: `${kind}-${at}`,
      dataCentre: dataCentres[at % dataCentres.length],
      model: "m",
    });
  return [
    ...Array.from({ length: prefills }, (_, at) => create("prefill", at)),
    ...Array.from({ length: decodes }, (_, at) => create("decode", at)),
  ];
}

const MODEL = asId<never>("m");

test("A small pool is one shard, though one data centre lacks a prefill replica", () => {
  const shards = planShards(pool(2, 10, ["a", "b", "c"]), { model: MODEL });
  expect(shards.map((one) => [one.prefills.length, one.decodes.length]))
    .toEqual([[2, 10]]);
});

test("A large pool is cut inside its data centres, every shard with both roles", () => {
  const endpoints = pool(16, 48, ["a", "b"]);
  const shards = planShards(endpoints, { model: MODEL });
  expect(shards).toHaveLength(4);
  for (const { prefills, decodes } of shards) {
    expect(prefills.length + decodes.length).toBeLessThanOrEqual(
      SHARD_REPLICAS,
    );
    expect(prefills.length).toBeGreaterThan(0);
    const places = [...prefills, ...decodes].map((one) => one.dataCentre);
    expect(new Set(places).size).toBe(1);
  }
});

test("An owner asks the shards of its own data centre first", () => {
  const endpoints = pool(16, 48, ["a", "b"]);
  const order = chooseShards(endpoints, {
    model: MODEL,
    dataCentre: asId("b"),
    key: asId("w/r"),
  });
  expect(order.map((one) => one.decodes[0]!.dataCentre)).toEqual([
    "b",
    "b",
    "a",
    "a",
  ]);
});
