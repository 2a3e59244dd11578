/** Peer port between VMs in the same process. */
import type { PeerFailure, PeerHandlers, PeerPort } from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import type { FakeNetwork, Host } from "./network.ts";
import { sendRequest } from "./request.ts";

/** Options of {@link createFakePeerPort}. */
export interface FakePeerPortOptions {
  network: FakeNetwork;
  from: Host;
  /** Handlers of the VMs, by peer address; the address is the VM's host on the network. */
  handlers: ReadonlyMap<string, PeerHandlers>;
}

/** Creates the peer port of one VM; it also reaches the VM itself. */
export function createFakePeerPort(options: FakePeerPortOptions): PeerPort {
  return {
    async call(peer, method, { params, timeoutMs, fresh }) {
      const handlers = options.handlers.get(peer.peerAddress);
      if (!handlers) return err({ kind: "notSent" });
      const answer = await sendRequest(options.network, {
        from: options.from,
        to: peer.peerAddress,
        timeoutMs,
        fresh,
        execute: () => handle(handlers, { method, params }),
      });
      return answer.andThen((result) => result) as never;
    },
  };
}

async function handle(
  handlers: PeerHandlers,
  call: { method: keyof PeerHandlers; params: unknown },
): Promise<Result<unknown, PeerFailure>> {
  const handler = handlers[call.method] as (params: unknown) => unknown;
  try {
    // Both ends get copies, as they would over a socket.
    return ok(structuredClone(await handler(structuredClone(call.params))));
  } catch (error) {
    return err({ kind: "refused", message: String(error) });
  }
}
