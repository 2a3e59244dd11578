/** One HTTP request with its response, and helpers to read and answer it. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { notRun, type Refusal } from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";

/** A request under way. */
export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Names the request in log lines. */
  readonly id: string;
}

/** Reads a request's body as text, up to a limit. */
export async function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, Refusal>> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of incoming) {
    sizeBytes += chunk.length;
    if (sizeBytes > limitBytes) return err(notRun("body-too-large"));
    chunks.push(chunk);
  }
  return ok(Buffer.concat(chunks).toString("utf8"));
}

/** Parses JSON text. */
export function parseJson(text: string): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(notRun("bad-request", { detail: "The body is not JSON" }));
  }
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Answers with text. */
export function sendText(
  response: ServerResponse,
  text: string,
  contentType: string,
): void {
  response.writeHead(200, { "content-type": contentType });
  response.end(text);
}

/** Reads one header. */
export function header(
  incoming: IncomingMessage,
  name: string,
): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the bearer token of a request. */
export function bearerToken(incoming: IncomingMessage): string | undefined {
  return /^Bearer (.+)$/i.exec(header(incoming, "authorization") ?? "")?.[1];
}
