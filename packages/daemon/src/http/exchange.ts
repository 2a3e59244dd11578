/** One HTTP request with its response, and helpers to read and answer it. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type LogValue, notRun, type Refusal } from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";

/** A request under way. */
export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Names the request in log lines and in the `request-id` header. */
  readonly id: string;
  /** What the request's log line carries besides; handlers add to it. */
  readonly logFields: Record<string, LogValue>;
}

/** Reads a request's body as text, up to a limit. */
export async function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, Refusal>> {
  const bytes = await readBytes(incoming, limitBytes);
  return bytes.map((body) => body.toString("utf8"));
}

/** Reads a request's body, up to a limit. */
export function readBytes(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = notRun("body-too-large", {
    detail: `The body may have ${limitBytes} bytes`,
  });
  if (Number(incoming.headers["content-length"] ?? 0) > limitBytes) {
    return Promise.resolve(err(tooLarge));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    // Leaves the connection whole, unlike a loop over the stream, so that the refusal arrives.
    const end = (result: Result<Buffer, Refusal>) => {
      incoming.removeAllListeners("data");
      incoming.resume();
      resolve(result);
    };
    incoming.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) return end(err(tooLarge));
      chunks.push(chunk);
    });
    incoming.once("end", () => {
      end(ok(Buffer.concat(chunks)));
    });
    incoming.once("close", () => {
      end(err(notRun("bad-request", { detail: "The body ended early" })));
    });
    incoming.once("error", () => {
      end(err(notRun("bad-request", { detail: "The body ended early" })));
    });
  });
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
