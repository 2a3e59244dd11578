/** The peer interface: json-rpc-2.0 behind the deployment's secret. */
import { createHash, timingSafeEqual } from "node:crypto";
import { notRun, type PeerHandlers } from "@teaselvalve/core";
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
  handlers: PeerHandlers;
  secret: string;
  bodyLimitBytes: number;
}

/** Answers the calls of other VMs. */
export function createPeerHandler(options: PeerHandlerOptions) {
  const server = new JSONRPCServer();
  for (const [name, handler] of Object.entries(options.handlers)) {
    server.addMethod(name, handler);
  }
  return async ({ incoming, response }: Exchange): Promise<void> => {
    if (!sameSecret(bearerToken(incoming) ?? "", options.secret)) {
      return sendProblem(response, notRun("unauthenticated"));
    }
    const body = await readBody(incoming, options.bodyLimitBytes);
    const parsed = body.andThen(parseJson);
    if (parsed.isErr()) return sendProblem(response, parsed.error);
    sendJson(response, await server.receive(parsed.value as JSONRPCRequest));
  };
}

/** Compares two secrets in constant time. */
export function sameSecret(a: string, b: string): boolean {
  const hash = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(hash(a), hash(b));
}
