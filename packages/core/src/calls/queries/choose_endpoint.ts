/** Chooses the replica of a plain service that gets a call. */
import type { Endpoint } from "../../configuration/types.ts";
import type { DataCentre, EndpointId, ServiceName } from "../../common/ids.ts";

/** Options of {@link chooseEndpoint}. */
export interface ChooseOptions {
  service: ServiceName;
  dataCentre: DataCentre;
  /** Replicas that refused this call's connection. */
  tried: ReadonlySet<EndpointId>;
  /** Replicas that lately refused a connection; they are tried last. */
  avoided: ReadonlySet<EndpointId>;
  random: () => number;
}

/** Picks a live replica, in the own data centre where there is one; undefined when none is left. */
export function chooseEndpoint(
  endpoints: readonly Endpoint[],
  options: ChooseOptions,
): Endpoint | undefined {
  const usable = endpoints.filter((endpoint) =>
    endpoint.kind === "service" && endpoint.service === options.service &&
    endpoint.state === "live" && !options.tried.has(endpoint.id)
  );
  const well = usable.filter((endpoint) => !options.avoided.has(endpoint.id));
  const among = well.length > 0 ? well : usable;
  const near = among.filter((endpoint) =>
    endpoint.dataCentre === options.dataCentre
  );
  const from = near.length > 0 ? near : among;
  return from[Math.floor(options.random() * from.length)];
}
