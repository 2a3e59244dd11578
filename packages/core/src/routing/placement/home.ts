/**
 * Load state of a shard's engines, kept by the shard's home: the VM that
 * rendezvous hashing picks for the shard's key.
 *
 * Many VMs place streams on the same engines, and a VM's own streams say little
 * about an engine's total load. The state is a hint, held in memory and rebuilt
 * from new requests; the engine's answer to a reservation is authoritative.
 */
import type { EndpointId, VmId } from "../../common/ids.ts";

/** A VM's load report expires after this time unless a newer one replaces it. */
const LOAD_REPORT_TTL_MS = 3_000;

/** KV cache tokens that one VM's streams hold, by engine. */
export type VmLoads = readonly (readonly [EndpointId, number])[];

interface VmLoadReport {
  readonly tokens: ReadonlyMap<EndpointId, number>;
  /** Tokens of streams placed after the report and not included in it. */
  readonly placed: Map<EndpointId, number>;
  readonly atMs: number;
}

/** Holds the load state of the shards that one VM is home for. */
export class PlacementHome {
  #reports = new Map<VmId, VmLoadReport>();
  #busyUntilMs = new Map<EndpointId, number>();

  /** Records a VM's load report, which replaces its previous one. */
  noteLoads(vm: VmId, loads: VmLoads): void {
    const tokens = new Map(loads);
    const atMs = performance.now();
    this.#reports.set(vm, { tokens, placed: new Map(), atMs });
  }

  /**
   * Sorts decode engines by the tokens that streams hold there, fewest first,
   * and counts the new stream's tokens towards the first engine.
   */
  rankDecode(
    engines: readonly EndpointId[],
    options: { vm: VmId; tokens: number },
  ): EndpointId[] {
    const totals = this.#totals();
    const ranked = [...engines].sort((a, b) =>
      (totals.get(a) ?? 0) - (totals.get(b) ?? 0)
    );
    const [first] = ranked;
    const placed = this.#reports.get(options.vm)?.placed;
    if (first && placed) {
      placed.set(first, (placed.get(first) ?? 0) + options.tokens);
    }
    return ranked;
  }

  /**
   * Chooses the prefill engine whose queue ends first, `extraMs` included, and
   * adds the prompt to that queue. `waitMs` is the time until the engine starts
   * on the prompt, `readMs` the expected duration of the prefill. Returns null for
   * an empty list.
   */
  choosePrefill(
    engines: readonly EndpointId[],
    options: { readMs: number; extraMs: (engine: EndpointId) => number },
  ): { engine: EndpointId; waitMs: number } | null {
    const nowMs = performance.now();
    const freeAtMs = (engine: EndpointId) =>
      Math.max(nowMs, this.#busyUntilMs.get(engine) ?? 0);
    let best: EndpointId | null = null;
    let bestMs = Infinity;
    for (const engine of engines) {
      const startMs = freeAtMs(engine) + options.extraMs(engine);
      if (startMs >= bestMs) continue;
      best = engine;
      bestMs = startMs;
    }
    if (best === null) return null;
    const waitMs = freeAtMs(best) - nowMs;
    this.#busyUntilMs.set(best, freeAtMs(best) + options.readMs);
    return { engine: best, waitMs };
  }

  #totals(): Map<EndpointId, number> {
    const totals = new Map<EndpointId, number>();
    const oldestMs = performance.now() - LOAD_REPORT_TTL_MS;
    const add = (engine: EndpointId, tokens: number) =>
      totals.set(engine, (totals.get(engine) ?? 0) + tokens);
    for (const [vm, report] of this.#reports) {
      if (report.atMs < oldestMs) {
        this.#reports.delete(vm);
        continue;
      }
      for (const [engine, tokens] of report.tokens) add(engine, tokens);
      for (const [engine, tokens] of report.placed) add(engine, tokens);
    }
    return totals;
  }
}
