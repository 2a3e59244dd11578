/** Polls the engines of the shards that this VM is responsible for, once per second each. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import {
  dataCentresOfOtherRegions,
  planShards,
  shardHomeKey,
} from "../grants/queries/choose_shard.ts";
import type { ShardPlan } from "../grants/types.ts";
import type { Member, MembershipView } from "../membership/types.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import { rankShardHomes } from "./homes.ts";
import type { ReceivedReport, ReportListener, ReportsView } from "./types.ts";

const POLL_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 500;
/** Maximum number of VMs per shard: its home and those that take over from it. */
const MAX_HOMES = 3;

/** Options of {@link ReportsTask}. */
export interface ReportsTaskOptions {
  configuration: ConfigurationView;
  membership: MembershipView;
  /** Whether a VM answers on a fresh connection. */
  isReachable: (member: Member) => Promise<boolean>;
}

/** Polls load reports and passes them to the listeners. */
export class ReportsTask implements ReportsView, VmTask {
  #context: VmContext;
  #options: ReportsTaskOptions;
  #listeners = new Set<ReportListener>();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, options: ReportsTaskOptions) {
    this.#context = context;
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  onReport(listener: ReportListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Polls each engine of each shard that this VM is responsible for, once. */
  async poll(): Promise<void> {
    const { configuration, membership } = this.#options;
    const endpoints = configuration.current()?.bodies.endpoints ?? [];
    const otherRegions = dataCentresOfOtherRegions(membership);
    const models = new Set(endpoints.flatMap((one) => one.model ?? []));
    const shards = [...models].flatMap((model) =>
      planShards(endpoints, { model, excludedDataCentres: otherRegions })
    );
    await Promise.all(shards.map((shard) => this.#pollShard(shard)));
  }

  async #pollShard(shard: ShardPlan): Promise<void> {
    if (!await this.#isResponsibleFor(shard)) return;
    const endpoints = [...shard.prefills, ...shard.decodes];
    await Promise.all(
      endpoints.map((endpoint) => this.#pollEndpoint(endpoint)),
    );
  }

  /** A shard's home is responsible for it; while it doesn't answer, the next VM in the ranking is. */
  async #isResponsibleFor(shard: ShardPlan): Promise<boolean> {
    const { membership, isReachable } = this.#options;
    const ranked = rankShardHomes(membership, shardHomeKey(shard), MAX_HOMES);
    const ownRank = ranked.findIndex((member) =>
      member.id === membership.self.id
    );
    if (ownRank === -1) return false;
    const earlierReachable = await Promise.all(
      ranked.slice(0, ownRank).map(isReachable),
    );
    return !earlierReachable.includes(true);
  }

  async #pollEndpoint(endpoint: Endpoint): Promise<void> {
    const answer = await this.#context.ports.engines.report(endpoint, {
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (answer.isErr()) return;
    const report = answer.value;
    const received: ReceivedReport = {
      endpoint,
      report,
      takenAtMs: performance.now() - report.ageMs,
    };
    for (const listener of this.#listeners) listener(received);
  }
}
