/** The rate limits that endpoints name in their answers. */
import type { Observer } from "../../common/observe.ts";
import type { EndpointNotice } from "../port.ts";
import {
  type EndpointEntry,
  type EndpointIncarnation,
  incarnationOf,
} from "../types.ts";

/** Keeps the limits that endpoints have named to this VM. */
export class EndpointLimits {
  #observer: Observer;
  #limits = new Map<
    EndpointIncarnation,
    { limitPerSecond: number; namedIn: Set<string>; atMs: number }
  >();

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Records what an answer says about its endpoint. */
  note(entry: EndpointEntry, notice: EndpointNotice): void {
    const { limitPerSecond, answerKind, sentAtMs } = notice;
    const endpoint = incarnationOf(entry);
    const before = this.#limits.get(endpoint);
    if (limitPerSecond === null) {
      // Answers to calls that were sent before a limit was named say nothing about it.
      const isEnd = before?.namedIn.has(answerKind) && before.atMs < sentAtMs;
      if (!isEnd) return;
      this.#limits.delete(endpoint);
    } else {
      const namedIn = (before?.namedIn ?? new Set()).add(answerKind);
      const atMs = performance.now();
      this.#limits.set(endpoint, { limitPerSecond, namedIn, atMs });
    }
    if (before?.limitPerSecond === limitPerSecond) return;
    this.#observer.log({
      event: "endpoint-limit",
      endpoint: entry.id,
      limitPerSecond: limitPerSecond ?? "none",
    });
  }
}
