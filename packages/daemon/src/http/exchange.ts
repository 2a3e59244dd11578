/** An incoming HTTP request with its response, and helpers to read and answer it. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ByteCollector,
  type LogValue,
  notRun,
  type Refusal,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";

/** An incoming request that is being handled. */
export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /**
   * Identifies the request in log lines and in the `request-id` header, which is
   * not sent if `omitDiagnosticHeaders` is set.
   */
  readonly id: string;
  /** Additional fields of the request's log line; handlers add to them. */
  readonly logFields: Record<string, LogValue>;
}

/** Reads a request's body as UTF-8 text; refuses a body over `limitBytes`. */
export async function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, Refusal>> {
  const bytes = await readBytes(incoming, limitBytes);
  return bytes.map((body) => body.toString("utf8"));
}

/** Reads a request's body; refuses one over `limitBytes` or that ends early. */
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
    const collector = new ByteCollector({ limitBytes });
    // Iterating over the stream would destroy the connection on an early exit; this
    // keeps it open so that the refusal can be sent.
    const finish = (result: Result<Buffer, Refusal>) => {
      incoming.removeAllListeners("data");
      incoming.resume();
      collector.discard();
      resolve(result);
    };
    incoming.on("data", (chunk: Buffer) => {
      if (!collector.add(chunk)) finish(err(tooLarge));
    });
    incoming.once("end", () => {
      const body = collector.take();
      finish(body ? ok(body) : err(tooLarge));
    });
    incoming.once("close", () => {
      finish(
        err(notRun("bad-request", { detail: "The body ended early" })),
      );
    });
    incoming.once("error", () => {
      finish(
        err(notRun("bad-request", { detail: "The body ended early" })),
      );
    });
  });
}

/** Parses a JSON body; refuses malformed JSON as `bad-request`. */
export function parseJson(text: string): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(
      notRun("bad-request", { detail: "The body is not JSON" }),
    );
  }
}

/** Sends a JSON response and ends it. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Sends a text response with status 200 and ends it. */
export function sendText(
  response: ServerResponse,
  text: string,
  contentType: string,
): void {
  response.writeHead(200, { "content-type": contentType });
  response.end(text);
}

/**
 * Reads a header by its lower-case name. If the request repeats it, Node joins the
 * values, mostly with commas, or keeps only the first, depending on the header. Only
 * `set-cookie` is an array; its first value is returned.
 */
export function header(
  incoming: IncomingMessage,
  name: string,
): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the bearer token from the `authorization` header, if there is one. */
export function bearerToken(incoming: IncomingMessage): string | undefined {
  return /^Bearer (.+)$/i.exec(header(incoming, "authorization") ?? "")?.[1];
}
