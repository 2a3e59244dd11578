/** Reads the answers of endpoints, and maps them to the types of the router. */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { ByteCollector, releaseMemory } from "@teaselvalve/core";
import {
  type AnswerHead,
  type SendFailure,
  TOO_LARGE,
} from "@teaselvalve/core/routing";
import type {
  ExchangeFailure,
  ExchangeListener,
  OutgoingExchange,
} from "./fresh_exchange.ts";

const CONNECTION_REFUSED = "ECONNREFUSED";

/** Headers that apply to a single connection and are not forwarded. */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** An answer that was read completely. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Options of {@link readAnswer}. */
export interface ReadAnswerOptions {
  /** Maximum size of the body. */
  limitBytes: number;
  /** Whether the answer is for a caller, or for the VM itself. */
  use: "answer" | "internal";
}

/**
 * Reads a whole answer; fails as lost if it exceeds the limit. An answer for which there
 * is no memory waits for it, within the time that its exchange has.
 */
export function readAnswer(
  open: (listener: ExchangeListener) => OutgoingExchange,
  options: ReadAnswerOptions,
): Promise<Result<BufferedAnswer, SendFailure>> {
  return new Promise((resolve) => {
    let head: Pick<BufferedAnswer, "status" | "headers"> | null = null;
    let hasEnded = false;
    const collector = new ByteCollector({
      ...options,
      onRoom: () => hasEnded ? finish() : exchange.resume(),
    });
    const settle = (result: Result<BufferedAnswer, SendFailure>) => {
      collector.discard();
      resolve(result);
    };
    const finish = () => {
      const body = collector.take();
      // The VM reads its own answers at once.
      if (body && options.use === "internal") releaseMemory(body);
      settle(body ? ok({ ...head!, body }) : err(TOO_LARGE));
    };
    const exchange = open({
      onHead: (status, headers) => {
        head = { status, headers };
        // What a large answer sends meanwhile would take memory beside the budget.
        return collector.expect(Number(headers["content-length"] ?? 0));
      },
      onData: (bytes) => {
        const collected = collector.add(bytes);
        if (collected === "refused") {
          settle(err(TOO_LARGE));
          exchange.abort();
        }
        return collected !== "waiting";
      },
      onEnd: () => {
        hasEnded = true;
        if (!collector.isWaiting) finish();
      },
      onFailure: (failure) => settle(err(toSendFailure(failure))),
    });
  });
}

/** Maps the failure of an exchange to that of a send. */
export function toSendFailure(failure: ExchangeFailure): SendFailure {
  return failure.kind === "notSent"
    ? { ...failure, refused: failure.detail === CONNECTION_REFUSED }
    : failure;
}

/** Builds the head of an answer as it is passed on to the caller. */
export function toHead(
  { status, headers }: Pick<BufferedAnswer, "status" | "headers">,
): AnswerHead {
  return {
    status,
    headers: forwardedHeaders(headers),
    endsWithConnection: headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined,
  };
}

function forwardedHeaders(headers: IncomingHttpHeaders): AnswerHead["headers"] {
  const forwarded: [string, string][] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name)) continue;
    for (const item of Array.isArray(value) ? value : [value]) {
      forwarded.push([name, item]);
    }
  }
  return forwarded;
}
