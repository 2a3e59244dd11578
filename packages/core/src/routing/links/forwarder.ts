/** Sends requests on to VMs that have links to endpoints, while this VM has lost its own. */
import { err } from "neverthrow";
import type { ServiceName, VmId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { notRun } from "../../common/verdict.ts";
import { findOthers } from "../../membership/queries/find_others.ts";
import type { Member, MembershipView } from "../../membership/types.ts";
import { minimumBy } from "../queries/choose_endpoint.ts";
import type { StreamOrigin } from "../stream_origins.ts";
import type { TableExchange } from "../table_exchange.ts";
import type { LinkMonitor } from "./monitor.ts";
import type {
  ForwardedSend,
  ForwardedStream,
  ForwardFailure,
  ForwardPort,
  ForwardResult,
} from "./types.ts";

/** Maximum VMs tried for one request; most of them may have no links either. */
const MAX_PEERS = 40;
/** How long a VM that could not take a request is passed over. */
const PEER_COOLDOWN_MS = 2_000;
/**
 * Further VMs tried after one refused a request for its endpoints' limits: permits are
 * shared, but each VM asks for them at moments of its own. Without it, requests that
 * arrive by a hop get fewer permits than those that their VM receives directly.
 */
const MAX_LIMITED_RETRIES = 1;
/** Retry delay given to callers while no VM takes the request. */
const NO_PEER_RETRY_MS = 300;

/** A request to send on; `onStream` receives each attempt, so that it can be resumed. */
export interface ForwardRequest extends
  Omit<
    ForwardedSend,
    "hop" | "timeLeftMs" | "wholeMs" | "onTableVersion"
  > {
  readonly runs: number;
  /** Where a stream that is continued began; null for other requests. */
  readonly origin: StreamOrigin | null;
  /** How long the caller still waits, and the time until the request times out. */
  readonly leftMs: () => { readonly caller: number; readonly whole: number };
  readonly onStream?: (stream: ForwardedStream) => void;
}

/** Whether links are lost, and a way around them. */
export interface Forwarding {
  isLost(service: ServiceName): boolean;
  /** Waits until a check of the links to a service has ended, if there is one. */
  settled(service: ServiceName): Promise<void>;
  /** Sends a request on; `refused` as `no-links` if no VM takes it. */
  send(request: ForwardRequest): Promise<ForwardResult>;
}

/** Options of {@link Forwarder}. */
export interface ForwarderOptions {
  membership: Pick<MembershipView, "self" | "members">;
  links: Pick<LinkMonitor, "isLost" | "settled">;
  port: ForwardPort;
  /** Table versions of the other VMs. */
  tables: Pick<TableExchange, "servedVersion" | "mayServe" | "noteServed">;
  observer: Observer;
  random: () => number;
}

/** Spreads the requests that are sent on over the other VMs. */
export class Forwarder implements Forwarding {
  #options: ForwarderOptions;
  #inFlight = new Map<VmId, number>();
  #cooldownUntilMs = new Map<VmId, number>();

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  isLost(service: ServiceName): boolean {
    return this.#options.links.isLost(service);
  }

  settled(service: ServiceName): Promise<void> {
    return this.#options.links.settled(service);
  }

  async send(request: ForwardRequest): Promise<ForwardResult> {
    const tried = new Set<VmId>();
    let last: ForwardResult = err({
      kind: "refused",
      refusal: notRun("no-links", { retryAfterMs: NO_PEER_RETRY_MS }),
    });
    let limited: ForwardResult | null = null;
    let limitedCount = 0;
    while (tried.size < MAX_PEERS && request.leftMs().whole > 0) {
      const peer = this.#choose(tried);
      if (!peer) break;
      tried.add(peer.id);
      const { tables } = this.#options;
      const tableVersion = Math.max(
        request.request.tableVersion ?? 0,
        tables.servedVersion,
      );
      if (!await tables.mayServe(peer, tableVersion)) {
        this.#passOver(peer.id);
        continue;
      }
      last = await this.#sendTo(peer, request, tableVersion);
      if (last.isOk()) return last;
      if (isPeerFailure(last.error)) {
        this.#passOver(peer.id);
      }
      if (isLimited(last.error)) {
        limited ??= last;
        limitedCount += 1;
        if (limitedCount > MAX_LIMITED_RETRIES) return limited;
      } else if (!mayTryOther(last.error)) return last;
    }
    return limited ?? last;
  }

  async #sendTo(
    peer: Member,
    { runs, origin, leftMs, onStream, ...send }: ForwardRequest,
    tableVersion: number,
  ): Promise<ForwardResult> {
    const { membership, port, tables, observer } = this.#options;
    const { caller, whole } = leftMs();
    const startedMs = performance.now();
    this.#addInFlight(peer.id, 1);
    const stream = port.forward(peer, {
      ...send,
      hop: { from: membership.self.id, runs, origin, tableVersion },
      timeLeftMs: caller,
      wholeMs: whole,
      onTableVersion: (version) => tables.noteServed(peer.id, version),
    });
    onStream?.(stream);
    const result = await stream.ended;
    this.#addInFlight(peer.id, -1);
    const outcome = result.isOk() ? "answered" : result.error.kind;
    observer.count("forwards", outcome);
    observer.log({
      event: "request-forwarded",
      attempt: send.request.id,
      peer: peer.id,
      outcome,
      reason: result.isErr() && result.error.kind === "refused"
        ? result.error.refusal.reason
        : undefined,
      tookMs: Math.round(performance.now() - startedMs),
    });
    return result;
  }

  #passOver(id: VmId): void {
    this.#cooldownUntilMs.set(id, performance.now() + PEER_COOLDOWN_MS);
  }

  // A VM that is slow gets fewer requests, as its own stay open.
  #choose(tried: ReadonlySet<VmId>): Member | undefined {
    const { membership, random } = this.#options;
    const nowMs = performance.now();
    const isRested = ({ id }: Member) =>
      (this.#cooldownUntilMs.get(id) ?? -Infinity) <= nowMs;
    const live = findOthers(membership);
    const leaving = findOthers(membership, "leaving");
    const [best] = [
      live.filter(isRested),
      leaving.filter(isRested),
      live,
      leaving,
    ].map((others) => others.filter(({ id }) => !tried.has(id)))
      .filter((others) => others.length > 0);
    return minimumBy(
      best ?? [],
      ({ id }) => (this.#inFlight.get(id) ?? 0) + random(),
    );
  }

  #addInFlight(id: VmId, count: number): void {
    const inFlight = (this.#inFlight.get(id) ?? 0) + count;
    if (inFlight > 0) this.#inFlight.set(id, inFlight);
    else this.#inFlight.delete(id);
  }
}

// Refusals for other reasons hold at every VM.
function isPeerFailure(failure: ForwardFailure): boolean {
  if (failure.kind !== "refused") return failure.kind !== "aborted";
  const { reason } = failure.refusal;
  return reason === "no-links" || reason === "stopping" ||
    reason === "no-configuration" || reason === "unverified-key" ||
    reason === "no-memory" ||
    reason === "too-many-connections" || reason === "overloaded";
}

function isLimited(failure: ForwardFailure): boolean {
  return failure.kind === "refused" && failure.refusal.kind === "notRun" &&
    failure.refusal.reason === "endpoint-limited";
}

/** Whether another VM may be asked, as the one that failed so has not run the request. */
export function mayTryOther(failure: ForwardFailure): boolean {
  if (failure.kind === "notSent") return true;
  return failure.kind === "refused" && failure.refusal.kind === "notRun" &&
    isPeerFailure(failure);
}
