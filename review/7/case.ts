/**
 * A part of prompts crashes the replicas that begin to answer on it. They start again two
 * seconds later, under their ids and at their addresses, and write their entries with
 * their next heartbeat. The VMs never find out: a reservation at a replica that is back
 * refutes its crash.
 */
import { type Attempt, sendStream } from "../lib-2/client.ts";
import { BOUNDS, createConfig, Deployment, wait } from "../lib-2/deployment.ts";
import { Engine, EngineJournal, HEARTBEAT_MS } from "../lib-2/engine.ts";
import { type CaseRecord, HAS_TROUBLE, runCase } from "../lib-2/record.ts";

const VMS = 4;
const PREFILL_REPLICAS = 3;
const DECODE_REPLICAS = 10;
const BAD_PART = "bad0bad0:20";
const FIRST_PART = "5c1e07a2:200";
/** 12.4 streams a second in all, as on the sheet. */
const SOUND_INTERVAL_MS = 110;
const BAD_INTERVAL_MS = 300;
const TRAFFIC_MS = 25_000;
/** "The replica is back after some seconds." */
const DOWN_MS = 2_000;
const CRASHES = 5;
const ALLOWED = 3;

await runCase("review/7", run);

async function run(record: CaseRecord) {
  const deployment = await Deployment.start();
  const { store, vms } = deployment;
  const journal = new EngineJournal();
  const engines = new Set<Engine>();
  const crashedAtMs: number[] = [];
  /** When the store removes the entries of replicas that are silent. */
  const expiries = new Map<string, ReturnType<typeof setTimeout>>();
  let isOver = false;
  const start = async (id: string, stage: "prefill" | "decode", port = 0) => {
    const engine = await Engine.start(journal, {
      id,
      stage,
      version: "v1",
      eventMs: 50,
      events: 12,
      crashingParts: HAS_TROUBLE ? [BAD_PART] : [],
      onCrash: (crashed) => void restart(crashed),
    }, port);
    engines.add(engine);
    return engine;
  };
  const restart = async (engine: Engine) => {
    const { id, port } = engine;
    crashedAtMs.push(performance.now());
    record.note(`${id} crashes (crash ${crashedAtMs.length})`);
    if (engine.hasBeaten) {
      const expire = () => {
        record.note(`the entry of ${id} has expired`);
        store.remove("servers", id);
      };
      expiries.set(id, setTimeout(expire, engine.expiresInMs()));
    }
    engine.crash();
    await wait(DOWN_MS);
    if (isOver) return;
    const next = await start(id, "decode", port);
    record.note(`${id} is back, born ${next.born}`);
    await wait(HEARTBEAT_MS);
    if (isOver || next.isDown) return;
    clearTimeout(expiries.get(id));
    next.beat(store);
    record.note(`${id} writes its entry, born ${next.born}`);
  };
  const attempts: Promise<Attempt>[] = [];
  const send = (name: string, parts: string) => {
    const { id: vm, listen } = vms[attempts.length % VMS]!;
    const id = `${name}-${attempts.length}`;
    const prefix = `${parts},${Buffer.from(id).toString("hex")}:2980`;
    attempts.push(sendStream({ id, vm, address: listen.front, prefix }));
  };
  try {
    for (let index = 1; index <= PREFILL_REPLICAS; index += 1) {
      (await start(`p${index}`, "prefill")).beat(store);
    }
    for (let index = 1; index <= DECODE_REPLICAS; index += 1) {
      (await start(`d${index}`, "decode")).beat(store);
    }
    store.put("op", "config", createConfig(1));
    await deployment.startVms(VMS);
    await wait(BOUNDS.contact_ms + 1_000);
    const sound = setInterval(
      () => send("sound", FIRST_PART),
      SOUND_INTERVAL_MS,
    );
    await wait(2_000);
    record.note("requests with the part begin to come");
    const bad = setInterval(
      () => send("bad", `${FIRST_PART},${BAD_PART}`),
      BAD_INTERVAL_MS,
    );
    await wait(TRAFFIC_MS);
    clearInterval(sound);
    clearInterval(bad);
    isOver = true;
    const ended = await Promise.all(attempts);
    for (const vm of vms) {
      for (const line of vm.logLines("event=quarantine-")) {
        record.note(`log of ${vm.id}: ${line}`);
      }
    }
    return judge(ended, { journal, record, crashedAtMs });
  } finally {
    isOver = true;
    for (const expiry of expiries.values()) clearTimeout(expiry);
    for (const engine of engines) engine.crash();
    await deployment.stop();
  }
}

function judge(
  attempts: readonly Attempt[],
  { journal, record, crashedAtMs }: {
    journal: EngineJournal;
    record: CaseRecord;
    crashedAtMs: readonly number[];
  },
) {
  const arrivals = journal.arrivals.filter(({ kind, prefix }) =>
    kind === "run" && prefix.includes(BAD_PART)
  );
  for (const { atMs, replica, requestId } of arrivals) {
    record.note(`${requestId} reaches ${replica}`, atMs);
  }
  for (const { id, vm, status, events, endedAtMs, isComplete } of attempts) {
    record.note(
      `${id} at ${vm}: ${status}, ${events.length} events, ${
        isComplete ? "complete" : "not complete"
      }`,
      endedAtMs,
    );
  }
  const countedFromMs = (crashedAtMs[CRASHES - 1] ?? Infinity) +
    BOUNDS.contact_ms;
  const counted = new Set(
    arrivals.filter(({ atMs }) => atMs > countedFromMs)
      .map(({ requestId }) => requestId),
  );
  const sound = attempts.filter(({ id }) => id.startsWith("sound"));
  const complete = sound.filter(({ isComplete }) => isComplete).length;
  return {
    broken: counted.size > ALLOWED,
    verdict:
      `${counted.size} requests with the part reached replicas later than ${BOUNDS.contact_ms} ms after its fifth crash; ${crashedAtMs.length} crashes; ${complete} of ${sound.length} sound streams complete`,
  };
}
