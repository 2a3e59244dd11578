/**
 * A part of prompts crashes the replicas that begin to answer on it. The VMs have found
 * that out and refuse such requests. All of them are killed at once and start again, three times:
 * the next such requests crash replicas as if nothing had been.
 */
import { type Attempt, sendStream } from "../lib-2/client.ts";
import { BOUNDS, createConfig, Deployment, wait } from "../lib-2/deployment.ts";
import { Engine, EngineJournal } from "../lib-2/engine.ts";
import { type CaseRecord, HAS_TROUBLE, runCase } from "../lib-2/record.ts";

const VMS = 4;
const PREFILL_REPLICAS = 3;
const DECODE_REPLICAS = 10;
const BAD_PART = "bad0bad0:20";
const FIRST_PART = "5c1e07a2:200";
/** Requests of one batch of the caller whose prompts hold the part. */
const BATCH = 10;
/** With the sound ones, as many streams a second as on the sheet. */
const BATCH_GAP_MS = 115;
const SOUND_INTERVAL_MS = 250;
/** "The replica is back after some seconds." */
const DOWN_MS = 2_000;
/** A killed process is restarted after a short delay. */
const RESTART_MS = 500;
const CRASHES = 5;
const ALLOWED = 3;

await runCase("review/8", run);

async function run(record: CaseRecord) {
  const deployment = await Deployment.start();
  const { store, vms } = deployment;
  const journal = new EngineJournal();
  const engines = new Set<Engine>();
  const crashedAtMs: number[] = [];
  let decodeCount = 0;
  let isOver = false;
  const startDecode = async () => {
    decodeCount += 1;
    const engine = await Engine.start(journal, {
      id: `d${decodeCount}`,
      stage: "decode",
      version: "v1",
      eventMs: 50,
      events: 12,
      crashingParts: [BAD_PART],
      onCrash: (crashed) => void replace(crashed),
    });
    engines.add(engine);
    engine.beat(store);
  };
  const replace = async (engine: Engine) => {
    crashedAtMs.push(performance.now());
    record.note(`${engine.id} crashes (crash ${crashedAtMs.length})`);
    setTimeout(() => {
      if (!isOver) store.remove("servers", engine.id);
    }, engine.expiresInMs());
    engine.crash();
    await wait(DOWN_MS);
    if (isOver) return;
    await startDecode();
  };
  const attempts: Promise<Attempt>[] = [];
  const send = (id: string, prefix: string) => {
    const { id: vm, listen } = vms[attempts.length % VMS]!;
    attempts.push(sendStream({ id, vm, address: listen.front, prefix }));
  };
  const sendBatch = async (name: string) => {
    record.note(`batch ${name} of requests with the part`);
    for (let index = 0; index < BATCH; index += 1) {
      const id = `bad-${name}-${index}`;
      const own = Buffer.from(id).toString("hex");
      send(id, `${FIRST_PART},${BAD_PART},${own}:2980`);
      await wait(BATCH_GAP_MS);
    }
  };
  const killAll = async () => {
    record.note("all VMs are killed at once");
    await Promise.all(vms.map((vm) => vm.end("SIGKILL")));
    await wait(RESTART_MS);
    for (const vm of vms) vm.start();
    await Promise.all(vms.map((vm) => vm.awaitReady()));
    record.note("all VMs are ready again");
  };
  try {
    for (let index = 1; index <= PREFILL_REPLICAS; index += 1) {
      const engine = await Engine.start(journal, {
        id: `p${index}`,
        stage: "prefill",
        version: "v1",
      });
      engines.add(engine);
      engine.beat(store);
    }
    while (decodeCount < DECODE_REPLICAS) await startDecode();
    store.put("op", "config", createConfig(1));
    await deployment.startVms(VMS);
    await wait(4_000);
    let soundCount = 0;
    const sound = setInterval(() => {
      soundCount += 1;
      const own = Buffer.from(`sound-${soundCount}`).toString("hex");
      send(`sound-${soundCount}`, `${FIRST_PART},${own}:3000`);
    }, SOUND_INTERVAL_MS);
    await wait(2_000);
    await sendBatch("a");
    await wait(BOUNDS.contact_ms + 2_000);
    await sendBatch("b");
    await wait(2_000);
    for (const name of ["c", "d", "e"]) {
      if (HAS_TROUBLE) await killAll();
      // What is sent from now on reaches machines in touch.
      await wait(BOUNDS.contact_ms + 1_000);
      await sendBatch(name);
      await wait(4_000);
    }
    clearInterval(sound);
    isOver = true;
    const ended = await Promise.all(attempts);
    return judge(ended, { journal, record, crashedAtMs });
  } finally {
    isOver = true;
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
  for (const { id, vm, status, events, endedAtMs, sentAtMs } of attempts) {
    record.note(
      `${id} at ${vm}, sent ${
        Math.round(endedAtMs - sentAtMs)
      } ms before: ${status}, ${events.length} events`,
      endedAtMs,
    );
  }
  const countedFromMs = (crashedAtMs[CRASHES - 1] ?? Infinity) +
    BOUNDS.contact_ms;
  const counted = new Set(
    arrivals.filter(({ atMs }) => atMs > countedFromMs)
      .map(({ requestId }) => requestId),
  );
  return {
    broken: counted.size > ALLOWED,
    verdict:
      `${counted.size} requests with the part reached replicas later than ${BOUNDS.contact_ms} ms after its fifth crash (${crashedAtMs.length} crashes in all)`,
  };
}
