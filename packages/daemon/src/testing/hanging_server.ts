/** An address on loopback at which new connections hang, as if their packets were lost. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import process from "node:process";

const LISTEN = `require("node:net").createServer()
  .listen({ port: 0, host: "127.0.0.1", backlog: 1 }, function () {
    process.stdout.write(String(this.address().port));
  });`;
/** Connections that fill the queue of a listener that accepts none. */
const QUEUE_LENGTH = 4;

/** An address that can be released. */
export interface HangingServer {
  readonly address: string;
  close(): void;
}

/** Starts a process that listens and is stopped before it accepts connections. */
export async function startHangingServer(): Promise<HangingServer> {
  const child = spawn(process.execPath, ["-e", LISTEN], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const [port] = await once(child.stdout, "data");
  child.kill("SIGSTOP");
  const queued = Array.from({ length: QUEUE_LENGTH }, () => {
    const socket = connect(Number(port), "127.0.0.1");
    return socket.on("error", () => {});
  });
  await once(queued[0]!, "connect");
  return {
    address: `127.0.0.1:${port}`,
    close() {
      for (const socket of queued) socket.destroy();
      child.kill("SIGKILL");
    },
  };
}
