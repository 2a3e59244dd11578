/** The peer port: JSON-RPC 2.0 over HTTP. */
import type {
  Observer,
  PeerFailure,
  PeerHandlers,
  PeerPort,
} from "@teaselvalve/core";
import {
  createJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import {
  type ClientTls,
  createFreshClient,
  createKeepAliveClient,
} from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";

/** Options of {@link createPeerPort}. */
export interface PeerPortOptions {
  /** Secret shared by the VMs; null if only the network restricts access. */
  secret: string | null;
  /** Plain HTTP when absent. */
  tls?: ClientTls | undefined;
  observer?: Observer;
  /** This VM's peer address and handlers; calls to itself use no socket. */
  self: { peerAddress: string; handlers: () => Partial<PeerHandlers> };
}

/** Creates the port through which the VM calls other VMs and itself. */
export function createPeerPort(options: PeerPortOptions): PeerPort {
  const { tls, observer } = options;
  const keepAlive = createKeepAliveClient({ tls, observer });
  const fresh = createFreshClient({ tls, observer });
  let lastId = 0;
  return {
    async call(peer, method, { params, timeoutMs, wholeMs, fresh: useFresh }) {
      if (peer.peerAddress === options.self.peerAddress) {
        return await callSelf(options.self.handlers(), { method, params });
      }
      lastId += 1;
      const id = lastId;
      const httpClient = useFresh ? fresh : keepAlive;
      const response = await httpClient.call({
        method: "POST",
        address: peer.peerAddress,
        path: "/",
        headers: options.secret === null
          ? {}
          : { authorization: `Bearer ${options.secret}` },
        body: JSON.stringify(createJSONRPCRequest(id, method, params)),
        timeoutMs,
        ...(wholeMs === undefined ? {} : { wholeMs }),
      });
      if (response.isErr()) return err(response.error);
      if (response.value.status !== 200) {
        const message = `Status ${response.value.status}`;
        return err({ kind: "refused", message });
      }
      const reply = tryParseJson<JSONRPCResponse>(response.value.text);
      // Another server may have taken over the address.
      if (!reply || !isJSONRPCResponse(reply) || reply.id !== id) {
        return err({ kind: "lost" });
      }
      return reply.error
        ? err({ kind: "refused", message: reply.error.message })
        : ok(reply.result as never);
    },
  };
}

async function callSelf(
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
