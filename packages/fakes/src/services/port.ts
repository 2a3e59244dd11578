/** Service port to fake plain services in the same process. */
import type { ServicePort } from "@teaselvalve/core";
import { err } from "neverthrow";
import type { FakeNetwork, Host } from "../network/network.ts";
import { sendRequest } from "../network/request.ts";
import type { PlainService } from "./plain_service.ts";

/** Options of {@link createFakeServicePort}. */
export interface FakeServicePortOptions {
  network: FakeNetwork;
  from: Host;
  /** Services by address; an address is also the service's host on the network. */
  services: ReadonlyMap<string, PlainService>;
}

/** Creates the service port of one VM; each call opens a new connection. */
export function createFakeServicePort(
  options: FakeServicePortOptions,
): ServicePort {
  return {
    call(endpoint, request, { timeoutMs }) {
      const service = options.services.get(endpoint.address);
      if (!service) return Promise.resolve(err({ kind: "notSent" }));
      return sendRequest(options.network, {
        from: options.from,
        to: endpoint.address,
        timeoutMs,
        fresh: true,
        execute: () => service.call(request),
      });
    },
  };
}
