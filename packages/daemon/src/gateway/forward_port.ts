/** Sends requests of callers on to other VMs, each on its own connection. */
import type { Observer } from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import type {
  ForwardedNoticeListener,
  ForwardedSend,
  ForwardedStream,
  ForwardPort,
  ForwardResult,
} from "@teaselvalve/core/routing";
import { logConnectionFault } from "../http/connection_faults.ts";
import { CONNECTION_HEADERS, toHead, toSendFailure } from "./answers.ts";
import { openExchange } from "./fresh_exchange.ts";
import { formatHop, HOP_HEADER, readMark } from "./hop.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** VMs accept connections within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Options of {@link createForwardPort}. */
export interface ForwardPortOptions {
  observer: Observer;
  protocol: Pick<EndpointProtocol, "readAnswerHeaders">;
  /** Called for each answer of an endpoint. */
  onNotice: ForwardedNoticeListener;
}

/** Creates the port through which requests are sent on. */
export function createForwardPort(options: ForwardPortOptions): ForwardPort {
  return {
    forward: ({ peerAddress }, send) =>
      forward(peerAddress, { send, ...options }),
  };
}

function forward(
  address: string,
  { send, protocol, observer, onNotice }: ForwardPortOptions & {
    send: ForwardedSend;
  },
): ForwardedStream {
  const { request, wholeMs, signal, listener } = send;
  const sentAtMs = performance.now();
  let settle: (result: ForwardResult) => void = () => {};
  const ended = new Promise<ForwardResult>((resolve) => (settle = resolve));
  const exchange = openExchange({
    address,
    method: request.method,
    path: request.target,
    headers: forwardedHeaders(send),
    body: request.body,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, wholeMs),
    firstByteMs: wholeMs,
    wholeMs,
    signal,
  }, {
    onHead: (status, headers) => {
      const mark = readMark(headers);
      if (mark?.kind === "answer") {
        const { [HOP_HEADER]: _mark, ...others } = headers;
        const { origin, endpoint, tableVersion } = mark;
        if (tableVersion !== undefined) send.onTableVersion?.(tableVersion);
        if (endpoint) {
          const fields = protocol.readAnswerHeaders(status, others);
          const { limitPerSecond, isLeaving } = fields;
          onNotice(endpoint, {
            limitPerSecond,
            isLeaving,
            // The endpoint asked the other VM for a pause.
            pauseMs: null,
            answerKind: "request",
            sentAtMs,
          });
        }
        const head = toHead({ status, headers: others });
        return listener.onHead(origin ? { ...head, origin } : head);
      }
      settle(err(
        mark
          ? { kind: "refused", refusal: mark }
          : { kind: "lost", detail: `Unmarked status ${status} of a VM` },
      ));
      exchange.abort();
    },
    onData: (bytes) => listener.onData(bytes),
    onEnd: () => settle(ok(undefined)),
    onFailure: (failure) => settle(err(toSendFailure(failure))),
    onFault: ({ phase, ...fault }) =>
      logConnectionFault(observer, fault, {
        call: "forward",
        peer: address,
        attempt: request.id,
        phase,
      }),
  });
  return {
    ended,
    resume: () => exchange.resume(),
    abort: () => exchange.abort(),
  };
}

function forwardedHeaders(send: ForwardedSend): string[] {
  const { rawHeaders } = send.request;
  const headers: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isOwn = name === HOP_HEADER || name === "content-length" ||
      name === "expect";
    if (isOwn || CONNECTION_HEADERS.has(name)) continue;
    headers.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return [...headers, HOP_HEADER, formatHop(send)];
}
