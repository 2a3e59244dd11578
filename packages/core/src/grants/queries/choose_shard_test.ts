import { expect, test } from "vitest";
import { EndpointSchema } from "../../configuration/types.ts";
import { asId } from "../../common/ids.ts";
import { chooseShards, planShards, SHARD_REPLICAS } from "./choose_shard.ts";

function pool(prefills: number, decodes: number, dataCentres: string[]) {
  const create = (kind: string, index: number) =>
    EndpointSchema.parse({
      id: `${kind}-${index}`,
      kind,
      address: `${kind}-${index}`,
      dataCentre: dataCentres[index % dataCentres.length],
      model: "m",
    });
  return [
    ...Array.from({ length: prefills }, (_, index) => create("prefill", index)),
    ...Array.from({ length: decodes }, (_, index) => create("decode", index)),
  ];
}

const MODEL = asId<never>("m");

test("A small pool is one shard, even if a data centre lacks a prefill replica", () => {
  const shards = planShards(pool(2, 10, ["a", "b", "c"]), { model: MODEL });
  expect(shards.map((one) => [one.prefills.length, one.decodes.length]))
    .toEqual([[2, 10]]);
});

test("A large pool is split within its data centres, and every shard has both roles", () => {
  const endpoints = pool(16, 48, ["a", "b"]);
  const shards = planShards(endpoints, { model: MODEL });
  expect(shards).toHaveLength(4);
  for (const { prefills, decodes } of shards) {
    expect(prefills.length + decodes.length).toBeLessThanOrEqual(
      SHARD_REPLICAS,
    );
    expect(prefills.length).toBeGreaterThan(0);
    const shardDataCentres = [...prefills, ...decodes].map((one) =>
      one.dataCentre
    );
    expect(new Set(shardDataCentres).size).toBe(1);
  }
});

test("The shards of the owner's data centre come first", () => {
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
