/** Decides where a stream that a caller resumes may continue. */
import { err, ok, type Result } from "neverthrow";
import type { ServiceName } from "../common/ids.ts";
import { type NotRun, notRun } from "../common/verdict.ts";
import type { RoutingContext } from "./context.ts";
import { chooseService } from "./queries/match_route.ts";
import type { StreamOrigin } from "./stream_origins.ts";
import type { Route, RoutedRequest, SoftwareVersion } from "./types.ts";
import { refusalOfMissingVersion } from "./verdicts.ts";

/** Retry delay while the VMs that know the origin of a stream can't be reached. */
const UNKNOWN_ORIGIN_RETRY_MS = 1_000;

/** Service of a request, and the software version that it is restricted to. */
export interface ServiceChoice {
  readonly service: ServiceName;
  /** Null for requests that any version may run. */
  readonly version: SoftwareVersion | null;
}

/**
 * Chooses the service of a request. A resumed stream stays at the service and the
 * software version that began it, and is refused if they are unknown or the route
 * no longer leads there.
 */
export async function chooseDestination(
  context: RoutingContext,
  { request, route, callServices }: {
    request: RoutedRequest;
    route: Route;
    /** Services that only routes without streams lead to. */
    callServices: ReadonlySet<ServiceName>;
  },
): Promise<Result<ServiceChoice, NotRun>> {
  if (route.kind !== "stream" || request.lastEventId === null) {
    return ok({ service: chooseService(route, request.id), version: null });
  }
  if (!route.resumable) return err(refusalOfResumption());
  const receivedAtMs = performance.now();
  const known = request.hop?.origin ??
    (request.resumes === null
      ? null
      : await context.origins.find(request.resumes));
  const origin = known ??
    await confirmOnlyOrigin(context, { callServices, receivedAtMs });
  context.observer.log({
    event: "stream-resumed",
    attempt: request.id,
    resumes: request.resumes ?? undefined,
    after: request.lastEventId,
    service: origin?.service,
    version: origin?.version,
    origin: known ? "known" : origin ? "only-version" : "unknown",
  });
  if (!origin) {
    return err(
      notRun("origin-unknown", { retryAfterMs: UNKNOWN_ORIGIN_RETRY_MS }),
    );
  }
  const isDestination = route.destinations.some(({ service }) =>
    service === origin.service
  );
  return isDestination ? ok(origin) : err(refusalOfMissingVersion());
}

// A new run would begin with the first event, which the caller has already.
function refusalOfResumption(): NotRun {
  return notRun("not-resumable", {
    detail: "The route's streams can't be resumed; send the request anew",
  });
}

// A VM that was cut off or paused may have missed the version that began the stream.
async function confirmOnlyOrigin(
  context: RoutingContext,
  { callServices, receivedAtMs }: {
    callServices: ReadonlySet<ServiceName>;
    receivedAtMs: number;
  },
): Promise<StreamOrigin | null> {
  if (!onlyPossibleOrigin(context, callServices)) return null;
  const isConfirmed = await context.origins.confirmPossible(receivedAtMs);
  return isConfirmed ? onlyPossibleOrigin(context, callServices) : null;
}

// The route may have led to any service with streams when the stream began.
function onlyPossibleOrigin(
  { origins }: RoutingContext,
  callServices: ReadonlySet<ServiceName>,
): StreamOrigin | null {
  const possible = origins.possibleOrigins() ?? [];
  const [origin, ...others] = possible.filter(({ service }) =>
    !callServices.has(service)
  );
  return origin && others.length === 0 ? origin : null;
}
