import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { asId, type Incarnation, type VmId } from "../common/ids.ts";
import type { Probe } from "../membership/app.ts";
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { TableAnswer } from "./app.ts";
import { TableExchange } from "./table_exchange.ts";
import type { RoutingTable } from "./types.ts";

function createExchange(answer: () => TableAnswer) {
  let incarnation = "first";
  let calls = 0;
  let table: RoutingTable | null = null;
  const exchange = new TableExchange({
    membership: {
      member: (id) =>
        ({ id, incarnation: asId<Incarnation>(incarnation) }) as Member,
    },
    peers: {
      call: () => {
        calls += 1;
        return Promise.resolve(ok(answer()));
      },
    } as unknown as PeerPort,
    table: () => table,
    probe: () => Promise.resolve(),
    setTable: (received) => void (table = received),
    isStoreFailing: () => true,
  });
  /** Receives a probe with a version; returns the calls made up to then. */
  const compare = async (configurationVersion: number) => {
    exchange.compare(
      {
        from: asId<VmId>("vm-9"),
        incarnation: asId<Incarnation>(incarnation),
        configurationVersion,
      } as Probe,
    );
    await new Promise((resolve) => setImmediate(resolve));
    return calls;
  };
  const restartPeer = () => void (incarnation = "second");
  return { exchange, compare, restartPeer };
}

const TABLE = { version: 3 } as RoutingTable;

// Guards against requests that run without keys by a table without its workspaces.
test("A table of the previous build is not taken over, nor asked for with every probe", async () => {
  let answer: TableAnswer = { table: TABLE };
  const { exchange, compare, restartPeer } = createExchange(() => answer);
  expect([await compare(3), await compare(3)]).toEqual([1, 1]);
  expect(exchange.version).toBe(0);
  expect(await compare(4)).toBe(2);
  answer = { table: TABLE, readsWorkspaces: true };
  restartPeer();
  expect(await compare(4)).toBe(3);
  expect(exchange.version).toBe(3);
});

test("A table that the previous build passes on with its workspaces is taken over", async () => {
  const table = { ...TABLE, workspaces: [] };
  const { exchange, compare } = createExchange(() => ({ table }));
  await compare(3);
  expect(exchange.version).toBe(3);
});
