/** A small JSON server for stand-ins that run as processes. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";

/** One request to a stand-in. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  /** The body as text. */
  readonly body: string;
  readonly response: ServerResponse;
}

/** An answer; `null` means that the handler answers through the response itself. */
export type JsonResponse = { status: number; body: unknown } | null;

/** Options of {@link listenJson}. */
export interface ListenOptions {
  host: string;
  port: number;
}

/** Serves a handler until the server is closed. */
export async function listenJson(
  handle: (request: JsonRequest) => Promise<JsonResponse> | JsonResponse,
  options: ListenOptions,
): Promise<Server> {
  const server = createServer((incoming, response) => {
    void respond(incoming, response, handle);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  return server;
}

async function respond(
  incoming: IncomingMessage,
  response: ServerResponse,
  handle: (request: JsonRequest) => Promise<JsonResponse> | JsonResponse,
): Promise<void> {
  const url = new URL(incoming.url ?? "/", "http://stand-in");
  try {
    const body = await text(incoming);
    const answer = await handle({
      method: incoming.method ?? "GET",
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body,
      response,
    });
    if (answer) sendJson(response, answer);
  } catch (error) {
    sendJson(response, { status: 500, body: { error: String(error) } });
  }
}

function sendJson(
  response: ServerResponse,
  answer: { status: number; body: unknown },
): void {
  if (response.headersSent) return void response.destroy();
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body ?? null));
}
