/** Prometheus metrics of one daemon. */
import {
  type CounterName,
  MEMORY_USES,
  type MemoryBudget,
} from "@teaselvalve/core";
import type {
  RequestPhase,
  RequestTimes,
  RouteKind,
} from "@teaselvalve/core/routing";
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { MemoryLimits } from "./memory.ts";
import type { TrafficCounter } from "./traffic.ts";
import type { Admission } from "../http/admission.ts";
import type { HttpComponent } from "../http/server.ts";
import { countUnaccepted } from "./unaccepted.ts";
import { WorkspaceMetrics } from "./workspace_metrics.ts";

const COUNTER_HELP: Record<CounterName, string> = {
  refusals: "Requests refused, by verdict and reason",
  retries: "Attempts repeated, by reason",
  stale_answers:
    "Parts of answers dropped because they did not match the attached attempt",
  cancels: "Runs cancelled at engines, by reason",
  claims: "Moves of call claims, by outcome",
  store_failures: "Failed calls to the platform, by kind",
  prefills_wasted: "Prefills whose result was not decoded, by reason",
  late_streams:
    "Streams that could not meet their target when they asked for an engine, by outcome",
  call_waits: "Calls that waited because all endpoints were full, by outcome",
  configuration_changes: "Changes of the configuration in force, by kind",
  suspicions: "Suspicions raised and cleared, by kind",
  convictions: "Requests convicted of crashing engines, by kind",
  vm_states: "Changes of the state of VMs in this one's view, by state",
  orders: "Orders to engines, by outcome",
  ejections: "Endpoints that rest after failures, by kind of failure",
  link_changes:
    "Checks of the links to a group of endpoints, by outcome, and links lost and back",
  listener_errors: "Errors of listeners, by interface and code",
  connection_faults:
    "Exceptions that ended one outgoing exchange, by event or callback",
  memory_warnings: "Warnings of memory near its limit, by limit",
  forwards: "Requests sent on to other VMs, by outcome",
  table_waits:
    "Requests of other VMs that waited for their routing table, by outcome",
  store_calls: "Calls to the platform's store, by call",
  store_returns:
    "Returns of the platform's store from an earlier copy, by what was done",
  quota_credit:
    "Requests charged to quotas of workspaces, refused over them or given back, and leases that expired",
  shard_choices:
    "Choices between shards of engines, by what decided (`load`, `size`)",
  broken_streams: "Answers cut after they had begun, by reason",
  stream_overruns:
    "Streams cut because they were longer than their request can have, by events or bytes",
};

const INTERFACE_GAUGES = {
  connections: { help: "Open connections, by interface", field: "connections" },
  requests_in_progress: {
    help: "Requests that have no complete answer yet, by interface",
    field: "requests",
  },
  streams: {
    help: "Answers that have begun and not ended, by interface",
    field: "streams",
  },
} as const;

const TIME_BUCKETS_MS = [
  5,
  20,
  50,
  100,
  200,
  300,
  500,
  900,
  1_500,
  3_000,
  8_000,
  15_000,
];

// Node measures event loop delay with a timer; the default of 10 ms wakes an idle daemon too often.
const EVENT_LOOP_PRECISION_MS = 200;

/** Registers and updates the metrics of one daemon. */
export class Metrics implements RequestTimes {
  readonly registry = new Registry();
  /** Counters of requests by workspace and priority. */
  readonly workspaces = new WorkspaceMetrics(this.registry);
  #requestTimes = new Histogram({
    name: "teaselvalve_request_ms",
    help: "Time that parts of requests took, by part and kind of route",
    labelNames: ["phase", "kind"],
    buckets: TIME_BUCKETS_MS,
    registers: [this.registry],
  });
  #counters = new Map<CounterName, Counter<"reason">>();

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
    for (const [name, help] of Object.entries(COUNTER_HELP)) {
      this.#counters.set(
        name as CounterName,
        new Counter({
          name: `teaselvalve_${name}_total`,
          help,
          labelNames: ["reason"],
          registers: [this.registry],
        }),
      );
    }
  }

  /** Exports the connections, requests and streams of interfaces, read at each scrape. */
  watchInterfaces(components: readonly HttpComponent[]): void {
    for (const [name, { help, field }] of Object.entries(INTERFACE_GAUGES)) {
      new Gauge({
        name: `teaselvalve_${name}`,
        help,
        labelNames: ["interface"],
        registers: [this.registry],
        collect() {
          for (const component of components) {
            this.set(
              { interface: component.name },
              component.activity()[field],
            );
          }
        },
      });
    }
  }

  /** Exports the limits of the memory, in bytes. */
  watchMemoryLimits(limits: MemoryLimits): void {
    const gauge = new Gauge({
      name: "teaselvalve_memory_limit_bytes",
      help: "Limits of the memory of the process and of its heap",
      labelNames: ["of"],
      registers: [this.registry],
    });
    for (const [of, limitBytes] of Object.entries(limits)) {
      if (limitBytes !== null) gauge.set({ of }, limitBytes);
    }
  }

  /** Exports what accepted messages hold of the memory, read at each scrape. */
  watchHeldMemory(memory: MemoryBudget): void {
    new Gauge({
      name: "teaselvalve_held_bytes",
      help: "Memory that is reserved for what the VM has accepted, by use",
      labelNames: ["use"],
      registers: [this.registry],
      collect() {
        for (const use of MEMORY_USES) {
          this.set({ use }, memory.usedBytes(use));
        }
      },
    });
    new Gauge({
      name: "teaselvalve_held_limit_bytes",
      help: "Limit of the memory that is reserved for what the VM has accepted",
      registers: [this.registry],
      collect() {
        this.set(memory.limitBytes);
      },
    });
  }

  /**
   * Exports how busy the event loop is with requests, and how many connections to the
   * interface at `address` the kernel holds for it, read at each scrape.
   */
  watchAdmission(admission: Admission, address: string): void {
    const gauges: Record<string, [help: string, read: () => number | null]> = {
      waiting_requests: [
        "Requests that were received and not begun",
        () => admission.waiting,
      ],
      begin_interval_ms: [
        "Average time between the begins of two requests while others waited",
        () => admission.intervalMs,
      ],
      longest_turn_ms: [
        "Longest turn of the event loop with requests since the last scrape",
        () => admission.takeLongestTurnMs(),
      ],
      busy: [
        "1 while requests are refused because there are too many",
        () => Number(admission.isBusy),
      ],
      unaccepted_connections: [
        "Connections of callers that the kernel has completed and nobody accepted",
        () => countUnaccepted(address),
      ],
    };
    for (const [name, [help, read]] of Object.entries(gauges)) {
      new Gauge({
        name: `teaselvalve_${name}`,
        help,
        registers: [this.registry],
        collect() {
          const value = read();
          if (value !== null) this.set(value);
        },
      });
    }
  }

  /** Exports socket and byte counts, read at each scrape. */
  watchTraffic(traffic: TrafficCounter): void {
    new Gauge({
      name: "teaselvalve_socket_bytes",
      help: "Bytes that sockets have carried since the start, below HTTP",
      labelNames: ["interface", "direction"],
      registers: [this.registry],
      collect() {
        for (const { label, receivedBytes, sentBytes } of traffic.totals()) {
          this.set({ interface: label, direction: "received" }, receivedBytes);
          this.set({ interface: label, direction: "sent" }, sentBytes);
        }
      },
    });
    new Gauge({
      name: "teaselvalve_sockets_opened",
      help: "Sockets that have been opened since the start",
      labelNames: ["interface"],
      registers: [this.registry],
      collect() {
        for (const { label, sockets } of traffic.totals()) {
          this.set({ interface: label }, sockets);
        }
      },
    });
  }

  /** Exports the age in milliseconds of each source of the VM's local view, read at each scrape. */
  watchViewAges(agesMs: () => Readonly<Record<string, number>>): void {
    new Gauge({
      name: "teaselvalve_belief_age_ms",
      help: "Time since the platform was last heard of a belief's source",
      labelNames: ["belief"],
      registers: [this.registry],
      collect() {
        for (const [belief, ageMs] of Object.entries(agesMs())) {
          this.set({ belief }, ageMs);
        }
      },
    });
  }

  /** Exports to how many groups of endpoints the VM has lost its links, read at each scrape. */
  watchLostLinks(lostGroups: () => number): void {
    new Gauge({
      name: "teaselvalve_lost_links",
      help: "Groups of endpoints (service and stage) that only other VMs reach",
      registers: [this.registry],
      collect() {
        this.set(lostGroups());
      },
    });
  }

  /** Records the duration of a request phase. */
  note(phase: RequestPhase, kind: RouteKind, tookMs: number): void {
    this.#requestTimes.observe({ phase, kind }, tookMs);
  }

  /** Increments a counter for a reason. */
  count(counter: CounterName, reason: string): void {
    this.#counters.get(counter)?.inc({ reason });
  }
}
