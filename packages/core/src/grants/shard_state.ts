/** State of a shard at its home: its replicas and its open grants. */
import type { Endpoint } from "../configuration/types.ts";
import type { CacheEvent, LoadReport } from "../ports/engines.ts";
import type { EndpointId, GrantId, StreamId } from "../common/ids.ts";
import { DecodeReplica } from "./decode_replica.ts";
import { LengthEstimates } from "./output_lengths.ts";
import type { Placement } from "./policies/types.ts";
import { PrefillReplica } from "./prefill_replica.ts";
import { SpeedEstimates } from "./speeds.ts";
import type {
  GrantProgress,
  GrantRequest,
  HeldGrant,
  ShardPlan,
} from "./types.ts";

/** Delay between a grant and the start of its prefill at an idle replica. */
const ORDER_DELAY_MS = 1.5;

/** A grant that was issued and has not ended. */
export interface OpenGrant {
  readonly grant: GrantId;
  readonly request: GrantRequest;
  readonly prefill: EndpointId;
  readonly decode: EndpointId;
  readonly grantedAtMs: number;
  prefillEndedAtMs: number | undefined;
  decodeStartedAtMs: number | undefined;
}

/** A home's local view of its shard. All times are on the monotonic clock. */
export class ShardState {
  readonly speeds = new SpeedEstimates();
  readonly lengths = new LengthEstimates();
  #prefills = new Map<EndpointId, PrefillReplica>();
  #decodes = new Map<EndpointId, DecodeReplica>();
  #grants = new Map<GrantId, OpenGrant>();
  #prefillList: readonly PrefillReplica[] = [];
  #decodeList: readonly DecodeReplica[] = [];

  /** The prefill replicas of the current plan. */
  get prefills(): readonly PrefillReplica[] {
    return this.#prefillList;
  }

  /** The decode replicas of the current plan. */
  get decodes(): readonly DecodeReplica[] {
    return this.#decodeList;
  }

  /** Number of open grants. */
  get openGrantCount(): number {
    return this.#grants.size;
  }

  /** Adds and removes replicas to match a plan; those that stay keep their state. */
  setPlan(plan: ShardPlan): void {
    syncReplicas(
      this.#prefills,
      plan.prefills,
      (one) => new PrefillReplica(one),
    );
    syncReplicas(this.#decodes, plan.decodes, (one) => new DecodeReplica(one));
    this.#prefillList = [...this.#prefills.values()];
    this.#decodeList = [...this.#decodes.values()];
  }

  /** Records a grant and reserves its place at both replicas. */
  addGrant(
    placement: Placement,
    options: {
      grant: GrantId;
      request: GrantRequest;
      expectedTokens: number;
      transferDueAtMs: number;
      nowMs: number;
    },
  ): void {
    const { grant, request, nowMs } = options;
    const { prefill, decode, cachedTokens } = placement;
    const uncachedTokens = request.promptTokens - cachedTokens;
    this.#grants.set(grant, {
      grant,
      request,
      prefill: prefill.id,
      decode: decode.id,
      grantedAtMs: nowMs,
      prefillEndedAtMs: undefined,
      decodeStartedAtMs: undefined,
    });
    prefill.addJob({
      stream: request.stream,
      promptTokens: request.promptTokens,
      uncachedTokens,
      blocks: request.blocks,
      expectedMs: this.speeds.prefillMs.predict(uncachedTokens),
      transferMs: this.speeds.transferMs.predict(request.promptTokens),
      transferDueAtMs: options.transferDueAtMs,
      grantedAtMs: nowMs,
      isolated: request.alone,
      endedAtMs: undefined,
      linkShared: false,
    });
    decode.reserve({
      stream: request.stream,
      promptTokens: request.promptTokens,
      expectedTokens: options.expectedTokens,
      grantedAtMs: nowMs,
      isolated: request.alone,
      decodeStartedAtMs: undefined,
      generatedTokens: 0,
      generatedAtMs: nowMs,
    });
  }

  /**
   * Records a grant of an earlier home; returns false if it is known already or
   * one of its replicas is not in the plan.
   */
  register(held: HeldGrant, nowMs: number): boolean {
    const prefill = this.#prefills.get(held.prefill);
    const decode = this.#decodes.get(held.decode);
    if (!prefill || !decode || this.#grants.has(held.grant)) return false;
    const { request, grant, phase } = held;
    const placement: Placement = {
      prefill,
      decode,
      cachedTokens: 0,
      firstTokenMs: 0,
      delaysOthers: false,
    };
    const expectedTokens = this.lengths.estimateTokens(
      request.workspace,
      request.maxTokens,
    );
    this.addGrant(placement, {
      grant,
      request,
      expectedTokens,
      transferDueAtMs: Number.POSITIVE_INFINITY,
      nowMs,
    });
    if (phase !== "prefill") prefill.endPrefill(request.stream, nowMs);
    if (phase === "decode") {
      prefill.removeJob(request.stream, nowMs);
      decode.startDecode(request.stream, {
        nowMs,
        generatedTokens: held.generatedTokens,
      });
    }
    return true;
  }

  /** Applies an owner's progress message; returns the grant, or undefined if it isn't open. */
  applyProgress(
    id: GrantId,
    options: { progress: GrantProgress; nowMs: number },
  ): OpenGrant | undefined {
    const { progress, nowMs } = options;
    const grant = this.#grants.get(id);
    if (!grant) return undefined;
    if (progress.kind === "prefillEnded") this.#endPrefill(grant, nowMs);
    if (progress.kind === "decodeStarted") this.#startDecode(grant, nowMs);
    if (progress.kind === "ended") {
      if (progress.generatedTokens > 0) {
        const { workspace } = grant.request;
        this.lengths.observe(workspace, progress.generatedTokens);
      }
      this.#close(grant, nowMs);
    }
    if (progress.kind === "failed") {
      this.#prefills.get(progress.endpoint)?.recordFailure(nowMs);
      this.#decodes.get(progress.endpoint)?.recordFailure(nowMs);
      this.#close(grant, nowMs);
    }
    return grant;
  }

  /** Closes the grant of a withdrawn request; returns whether there was one. */
  closeByKey(key: GrantRequest["key"], nowMs: number): boolean {
    for (const grant of this.#grants.values()) {
      if (grant.request.key !== key) continue;
      this.#close(grant, nowMs);
      return true;
    }
    return false;
  }

  /** Applies a load report of one replica; ignores replicas outside the plan. */
  applyReport(report: LoadReport, nowMs: number): void {
    this.#prefills.get(report.endpoint)?.applyReport(report, nowMs);
    this.#decodes.get(report.endpoint)?.applyReport(report, {
      nowMs,
      onStep: (batchSize, stepMs) =>
        this.speeds.stepMs.observe(batchSize, stepMs),
    });
  }

  /** Records that a replica did not answer a poll; `isUnreachable` if no connection could be opened. */
  recordMissedPoll(endpoint: EndpointId, isUnreachable: boolean): void {
    this.#prefills.get(endpoint)?.recordMissedPoll(isUnreachable);
    this.#decodes.get(endpoint)?.recordMissedPoll(isUnreachable);
  }

  /** Sequence number of the last cache event applied for a prefill replica; 0 if none. */
  cacheSequence(endpoint: EndpointId): number {
    return this.#prefills.get(endpoint)?.hints.sequence ?? 0;
  }

  /** Applies cache events of a prefill replica. */
  applyCacheEvents(
    endpoint: EndpointId,
    options: { events: readonly CacheEvent[]; nowMs: number },
  ): void {
    this.#prefills.get(endpoint)?.hints.applyEvents(
      options.events,
      options.nowMs,
    );
  }

  /** Drops grants whose run is no longer at their decode replica. */
  dropLostGrants(): void {
    for (const [id, grant] of this.#grants) {
      const { stream } = grant.request;
      const isHeld = this.#decodes.get(grant.decode)?.hasRun(stream) ?? false;
      if (!isHeld) this.#grants.delete(id);
    }
  }

  #endPrefill(grant: OpenGrant, nowMs: number): void {
    const prefill = this.#prefills.get(grant.prefill);
    const stream: StreamId = grant.request.stream;
    grant.prefillEndedAtMs = nowMs;
    const previousEndMs = prefill?.lastEndMs ?? 0;
    const job = prefill?.endPrefill(stream, nowMs);
    if (!job) return;
    const startMs = Math.max(job.grantedAtMs + ORDER_DELAY_MS, previousEndMs);
    this.speeds.prefillMs.observe(job.uncachedTokens, nowMs - startMs);
  }

  #startDecode(grant: OpenGrant, nowMs: number): void {
    const { stream, promptTokens } = grant.request;
    grant.decodeStartedAtMs = nowMs;
    const job = this.#prefills.get(grant.prefill)?.removeJob(stream, nowMs);
    this.#decodes.get(grant.decode)?.startDecode(stream, {
      nowMs,
      generatedTokens: 0,
    });
    if (!job || job.linkShared || job.endedAtMs === undefined) return;
    this.speeds.transferMs.observe(promptTokens, nowMs - job.endedAtMs);
  }

  #close(grant: OpenGrant, nowMs: number): void {
    const { stream } = grant.request;
    this.#grants.delete(grant.grant);
    this.#prefills.get(grant.prefill)?.removeJob(stream, nowMs);
    this.#decodes.get(grant.decode)?.release(stream, nowMs);
  }
}

function syncReplicas<T extends { leavingByManifest: boolean }>(
  replicas: Map<EndpointId, T>,
  endpoints: readonly Endpoint[],
  create: (endpoint: Endpoint) => T,
): void {
  const plannedIds = new Set(endpoints.map((one) => one.id));
  for (const id of [...replicas.keys()]) {
    if (!plannedIds.has(id)) replicas.delete(id);
  }
  for (const endpoint of endpoints) {
    const replica = replicas.get(endpoint.id) ?? create(endpoint);
    replica.leavingByManifest = endpoint.state === "leaving";
    replicas.set(endpoint.id, replica);
  }
}
