import { expect, test } from "vitest";
import { type Effect, MachineTask } from "../common/machine_task.ts";
import { type ConfigurationEvent, configurationMachine } from "./machine.ts";
import { emptyBodies } from "./types.ts";

const PLATFORM = { kind: "platform" } as const;

function peer(id: string) {
  return { kind: "peer", id, peerAddress: id } as const;
}

function obtained(version: number, source = PLATFORM): ConfigurationEvent {
  const head = { version, scopes: {} };
  const configuration = { head, bodies: emptyBodies() };
  return { type: "obtained", configuration, changes: [], source };
}

function create() {
  const effects: Effect[] = [];
  const machine = new MachineTask(configurationMachine, {
    input: { isNewer: (offered, active) => offered > active },
    perform: (effect) => effects.push(effect),
  });
  return { machine, effects };
}

test("A lower version that arrives late isn't activated", () => {
  const { machine, effects } = create();
  machine.send({ type: "noticed", version: 5, source: PLATFORM });
  machine.send(obtained(6));
  machine.send(obtained(5));
  const types = effects.map((effect) => effect.type);
  expect(types).toEqual(["fetch", "activate"]);
  expect(machine.snapshot.context.version).toBe(6);
});

test("Two sources are fetched from in parallel, and a third one once both have failed", () => {
  const { machine, effects } = create();
  machine.send({ type: "noticed", version: 5, source: PLATFORM });
  machine.send({ type: "noticed", version: 5, source: peer("vm-2") });
  machine.send({ type: "noticed", version: 5, source: peer("vm-3") });
  expect(effects).toMatchObject([{ params: { source: PLATFORM } }, {
    params: { source: peer("vm-2") },
  }]);
  machine.send({ type: "failed", source: PLATFORM });
  machine.send({ type: "failed", source: peer("vm-2") });
  expect(effects.at(-1)).toMatchObject({ params: { source: peer("vm-3") } });
  machine.send({ type: "failed", source: peer("vm-3") });
  expect(machine.snapshot.value).toBe("idle");
});
