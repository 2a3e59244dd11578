/** VMs are stopped in turn; a stream that a client takes up again waits for a place meanwhile. */
import { createConfiguration } from "../lib/configuration.ts";
import { Engine } from "../lib/engine.ts";
import { runCase, send, TROUBLE, wait } from "../lib/harness.ts";

const EVENTS = 71;
const EVENT_MS = 180;
const STREAMS = 4;
const DEADLINE_MS = 14_000;
/** Clients may use a VM's address for three times the second for which it is given. */
const BEGIN_AFTER_MS = 2_700;
/** The next VM is stopped when the first has had its grace period. */
const NEXT_STOP_AFTER_MS = 8_000;

await runCase(async ({ record, deployment }) => {
  let isFull = false;
  const engines: Engine[] = [];
  for (const id of ["p-1", "d-1", "d-2"]) {
    const engine = await Engine.start({
      id,
      stage: id === "p-1" ? "prefill" : "decode",
      version: "v1",
      born: Date.now(),
      eventMs: EVENT_MS,
      events: EVENTS,
      onRun: (requestId, after) =>
        record.note(`${id} runs ${requestId} after event ${after}`),
      isFull: () => isFull,
    });
    engines.push(engine);
    deployment.store.put("servers", id, engine.entry());
  }
  deployment.store.put("op", "config", createConfiguration(1));
  await deployment.addVms(3);
  await wait(1_000);
  const [first, second] = deployment.vms;
  const stops: Promise<void>[] = [];
  const stop = async () => {
    stops.push(deployment.terminate(first!));
    await wait(NEXT_STOP_AFTER_MS);
    if (TROUBLE) stops.push(deployment.terminate(second!));
  };
  const roll = stop();
  await wait(BEGIN_AFTER_MS);
  const unanswered: string[] = [];
  const streams = Array.from({ length: STREAMS }, async (_, index) => {
    const id = `stream-${index}`;
    const sentMs = performance.now();
    const prompt = {
      "x-model": "m",
      "x-token-count": "3000,781",
      "x-prompt-prefix": `aa:200,${index}b:2800`,
    };
    record.note(`client sends ${id} to ${first!.id}`);
    const begun = await send(first!.front, {
      id,
      path: "/stream/x",
      deadlineMs: DEADLINE_MS,
      headers: prompt,
    });
    const events = begun.body.match(/^data: .*$/gm)?.length ?? 0;
    record.note(
      `client got ${begun.status} for ${id}, ${events} events, ${
        begun.complete ? "complete" : "broken off"
      }`,
    );
    if (begun.complete || events === 0) return;
    isFull = true;
    const leftMs = Math.floor(DEADLINE_MS - (performance.now() - sentMs));
    const again = `${id}-again`;
    record.note(
      `client sends ${again} to ${second!.id} with ${leftMs} ms left`,
    );
    const resumed = await send(second!.front, {
      id: again,
      path: "/stream/x",
      deadlineMs: leftMs,
      headers: { ...prompt, "last-event-id": String(events), "resumes": id },
    });
    record.note(
      `client got ${
        resumed.status ?? "no answer"
      } for ${again} after ${resumed.tookMs} ms, ` +
        (resumed.complete ? "complete" : "closed without a complete answer") +
        ` ${resumed.body.slice(0, 200)}`,
    );
    if (!resumed.complete && resumed.tookMs < leftMs) {
      unanswered.push(`${again} (${resumed.tookMs} of ${leftMs} ms)`);
    }
  });
  await Promise.all(streams);
  await roll;
  await Promise.all(stops);
  for (const engine of engines) await engine.crash();
  if (unanswered.length === 0) return null;
  return `${unanswered.length} requests that a VM had read whole ended with its connection, without an answer: ${
    unanswered.join(", ")
  }`;
});
