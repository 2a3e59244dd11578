/** Callers that stream and may take their streams up again. */
import { request } from "node:http";
import { HOST } from "./deployment.ts";

/** What one client attempt received. */
export interface Attempt {
  readonly id: string;
  readonly vm: string;
  readonly sentAtMs: number;
  readonly resumes: string | null;
  readonly after: number;
  status: number;
  /** Ids and versions of the whole events. */
  events: { id: number; version: string }[];
  /** Whether the answer ended as complete. */
  isComplete: boolean;
  endedAtMs: number;
}

/** Options of {@link sendStream}. */
export interface StreamOptions {
  id: string;
  vm: string;
  address: string;
  path?: string;
  prefix?: string;
  resumes?: string;
  after?: number;
  /** Aborted to close the connection. */
  signal?: AbortSignal;
}

/** Sends one client attempt of a stream and reads its answer. */
export function sendStream(
  options: StreamOptions,
  onChange: (attempt: Attempt) => void = () => {},
): Promise<Attempt> {
  const { id, vm, address, path = `/stream/${id}`, signal } = options;
  const { prefix = `5c1e07a2:200,${hex(id)}:3000`, resumes, after = 0 } =
    options;
  const attempt: Attempt = {
    id,
    vm,
    sentAtMs: performance.now(),
    resumes: resumes ?? null,
    after,
    status: 0,
    events: [],
    isComplete: false,
    endedAtMs: NaN,
  };
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const end = () => {
      if (!Number.isNaN(attempt.endedAtMs)) return;
      attempt.endedAtMs = performance.now();
      resolve(attempt);
    };
    const outgoing = request({
      host,
      port,
      method: "POST",
      path,
      agent: false,
      signal,
      headers: {
        host: HOST,
        "x-request-id": id,
        "x-deadline-ms": "14000",
        "x-model": "m",
        "x-token-count": "3200,100",
        "x-prompt-prefix": prefix,
        ...(resumes === undefined
          ? {}
          : { resumes, "last-event-id": String(after) }),
      },
    });
    outgoing.on("error", end);
    outgoing.on("response", (incoming) => {
      attempt.status = incoming.statusCode ?? 0;
      let text = "";
      incoming.on("data", (bytes) => {
        text += bytes;
        for (
          let at = text.indexOf("\n\n");
          at >= 0;
          at = text.indexOf("\n\n")
        ) {
          const event = /^id: (\d+)\ndata: (\S+)$/.exec(text.slice(0, at));
          text = text.slice(at + 2);
          if (!event) continue;
          attempt.events.push({ id: Number(event[1]), version: event[2]! });
          onChange(attempt);
        }
      });
      incoming.on("error", end);
      incoming.on("end", () => {
        attempt.isComplete = incoming.complete && attempt.status === 200;
        end();
      });
      incoming.on("close", end);
    });
    // A stream that is taken up is the same request.
    outgoing.end(`{"prompt":"${path}"}`);
  });
}

function hex(text: string): string {
  return Buffer.from(text).toString("hex");
}
