/** Chooses endpoints for the streams of a service without engines, which reserve nothing. */
import { err, ok, type Result } from "neverthrow";
import type { ServiceName } from "../common/ids.ts";
import { type NotRun, notRun } from "../common/verdict.ts";
import { wait } from "../common/wait.ts";
import type { RoutingContext } from "./context.ts";
import type {
  DecodeRequest,
  DecodeReservation,
  StreamPlaces,
} from "./decode_reservation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { chooseEndpoint, chooseOptions } from "./queries/choose_endpoint.ts";
import { soonestPermitMs } from "./queries/soonest_permit.ts";
import {
  refusalOfLimit,
  refusalOfLinks,
  refusalOfMissingVersion,
} from "./verdicts.ts";
import { VersionWait } from "./version_wait.ts";

const NO_ENDPOINT_RETRY_MS = 200;
/** Spreads the retries of streams that were refused because of limits. */
const LIMIT_JITTER_MS = 1_000;

/** Interval at which it is found out whether a version has returned. */
const VERSION_POLL_MS = 40;

/**
 * Places at the plain endpoints of one service. A stream never waits for one, but only
 * for an endpoint of its software version to return.
 */
export class PlainPlaces implements StreamPlaces {
  #context: RoutingContext;
  #service: ServiceName;

  constructor(context: RoutingContext, options: { service: ServiceName }) {
    this.#context = context;
    this.#service = options.service;
  }

  async enqueue(
    request: DecodeRequest,
  ): Promise<Result<DecodeReservation, NotRun>> {
    const { forwarding } = this.#context;
    // Lost links may be why an earlier send has failed.
    if (request.avoid.size > 0) await forwarding.settled(this.#service);
    await this.#awaitVersion(request);
    if (request.signal.aborted) return err(notRun("cancelled"));
    const refusal = request.findRefusal();
    if (refusal) return err(refusal);
    if (forwarding.isLost(this.#service)) return err(refusalOfLinks());
    return this.#choose(request).map((endpoint) => ({
      endpoint,
      reservationId: null,
      load: { ...request.load },
      isForecast: false,
    }));
  }

  async #awaitVersion(request: DecodeRequest): Promise<void> {
    const { version, clock, signal, findRefusal } = request;
    if (version === null) return;
    const { endpoints, forwarding } = this.#context;
    const versionWait = new VersionWait();
    const isAwaited = () =>
      versionWait.check(endpoints, {
        service: this.#service,
        stage: null,
        version,
        spareMs: clock.leftMs(),
      }) === "awaited";
    while (isAwaited()) {
      if (signal.aborted || findRefusal()) return;
      if (forwarding.isLost(this.#service)) return;
      await wait(VERSION_POLL_MS);
    }
  }

  #choose({ avoid, version }: DecodeRequest): Result<EndpointRecord, NotRun> {
    const { endpoints, random } = this.#context;
    const nowMs = performance.now();
    const usable = endpoints.usable(this.#service, null).filter(({ entry }) =>
      version === null || entry.softwareVersion === version
    );
    if (usable.length === 0 && version !== null) {
      return err(refusalOfMissingVersion());
    }
    const permitMs = soonestPermitMs(usable, nowMs);
    if (permitMs > 0) {
      return err(refusalOfLimit(permitMs + LIMIT_JITTER_MS * random()));
    }
    const endpoint = chooseEndpoint(usable, {
      ...chooseOptions(this.#context),
      tried: avoid,
    });
    endpoint?.recentSends.add();
    return endpoint ? ok(endpoint) : err(
      notRun("no-endpoint", { retryAfterMs: NO_ENDPOINT_RETRY_MS }),
    );
  }
}
