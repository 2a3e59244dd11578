/**
 * Protects the endpoints, together with the other VMs: from requests that crash
 * them, and from more requests than they accept. Watches the links to them.
 */
import type { ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type {
  Member,
  MembershipView,
  ViewChanges,
} from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import { CrashExchange, type CrashHandlers } from "./crashes/exchange.ts";
import {
  type CrashTable,
  LastingEvidence,
} from "./crashes/lasting_evidence.ts";
import { CrashTracker } from "./crashes/tracker.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import { LinkMonitor } from "./links/monitor.ts";
import type { LinkHandlers } from "./links/types.ts";
import { ObservedEndpointPort } from "./links/observed_port.ts";
import {
  EndpointLimits,
  type LimitHandlers,
} from "./limits/endpoint_limits.ts";
import { LimitedEndpointPort } from "./limits/limited_port.ts";
import {
  checkConnection,
  type EndpointNotice,
  type NoticeListener,
  type RoutedEndpointPort,
} from "./port.ts";
import type { LocalRoutingView } from "./queries/local_view.ts";
import type { EndpointEntry, EndpointIncarnation } from "./types.ts";

/** The home of this key writes the evidence on crashes to the store. */
const EVIDENCE_HOME_KEY = "crash-evidence";

/** Options of {@link EndpointGuard}. */
export interface EndpointGuardOptions {
  membership: MembershipView & ViewChanges;
  peers: PeerPort;
  /** Creates the port to the endpoints; the listener is called for each answer. */
  calls: (listener: NoticeListener) => RoutedEndpointPort;
  endpoints: () => EndpointRegistry;
  /** Path at which the endpoints of a service report their health; null if there is none. */
  healthPathOf: (service: ServiceName) => string | null;
  /** Where evidence on crashes outlasts the VMs. */
  crashTable: CrashTable;
  observer: Observer;
  random: () => number;
}

/** Owns the evidence on crashes and links, and the permits, of one VM. */
export class EndpointGuard {
  /** Port to the endpoints that keeps their limits. */
  readonly calls: RoutedEndpointPort;
  readonly crashes: CrashTracker;
  readonly links: LinkMonitor;
  /** Peer methods for crashes, permits and links. */
  readonly handlers: CrashHandlers & LimitHandlers & LinkHandlers;
  #options: EndpointGuardOptions;
  #limits: EndpointLimits;
  #exchange: CrashExchange;
  #lasting: LastingEvidence;

  constructor(options: EndpointGuardOptions) {
    this.#options = options;
    const { membership, calls, observer } = options;
    this.#limits = new EndpointLimits({
      ...options,
      onPause: (entry, untilMs) => this.#notePause(entry, untilMs),
    });
    membership.onChange(() => {
      this.#limits.home.noteViewChange();
      this.#lasting.noteChange();
    });
    this.links = new LinkMonitor({
      ...options,
      port: () => this.calls,
      isLimited: (entry) => this.#limits.isLimited(entry),
    });
    this.calls = new LimitedEndpointPort(
      new ObservedEndpointPort(
        calls((entry, notice) => this.#note(entry, notice)),
        this.links,
      ),
      this.#limits,
    );
    this.#exchange = new CrashExchange({
      ...options,
      tracker: () => this.crashes,
    });
    this.#lasting = new LastingEvidence({
      table: options.crashTable,
      evidence: () => this.crashes.evidence,
      addReports: (reports) => this.crashes.addReports(reports),
      isHome: () =>
        membership.homeOf(EVIDENCE_HOME_KEY).id === membership.self.id,
      observer,
    });
    this.crashes = new CrashTracker({
      observer,
      onChange: (change) => {
        this.#exchange.announce(change);
        this.#lasting.noteChange();
      },
      check: (entry) =>
        checkConnection(this.calls, entry, {
          onRestart: (answer) =>
            options.endpoints().noteRestarted(entry, answer),
        }),
      confirmLinks: (entry) => this.links.confirmLinks(entry),
      claimTrial: (trait, intervalMs) =>
        this.#exchange.claimTrial(trait, intervalMs),
    });
    this.links.onChange((group, isLost) => {
      if (isLost) this.crashes.discountLosses(group);
    });
    this.handlers = {
      ...this.#exchange.handlers,
      ...this.#limits.handlers,
      ...this.links.handlers,
    };
  }

  /** Reads the evidence on crashes that earlier VMs stored. */
  start(): void {
    this.#lasting.start();
  }

  /** Records that the store has come back from an earlier copy. */
  noteStoreReturn(delayMs: number): void {
    this.#lasting.noteReturn(delayMs);
  }

  /** Hash of the evidence on crashes, for the probes of other VMs. */
  get evidenceHash(): number {
    return this.crashes.evidence.hash;
  }

  /** Records a probe, or an answer to one; fetches evidence that this VM lacks. */
  noteProbe(peer: Member | undefined, evidenceHash: number | undefined): void {
    this.#limits.home.noteContact();
    if (!peer || evidenceHash === undefined) return;
    void this.#exchange.compare(peer, evidenceHash);
  }

  /** Records that an endpoint went missing, restarted or lost its address. */
  noteEndpointEnd(entry: EndpointEntry): void {
    this.crashes.noteEnd(entry);
  }

  /** Records what an answer that came over another VM says about its endpoint. */
  noteForwarded(endpoint: EndpointIncarnation, notice: EndpointNotice): void {
    const entry = this.#options.endpoints().entryOf(endpoint);
    if (entry) this.#note(entry, notice);
  }

  #note(entry: EndpointEntry, notice: EndpointNotice): void {
    if (notice.isLeaving) this.#options.endpoints().noteLeaving(entry);
    this.#limits.note(entry, notice);
  }

  // Placement and queues pass the endpoint over before a send is denied.
  #notePause(entry: EndpointEntry, untilMs: number): void {
    const record = this.#options.endpoints().get(entry.id);
    if (record?.entry.bornAtMs === entry.bornAtMs) record.noteLimited(untilMs);
  }

  /** Lists what is quarantined, for operators. */
  describeQuarantines(): LocalRoutingView["quarantined"] {
    return [...this.crashes.evidence.culprits.values()].map(
      ({ id, crashes }) => ({ trait: id, crashes }),
    );
  }

  stop(): void {
    this.#exchange.stop();
    this.#lasting.stop();
    this.links.stop();
  }
}
