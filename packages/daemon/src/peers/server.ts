/** The peer interface: JSON-RPC 2.0, protected by the deployment's secret. */
import { createHash, timingSafeEqual } from "node:crypto";
import {
  notRun,
  type Observer,
  type PeerHandlers,
  type Refusal,
  SILENT_OBSERVER,
} from "@teaselvalve/core";
import { type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import {
  bearerToken,
  type Exchange,
  parseJson,
  readBody,
  sendJson,
} from "../http/exchange.ts";
import { sendProblem } from "../http/problem.ts";

/** Options of {@link createPeerHandler}. */
export interface PeerHandlerOptions {
  /** Calls to other methods fail as "method not found". */
  handlers: Partial<PeerHandlers>;
  /** Secret shared by the VMs; null if only the network restricts access. */
  secret: string | null;
  bodyLimitBytes: number;
  observer?: Observer;
}

/** Creates the handler for calls from other VMs. */
export function createPeerHandler(options: PeerHandlerOptions) {
  const { observer = SILENT_OBSERVER } = options;
  const server = new JSONRPCServer({
    errorListener: (message, error) =>
      observer.log({
        event: "peer-method-error",
        level: "warn",
        message: `${message}: ${error}`,
      }),
  });
  for (const [name, handler] of Object.entries(options.handlers)) {
    server.addMethod(name, handler);
  }
  return async ({ incoming, response }: Exchange): Promise<void> => {
    const refuse = (refusal: Refusal) => {
      observer.count("refusals", refusal.reason);
      sendProblem(response, refusal);
    };
    const { secret } = options;
    if (
      secret !== null && !sameSecret(bearerToken(incoming) ?? "", secret)
    ) {
      return refuse(notRun("unauthenticated"));
    }
    const body = await readBody(incoming, options.bodyLimitBytes);
    const parsed = body.andThen(parseJson);
    if (parsed.isErr()) return refuse(parsed.error);
    sendJson(response, await server.receive(parsed.value as JSONRPCRequest));
  };
}

/** Compares two secrets in constant time. */
export function sameSecret(a: string, b: string): boolean {
  const hash = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(hash(a), hash(b));
}
