/** Types of the links from a VM to the endpoints, and of requests sent on to other VMs. */
import type { Result } from "neverthrow";
import type { EndpointId, ServiceName, VmId } from "../../common/ids.ts";
import type { Refusal } from "../../common/verdict.ts";
import type { PeerRef } from "../../ports/peers.ts";
import type {
  EndpointNotice,
  EndpointStream,
  SendFailure,
  StreamListener,
} from "../port.ts";
import type { StreamOrigin } from "../stream_origins.ts";
import type {
  AttemptId,
  EndpointIncarnation,
  RoutedRequest,
  Stage,
} from "../types.ts";

/** The endpoints of a service that have the same stage; null for plain services. */
export interface EndpointGroup {
  readonly service: ServiceName;
  readonly stage: Stage | null;
}

/** Peer methods for links. */
export interface LinkHandlers {
  /**
   * Returns an endpoint of a group that answers this VM, or has done so a moment ago;
   * null if none does. If an endpoint is given, it is called now, and others only if it
   * doesn't answer. With `failedAgoMs`, none is called: the answer names the endpoints
   * that answered a send of this VM which began after the failed ones of the other VM.
   */
  "routing/check-links": (
    params: EndpointGroup & {
      endpoint: EndpointId | null;
      failedAgoMs?: Readonly<Record<EndpointId, number>>;
    },
  ) => Promise<
    { reached: EndpointId | null; answered?: readonly EndpointId[] }
  >;
}

/** What a VM adds to a request that it sends on to another VM. */
export interface Hop {
  /** The VM that received the request from its caller. */
  readonly from: VmId;
  /** Number of endpoints that may already have run the request. */
  readonly runs: number;
  /** Where a stream that is continued began; null for other requests. */
  readonly origin: StreamOrigin | null;
  /**
   * Lowest version of the routing table under which the request may be served; absent
   * if a VM of an earlier build sent it.
   */
  readonly tableVersion?: number;
}

/** A request that is sent on to another VM. */
export interface ForwardedSend {
  readonly request: RoutedRequest;
  readonly hop: Hop;
  /** How long the caller still waits. */
  readonly timeLeftMs: number;
  /** Timeout for the whole answer. */
  readonly wholeMs: number;
  /** Id of the event after which a stream is to continue. */
  readonly lastEventId: string | null;
  /** The attempt that brought the first event of a resumed stream. */
  readonly resumes: AttemptId | null;
  readonly signal: AbortSignal;
  readonly listener: StreamListener;
  /** Called with the version of the table under which the other VM serves the request. */
  readonly onTableVersion?: (version: number) => void;
}

/** How a request that was sent on failed; `refused` by the other VM. */
export type ForwardFailure =
  | SendFailure
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Outcome of a request that was sent on, whose answer the listener has received. */
export type ForwardResult = Result<void, ForwardFailure>;

/** The answer to a request that was sent on. */
export interface ForwardedStream extends Omit<EndpointStream, "ended"> {
  readonly ended: Promise<ForwardResult>;
}

/** Receives what an answer over another VM says about the endpoint that gave it. */
export type ForwardedNoticeListener = (
  endpoint: EndpointIncarnation,
  notice: EndpointNotice,
) => void;

/** Sends requests of callers on to other VMs. The port itself never retries one. */
export interface ForwardPort {
  forward(peer: PeerRef, send: ForwardedSend): ForwardedStream;
}
