/** The peer port: json-rpc-2.0 over kept HTTP connections. */
import type { PeerHandlers, PeerPort } from "@teaselvalve/core";
import { createJSONRPCRequest, type JSONRPCResponse } from "json-rpc-2.0";
import { err, ok } from "neverthrow";
import { callHttp, createFreshAgent, createKeptAgent } from "../http/calls.ts";

/** Options of {@link createPeerPort}. */
export interface PeerPortOptions {
  secret: string;
  /** This VM's own peer address and handlers; calls to it take no socket. */
  own: { peerAddress: string; handlers: () => PeerHandlers };
}

/** Connects to the other VMs. */
export function createPeerPort(options: PeerPortOptions): PeerPort {
  const kept = createKeptAgent();
  const fresh = createFreshAgent();
  let lastId = 0;
  return {
    async call(peer, method, { params, timeoutMs, fresh: wantsFresh }) {
      if (peer.peerAddress === options.own.peerAddress) {
        const handler = options.own.handlers()[method] as (
          params: unknown,
        ) => unknown;
        return ok((await handler(params)) as never);
      }
      lastId += 1;
      const answer = await callHttp(wantsFresh ? fresh : kept, {
        method: "POST",
        address: peer.peerAddress,
        path: "/",
        headers: { authorization: `Bearer ${options.secret}` },
        body: JSON.stringify(createJSONRPCRequest(lastId, method, params)),
        timeoutMs,
      });
      if (answer.isErr()) return err(answer.error);
      if (answer.value.status !== 200) {
        const message = `Status ${answer.value.status}`;
        return err({ kind: "refused", message });
      }
      const reply = JSON.parse(answer.value.text) as JSONRPCResponse;
      return reply.error
        ? err({ kind: "refused", message: reply.error.message })
        : ok(reply.result as never);
    },
  };
}
