/** A replica is replaced, while open connections to the store have gone silent. */
import { createConfiguration } from "../lib/configuration.ts";
import { BOUNDS, runCase, send, TROUBLE, wait } from "../lib/harness.ts";
import { PlainReplica } from "../lib/plain_replica.ts";

const VMS = 5;
const WORK_MS = 43;
/** The sheet's rate for this service is 50.8 calls a second, 36.3 of them unsafe. */
const CALL_INTERVAL_MS = 100;
const CALLS_IN_TURN = 7;
const UNSAFE_IN_TURN = 5;
/** The replica serves on for `drain_ms` and a little longer. */
const LONGER_MS = 900;
/** Scheduling of this machine, allowed on top of the bound. */
const SLACK_MS = 100;

await runCase(async ({ record, deployment }) => {
  const replicas: PlainReplica[] = [];
  for (const id of ["i-1", "i-2", "i-3"]) {
    const replica = await PlainReplica.start({
      id,
      workMs: WORK_MS,
      onArrival: (arrival) => record.note(`${id} runs ${arrival.id}`),
    });
    replicas.push(replica);
    deployment.store.put("servers", id, replica.entry());
  }
  deployment.store.put("op", "config", createConfiguration(1));
  await deployment.addVms(VMS);
  let isOver = false;
  const sentAtMs = new Map<string, number>();
  const outcomes: { id: string; status: number | null }[] = [];
  const clients = deployment.vms.map(async (vm) => {
    const calls: Promise<void>[] = [];
    for (let index = 0; !isOver; index += 1) {
      const id = `${vm.id}-call-${index}`;
      sentAtMs.set(id, performance.now());
      record.note(`client sends ${id} to ${vm.id}`);
      const isUnsafe = index % CALLS_IN_TURN < UNSAFE_IN_TURN;
      const path = isUnsafe ? "/unsafe/x" : "/safe/x";
      calls.push(
        send(vm.front, { id, path }).then((received) => {
          outcomes.push({ id, status: received.status });
          record.note(
            `client got ${received.status} for ${id}: ${received.body.trim()}`,
          );
        }),
      );
      await wait(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
  });
  await wait(5_000);
  // The replacement starts first.
  const added = await PlainReplica.start({
    id: "i-4",
    workMs: WORK_MS,
    onArrival: (arrival) => record.note(`i-4 runs ${arrival.id}`),
  });
  replicas.push(added);
  deployment.store.put("servers", added.id, added.entry());
  record.note("i-4 registers");
  await wait(500 + 300 * Math.random());
  if (TROUBLE) {
    for (const { id, storeProxy } of deployment.vms) {
      record.note(`${id}: ${storeProxy.silence()} connections go silent`);
    }
  }
  const silentAtMs = performance.now();
  await wait(BOUNDS.contactMs + 100);
  const leaving = replicas[0]!;
  deployment.store.remove("servers", leaving.id);
  const removedAtMs = performance.now();
  record.note(`the store removes ${leaving.id}`);
  await wait(BOUNDS.drainMs + LONGER_MS);
  record.note(`${leaving.id} exits`);
  leaving.exit();
  const exitedAtMs = performance.now();
  await wait(500);
  isOver = true;
  await Promise.all(clients);
  for (const replica of replicas) replica.exit();
  const late = leaving.arrivals.filter(({ id, atMs }) =>
    atMs > removedAtMs + BOUNDS.drainMs + SLACK_MS &&
    sentAtMs.get(id)! > silentAtMs + BOUNDS.contactMs
  );
  const byVm = new Map<string, number>();
  for (const { id } of late) {
    const vm = id.split("-call")[0]!;
    byVm.set(vm, (byVm.get(vm) ?? 0) + 1);
  }
  const cut = leaving.arrivals.filter(({ answeredAtMs, atMs }) =>
    answeredAtMs === null && atMs < exitedAtMs
  );
  if (late.length === 0) return null;
  const lastMs = Math.max(...late.map(({ atMs }) => atMs)) - removedAtMs;
  return `${late.length} requests reached ${leaving.id} later than drain_ms after its removal, ` +
    `the last ${Math.round(lastMs)} ms after it, from ${
      [...byVm.keys()].join(", ")
    }; ` +
    `${cut.length} were cut when it exited`;
});
