/** The stages of all services: one task and one measure of demand for each. */
import type { ServiceName } from "../../common/ids.ts";
import type { EnginePool } from "../types.ts";
import { type DemandSample, NO_DEMAND, StageDemand } from "./demand.ts";
import { StagesTask, type StagesTaskOptions } from "./task.ts";

/** Options of {@link ServiceStages}. */
export interface ServiceStagesOptions extends
  Omit<
    StagesTaskOptions,
    | "service"
    | "pool"
    | "demand"
    | "prefillTokensPerMs"
    | "hasLinks"
    | "longestRunMs"
  > {
  poolOf: (service: ServiceName) => EnginePool | null;
  /** Prompt tokens that a prefill endpoint of a service processes per millisecond. */
  prefillTokensPerMs: (service: ServiceName) => number;
  /** Tokens that a stream of a service generates per millisecond; null if not measured yet. */
  decodeTokensPerMs: (service: ServiceName) => number | null;
  hasLinksTo: (service: ServiceName) => boolean;
  /** How long an endpoint of a service may go on with the requests that it has begun. */
  longestRunMsAt: (service: ServiceName) => number;
}

/** Runs a task for each service with engines. */
export class ServiceStages {
  #options: ServiceStagesOptions;
  #stages = new Map<ServiceName, { demand: StageDemand; task: StagesTask }>();

  constructor(options: ServiceStagesOptions) {
    this.#options = options;
  }

  /**
   * Starts the tasks of the services that have none. Their home may be a VM that gets
   * no streams itself.
   */
  start(services: readonly ServiceName[]): void {
    for (const service of services) this.#stagesOf(service);
  }

  demandOf(service: ServiceName): StageDemand {
    return this.#stagesOf(service).demand;
  }

  /** Returns the demand at this VM, without creating a task. */
  sampleOf(service: ServiceName): DemandSample {
    return this.#stages.get(service)?.demand.sample() ?? NO_DEMAND;
  }

  /** Gives a service's orders in place of their home; returns false if this VM can't. */
  takeOver(service: ServiceName): boolean {
    return this.#stagesOf(service).task.takeOver();
  }

  stop(): void {
    for (const { task } of this.#stages.values()) task.stop();
  }

  #stagesOf(service: ServiceName): { demand: StageDemand; task: StagesTask } {
    const existing = this.#stages.get(service);
    if (existing) return existing;
    const {
      poolOf,
      prefillTokensPerMs,
      decodeTokensPerMs,
      hasLinksTo,
      longestRunMsAt,
      ...shared
    } = this.#options;
    const demand = new StageDemand({
      decodeTokensPerMs: () => decodeTokensPerMs(service),
      prefillTokensPerMs: () => prefillTokensPerMs(service),
    });
    const task = new StagesTask({
      ...shared,
      service,
      demand,
      pool: () => poolOf(service),
      prefillTokensPerMs: () => prefillTokensPerMs(service),
      hasLinks: () => hasLinksTo(service),
      longestRunMs: () => longestRunMsAt(service),
    });
    task.start();
    this.#stages.set(service, { demand, task });
    return { demand, task };
  }
}
