/** Chooses the replica of a plain service for a call. */
import type { Endpoint } from "../../configuration/types.ts";
import type { DataCentre, EndpointId, ServiceName } from "../../common/ids.ts";

/** Options of {@link chooseEndpoint}. */
export interface ChooseOptions {
  service: ServiceName;
  /** The data centre of this VM. */
  dataCentre: DataCentre;
  /** Replicas that were already tried for this call; they are excluded. */
  tried: ReadonlySet<EndpointId>;
  /**
   * Replicas that could not be connected to recently; they are used only if no
   * other is left.
   */
  avoided: ReadonlySet<EndpointId>;
  random: () => number;
}

/**
 * Picks a random live replica, preferably in this VM's data centre; undefined if
 * none is left.
 */
export function chooseEndpoint(
  endpoints: readonly Endpoint[],
  options: ChooseOptions,
): Endpoint | undefined {
  const usable = endpoints.filter((endpoint) =>
    endpoint.kind === "service" && endpoint.service === options.service &&
    endpoint.state === "live" && !options.tried.has(endpoint.id)
  );
  const preferred = usable.filter((endpoint) =>
    !options.avoided.has(endpoint.id)
  );
  const candidates = preferred.length > 0 ? preferred : usable;
  const local = candidates.filter((endpoint) =>
    endpoint.dataCentre === options.dataCentre
  );
  const pool = local.length > 0 ? local : candidates;
  return pool[Math.floor(options.random() * pool.length)];
}
