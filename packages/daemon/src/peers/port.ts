/** The peer port: json-rpc-2.0 over kept HTTP connections. */
import type { PeerFailure, PeerHandlers, PeerPort } from "@teaselvalve/core";
import { createJSONRPCRequest, type JSONRPCResponse } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import {
  type ClientTls,
  createFreshCaller,
  createKeepAliveCaller,
} from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";

/** Options of {@link createPeerPort}. */
export interface PeerPortOptions {
  /** Shared by the VMs; null where the network alone keeps others away. */
  secret: string | null;
  /** Plain when absent. */
  tls?: ClientTls | undefined;
  /** This VM's own peer address and handlers; calls to it take no socket. */
  self: { peerAddress: string; handlers: () => Partial<PeerHandlers> };
}

/** Connects to the other VMs. */
export function createPeerPort(options: PeerPortOptions): PeerPort {
  const kept = createKeepAliveCaller({ tls: options.tls });
  const fresh = createFreshCaller({ tls: options.tls });
  let lastId = 0;
  return {
    async call(peer, method, { params, timeoutMs, fresh: wantsFresh }) {
      if (peer.peerAddress === options.self.peerAddress) {
        return await callOwn(options.self.handlers(), { method, params });
      }
      lastId += 1;
      const caller = wantsFresh ? fresh : kept;
      const answer = await caller.call({
        method: "POST",
        address: peer.peerAddress,
        path: "/",
        headers: options.secret === null
          ? {}
          : { authorization: `Bearer ${options.secret}` },
        body: JSON.stringify(createJSONRPCRequest(lastId, method, params)),
        timeoutMs,
      });
      if (answer.isErr()) return err(answer.error);
      if (answer.value.status !== 200) {
        const message = `Status ${answer.value.status}`;
        return err({ kind: "refused", message });
      }
      const reply = tryParseJson<JSONRPCResponse>(answer.value.text);
      if (!reply) return err({ kind: "lost" });
      return reply.error
        ? err({ kind: "refused", message: reply.error.message })
        : ok(reply.result as never);
    },
  };
}

async function callOwn(
  handlers: Partial<PeerHandlers>,
  call: { method: keyof PeerHandlers; params: unknown },
): Promise<Result<never, PeerFailure>> {
  const handler = handlers[call.method] as (params: unknown) => unknown;
  try {
    return ok((await handler(call.params)) as never);
  } catch (error) {
    return err({ kind: "refused", message: String(error) });
  }
}
