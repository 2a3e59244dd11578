/** Counters and gauges of one daemon. */
import type { CounterName } from "@teaselvalve/core";
import { collectDefaultMetrics, Counter, Registry } from "prom-client";

const HELP: Record<CounterName, string> = {
  refusals: "Requests refused, by verdict and reason",
  retries: "Attempts repeated, by reason",
  stale_answers:
    "Parts of answers dropped because they did not match the attached attempt",
  cancels: "Runs cancelled at engines, by reason",
  claims: "Moves of call claims, by outcome",
  store_failures: "Failed calls to the platform, by kind",
  prefills_wasted: "Prefills whose result was not decoded, by reason",
  configuration_changes: "Changes of the configuration in force, by kind",
  suspicions: "Suspicions raised and cleared, by kind",
  convictions: "Requests convicted of crashing engines, by kind",
  vm_states: "Changes of the state of VMs in this one's view, by state",
  orders: "Orders to engines, by outcome",
};

/** Owns a daemon's registry of metrics. */
export class Metrics {
  readonly registry = new Registry();
  #counters = new Map<CounterName, Counter<"reason">>();

  constructor() {
    collectDefaultMetrics({ register: this.registry });
    for (const [name, help] of Object.entries(HELP)) {
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

  /** Adds one to a counter under a reason. */
  count(counter: CounterName, reason: string): void {
    this.#counters.get(counter)?.inc({ reason });
  }
}
