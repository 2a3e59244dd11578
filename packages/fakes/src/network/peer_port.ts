/** The peer port between VMs in the same process. */
import type { PeerHandlers, PeerPort } from "@teaselvalve/core";
import { err } from "neverthrow";
import type { FakeNetwork, Host } from "./network.ts";
import { sendRequest } from "./request.ts";

/** Options of {@link createFakePeerPort}. */
export interface FakePeerPortOptions {
  network: FakeNetwork;
  from: Host;
  /** Handlers of the VMs that are up, by peer address; the address is the VM's host on the network. */
  handlers: ReadonlyMap<string, PeerHandlers>;
}

/** Gives one VM's way to its peers, itself included. */
export function createFakePeerPort(options: FakePeerPortOptions): PeerPort {
  return {
    call(peer, method, { params, timeoutMs, fresh }) {
      const handlers = options.handlers.get(peer.peerAddress);
      if (!handlers) return Promise.resolve(err({ kind: "notSent" }));
      const handler = handlers[method] as (params: unknown) => unknown;
      return sendRequest(options.network, {
        from: options.from,
        to: peer.peerAddress,
        timeoutMs,
        fresh,
        // Both ends get copies, as they would over a socket.
        effect: async () =>
          structuredClone(await handler(structuredClone(params))) as never,
      });
    },
  };
}
