/**
 * The book of a shard's engines at the VM that is home for it.
 *
 * Made for many VMs that place streams on the same engines: what each knows of
 * its own streams says little of an engine's load. The book is a hint, kept in
 * memory and rebuilt by use; an engine's own answer to a reservation decides.
 */
import type { EndpointId, VmId } from "../../common/ids.ts";

/** What a VM said of its streams is forgotten after this time without news. */
const LOAD_REPORT_TTL_MS = 3_000;

/** Memory that one VM's streams take, by engine. */
export type VmLoads = readonly (readonly [EndpointId, number])[];

interface VmLoadReport {
  readonly tokens: ReadonlyMap<EndpointId, number>;
  /** Placed since the report, and not yet part of it. */
  readonly placed: Map<EndpointId, number>;
  readonly atMs: number;
}

/** Owns the books of one VM. */
export class PlacementHome {
  #reports = new Map<VmId, VmLoadReport>();
  #busyUntilMs = new Map<EndpointId, number>();

  /** Takes what a VM says of its streams; it replaces what it said before. */
  noteLoads(vm: VmId, loads: VmLoads): void {
    const tokens = new Map(loads);
    const atMs = performance.now();
    this.#reports.set(vm, { tokens, placed: new Map(), atMs });
  }

  /** Orders decode engines by the memory that streams take there, the least first. */
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

  /** Chooses the prefill engine that has read what it was given first, and gives it the prompt. */
  choosePrefill(
    engines: readonly EndpointId[],
    options: { readMs: number; extraMs: (engine: EndpointId) => number },
  ): { engine: EndpointId; waitMs: number } | null {
    const nowMs = performance.now();
    const freeAt = (engine: EndpointId) =>
      Math.max(nowMs, this.#busyUntilMs.get(engine) ?? 0);
    let best: EndpointId | null = null;
    let bestMs = Infinity;
    for (const engine of engines) {
      const atMs = freeAt(engine) + options.extraMs(engine);
      if (atMs >= bestMs) continue;
      best = engine;
      bestMs = atMs;
    }
    if (best === null) return null;
    const waitMs = freeAt(best) - nowMs;
    this.#busyUntilMs.set(best, freeAt(best) + options.readMs);
    return { engine: best, waitMs };
  }

  #totals(): Map<EndpointId, number> {
    const totals = new Map<EndpointId, number>();
    const sinceMs = performance.now() - LOAD_REPORT_TTL_MS;
    const add = (engine: EndpointId, tokens: number) =>
      totals.set(engine, (totals.get(engine) ?? 0) + tokens);
    for (const [vm, report] of this.#reports) {
      if (report.atMs < sinceMs) {
        this.#reports.delete(vm);
        continue;
      }
      for (const [engine, tokens] of report.tokens) add(engine, tokens);
      for (const [engine, tokens] of report.placed) add(engine, tokens);
    }
    return totals;
  }
}
