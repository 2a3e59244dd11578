/** Listens on loopback as an endpoint whose answers a test writes itself. */
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import { asId } from "@teaselvalve/core";
import type { EndpointEntry } from "@teaselvalve/core/routing";

/** Starts to listen; returns the endpoint's entry. */
export async function listenAsEndpoint(server: Server): Promise<EndpointEntry> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    id: asId("e1"),
    service: asId("readers"),
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    dataCentre: asId("north-a"),
    slots: 1,
    state: "ready",
    stage: null,
    softwareVersion: asId("v1"),
    bornAtMs: 1,
  };
}
