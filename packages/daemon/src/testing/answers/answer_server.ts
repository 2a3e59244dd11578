/** A server that answers each request by its script, byte for byte. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { wait } from "@teaselvalve/core";
import type { AnswerPlan, AnswerScript } from "./answer_script.ts";

/** What the server answers a request with. */
export interface ScriptedAnswer {
  readonly plan: AnswerPlan;
  readonly script: AnswerScript;
}

/** A server for tests; requests name their answer as their path. */
export interface AnswerServer {
  readonly address: string;
  /** Answers by path. */
  readonly answers: Map<string, ScriptedAnswer>;
  /** Paths of which a byte was received. */
  readonly received: Set<string>;
  /** Paths of requests on connections that had one before, whose end may cut these. */
  readonly reusing: Set<string>;
  openSockets(): number;
  close(): Promise<void>;
}

const REQUEST_LINE = /^[A-Z]+ (\S+) HTTP\/1\.1\r\n/;

/** Starts a server on loopback. */
export async function startAnswerServer(): Promise<AnswerServer> {
  const answers = new Map<string, ScriptedAnswer>();
  const received = new Set<string>();
  const reusing = new Set<string>();
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    let requests = 0;
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    // What a client that has ended its side still expects is none of the test's.
    socket.on("end", () => socket.end());
    socket.on("data", (bytes) => {
      const path = REQUEST_LINE.exec(bytes.toString("latin1"))?.[1];
      if (path === undefined) return;
      received.add(path);
      if (requests > 0) reusing.add(path);
      requests += 1;
      const answer = answers.get(path);
      if (answer?.plan.begins === "with the request") {
        void playAnswer(socket, answer);
      }
    });
    const [first] = answers.values();
    if (answers.size === 1 && first!.plan.begins === "when accepted") {
      void playAnswer(socket, first!);
    }
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    answers,
    received,
    reusing,
    openSockets: () => sockets.size,
    async close() {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, "close");
    },
  };
}

async function playAnswer(
  socket: Socket,
  { plan, script }: ScriptedAnswer,
): Promise<void> {
  const { bytes } = script;
  socket.setNoDelay(true);
  let begin = 0;
  const cuts = plan.cuts.toSorted((left, right) => left.at - right.at);
  for (const { at, gapMs } of cuts) {
    const end = Math.round(at * bytes.length);
    if (end > begin) socket.write(bytes.subarray(begin, end));
    begin = Math.max(begin, end);
    if (gapMs > 0) await wait(gapMs);
    else await new Promise((resolve) => setImmediate(resolve));
  }
  if (begin < bytes.length) socket.write(bytes.subarray(begin));
  if (plan.endAfterMs > 0) await wait(plan.endAfterMs);
  if (socket.destroyed) return;
  if (plan.end === "reset") socket.resetAndDestroy();
  else if (plan.end === "close") socket.destroySoon();
  else if (plan.end === "half-close") socket.end();
}
