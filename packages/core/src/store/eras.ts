/** Follows the era of a store by its answers. */
import type { Observer } from "../common/observe.ts";
import { NO_ERA, type StoreEra } from "./version.ts";

/** An era, and since when it is known. */
export interface KnownEra {
  readonly era: StoreEra;
  /** On the monotonic clock; minus infinity for {@link NO_ERA}. */
  readonly sinceMs: number;
}

/** Called with the era that has begun. */
export type EraListener = (era: StoreEra) => void;

/** The era of a store, as far as this VM knows. */
export interface StoreEras {
  readonly current: KnownEra;
  /** Calls the listener whenever a later era is noticed; returns a function that stops it. */
  onReturn(listener: EraListener): () => void;
}

/** Eras of a store that never goes back. */
export const SINGLE_ERA: StoreEras = {
  current: { era: NO_ERA, sinceMs: -Infinity },
  onReturn: () => () => {},
};

/** Notes the era of each answer of a store. */
export class EraTracker implements StoreEras {
  #observer: Observer;
  #current = SINGLE_ERA.current;
  #isKnown = false;
  #listeners = new Set<EraListener>();

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  get current(): KnownEra {
    return this.#current;
  }

  onReturn(listener: EraListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Notes the era that an answer names, if any. Returns the era that it belongs to, or
   * null if that has ended, so that the answer tells nothing about the store.
   */
  note(named: StoreEra | null): StoreEra | null {
    const { era } = this.#current;
    if (named === null || named === era) {
      this.#isKnown = true;
      return era;
    }
    if (named < era) {
      this.#observer.count("store_returns", "late-answer");
      return null;
    }
    this.#begin(named);
    return named;
  }

  #begin(era: StoreEra): void {
    const before = this.#current.era;
    this.#current = { era, sinceMs: performance.now() };
    const isFirst = !this.#isKnown;
    this.#isKnown = true;
    this.#observer.log({
      event: "store-era",
      level: isFirst ? "info" : "warn",
      era,
      before: isFirst ? undefined : before,
    });
    if (isFirst) return;
    this.#observer.count("store_returns", "noticed");
    for (const listener of [...this.#listeners]) listener(era);
  }
}
