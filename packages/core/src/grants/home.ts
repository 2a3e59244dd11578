/** The home of pool shards: reserves decode slots and names the prefill replica. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import { asId, type EndpointId, type GrantId } from "../shared/ids.ts";
import type { VmContext } from "../vm/types.ts";
import type { GrantsHandlers } from "./app.ts";
import type { GrantAnswer, GrantRequest } from "./types.ts";

const TOKENS_PER_PIECE = 32;

interface Reservation {
  readonly prefill: EndpointId;
  readonly decode: EndpointId;
  readonly memoryPieces: number;
}

/** Options of {@link GrantsHome}. */
export interface GrantsHomeOptions {
  configuration: ConfigurationView;
}

/** Owns the slot book of the shards that this VM is home for. */
export class GrantsHome {
  readonly handlers: GrantsHandlers = {
    "grants/request": (request) => Promise.resolve(this.#grant(request)),
    "grants/progress": ({ grant, progress }) => ({
      known: progress.kind === "ended" || progress.kind === "failed"
        ? this.#reservations.delete(grant)
        : this.#reservations.has(grant),
    }),
    "grants/withdraw": () => ({ known: false }),
  };
  #context: VmContext;
  #options: GrantsHomeOptions;
  #reservations = new Map<GrantId, Reservation>();
  #granted = 0;

  constructor(context: VmContext, options: GrantsHomeOptions) {
    this.#context = context;
    this.#options = options;
  }

  #grant(request: GrantRequest): GrantAnswer {
    const memoryPieces = Math.ceil(
      (request.promptTokens + request.maxTokens) / TOKENS_PER_PIECE,
    );
    const prefill = this.#leastLoaded(request, "prefill");
    const decode = this.#leastLoaded(request, "decode");
    if (!prefill || !decode) {
      return { kind: "refused", reason: "no-capacity", retryAfterMs: 1_000 };
    }
    this.#granted += 1;
    const grant: GrantId = asId(
      `${this.#context.identity.incarnation}-${this.#granted}`,
    );
    this.#reservations.set(grant, {
      prefill: prefill.id,
      decode: decode.id,
      memoryPieces,
    });
    return {
      kind: "granted",
      grant,
      prefill: prefill.id,
      decode: decode.id,
      startInMs: 0,
      cachedTokens: 0,
      memoryPieces,
    };
  }

  #leastLoaded(
    request: GrantRequest,
    kind: "prefill" | "decode",
  ): Endpoint | undefined {
    const endpoints = this.#options.configuration.current()?.bodies.endpoints;
    return (endpoints ?? [])
      .filter((endpoint) =>
        endpoint.kind === kind && endpoint.state === "live" &&
        endpoint.model === request.model &&
        !request.avoid.includes(endpoint.id)
      )
      .map((endpoint) => ({ endpoint, used: this.#used(endpoint.id) }))
      .filter(({ endpoint, used }) => used < endpoint.slots)
      .sort((a, b) => a.used - b.used)[0]?.endpoint;
  }

  #used(endpoint: EndpointId): number {
    return [...this.#reservations.values()].filter((one) =>
      one.prefill === endpoint || one.decode === endpoint
    ).length;
  }
}
