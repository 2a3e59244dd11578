/** A small JSON server for fakes that run as processes. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { text } from "node:stream/consumers";

/** A request to a fake. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  /** The body as text. */
  readonly body: string;
  readonly response: ServerResponse;
}

/**
 * A response; `null` if the handler writes to {@link JsonRequest.response} itself
 * or leaves the request unanswered.
 */
export type JsonResponse = { status: number; body: unknown } | null;

/** Options of {@link listenJson}. */
export interface ListenOptions {
  host: string;
  port: number;
}

/**
 * Starts a server that passes every request to a handler. If the handler throws,
 * the response has status 500. Rejects if the port can't be opened.
 */
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
  const url = new URL(incoming.url ?? "/", "http://fake");
  try {
    const body = await text(incoming);
    const jsonResponse = await handle({
      method: incoming.method ?? "GET",
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body,
      response,
    });
    if (jsonResponse) sendJson(response, jsonResponse);
  } catch (error) {
    sendJson(response, { status: 500, body: { error: String(error) } });
  }
}

function sendJson(
  response: ServerResponse,
  jsonResponse: { status: number; body: unknown },
): void {
  if (response.headersSent) return void response.destroy();
  response.writeHead(jsonResponse.status, {
    "content-type": "application/json",
  });
  response.end(JSON.stringify(jsonResponse.body ?? null));
}
