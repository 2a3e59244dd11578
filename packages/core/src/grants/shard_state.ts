/** The books of a shard's replicas, and the grants that fill them. */
import type { Endpoint } from "../configuration/types.ts";
import type { CacheEvent, LoadReport } from "../ports/engines.ts";
import type { EndpointId, GrantId, StreamId } from "../common/ids.ts";
import { DecodeReplica } from "./decode_replica.ts";
import { LengthEstimates } from "./lengths.ts";
import type { Placement } from "./policies/types.ts";
import { PrefillReplica } from "./prefill_replica.ts";
import { SpeedEstimates } from "./speeds.ts";
import type {
  GrantProgress,
  GrantRequest,
  HeldGrant,
  ShardPlan,
} from "./types.ts";

/** Time between a grant and the start of its prefill at an idle replica. */
const ORDER_MS = 1.5;

/** A grant that was given and has not ended. */
export interface OpenGrant {
  readonly grant: GrantId;
  readonly request: GrantRequest;
  readonly prefill: EndpointId;
  readonly decode: EndpointId;
  readonly grantedAtMs: number;
  prefillEndedAtMs: number | undefined;
  decodeStartedAtMs: number | undefined;
}

/** Keeps what a home knows of its shard's replicas. */
export class ShardState {
  readonly speeds = new SpeedEstimates();
  readonly lengths = new LengthEstimates();
  #prefills = new Map<EndpointId, PrefillReplica>();
  #decodes = new Map<EndpointId, DecodeReplica>();
  #grants = new Map<GrantId, OpenGrant>();
  #prefillList: readonly PrefillReplica[] = [];
  #decodeList: readonly DecodeReplica[] = [];

  /** Prefill replicas. */
  get prefills(): readonly PrefillReplica[] {
    return this.#prefillList;
  }

  /** Decode replicas. */
  get decodes(): readonly DecodeReplica[] {
    return this.#decodeList;
  }

  /** How many grants are open. */
  get openGrantCount(): number {
    return this.#grants.size;
  }

  /** Follows the manifest. */
  setPlan(plan: ShardPlan): void {
    follow(this.#prefills, plan.prefills, (one) => new PrefillReplica(one));
    follow(this.#decodes, plan.decodes, (one) => new DecodeReplica(one));
    this.#prefillList = [...this.#prefills.values()];
    this.#decodeList = [...this.#decodes.values()];
  }

  /** Enters a grant. */
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

  /** Enters a grant that an earlier home gave. */
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

  /** Follows a grant; gives it back when it was known. */
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

  /** Frees what a grant holds, when its caller is gone. */
  closeByKey(key: GrantRequest["key"], nowMs: number): boolean {
    for (const grant of this.#grants.values()) {
      if (grant.request.key !== key) continue;
      this.#close(grant, nowMs);
      return true;
    }
    return false;
  }

  /** Takes in a load report. */
  applyReport(report: LoadReport, nowMs: number): void {
    this.#prefills.get(report.endpoint)?.applyReport(report, nowMs);
    this.#decodes.get(report.endpoint)?.applyReport(report, {
      nowMs,
      onStep: (members, stepMs) => this.speeds.stepMs.observe(members, stepMs),
    });
  }

  /** Notes that a replica did not answer a poll. */
  recordMissedPoll(endpoint: EndpointId, isRefused: boolean): void {
    this.#prefills.get(endpoint)?.recordMissedPoll(isRefused);
    this.#decodes.get(endpoint)?.recordMissedPoll(isRefused);
  }

  /** The number of the last cache event that was taken in from a prefill replica. */
  cacheSequence(endpoint: EndpointId): number {
    return this.#prefills.get(endpoint)?.hints.sequence ?? 0;
  }

  /** Takes in cache events of a prefill replica. */
  applyCacheEvents(
    endpoint: EndpointId,
    options: { events: readonly CacheEvent[]; nowMs: number },
  ): void {
    this.#prefills.get(endpoint)?.hints.applyEvents(
      options.events,
      options.nowMs,
    );
  }

  /** Drops grants whose run the decode replica no longer holds. */
  dropLostGrants(): void {
    for (const [id, grant] of this.#grants) {
      const { stream } = grant.request;
      const held = this.#decodes.get(grant.decode)?.hasRun(stream) ?? false;
      if (!held) this.#grants.delete(id);
    }
  }

  #endPrefill(grant: OpenGrant, nowMs: number): void {
    const prefill = this.#prefills.get(grant.prefill);
    const stream: StreamId = grant.request.stream;
    grant.prefillEndedAtMs = nowMs;
    const freeAtMs = prefill?.lastEndMs ?? 0;
    const job = prefill?.endPrefill(stream, nowMs);
    if (!job) return;
    const startMs = Math.max(job.grantedAtMs + ORDER_MS, freeAtMs);
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

function follow<T extends { leavingByManifest: boolean }>(
  replicas: Map<EndpointId, T>,
  endpoints: readonly Endpoint[],
  create: (endpoint: Endpoint) => T,
): void {
  const named = new Set(endpoints.map((one) => one.id));
  for (const id of [...replicas.keys()]) {
    if (!named.has(id)) replicas.delete(id);
  }
  for (const endpoint of endpoints) {
    const replica = replicas.get(endpoint.id) ?? create(endpoint);
    replica.leavingByManifest = endpoint.state === "leaving";
    replicas.set(endpoint.id, replica);
  }
}
