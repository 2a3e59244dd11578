/** Bounds what an endpoint may send in a stream, by what its request can have. */
import { Buffer } from "node:buffer";
import { MAX_EVENT_BYTES, type RawEvent } from "./event_splitter.ts";
import type { PromptFields } from "./types.ts";

/** Events with data for each token; an event usually has one token or more. */
const EVENTS_PER_TOKEN = 2;
/** Further events with data, such as one that ends the stream. */
const EXTRA_EVENTS = 64;
/** Events with data that may say only that the stream goes on. */
const EXTRA_EVENTS_PER_S = 10;
const BYTES_PER_EVENT = 16 * 1_024;
/** Bytes of a stream whose request doesn't say how many tokens it wants. */
const UNKNOWN_LIMIT_BYTES = 64 * MAX_EVENT_BYTES;
const MS_PER_S = 1_000;
/**
 * A stream that breaks off so near its bounds may have been cut by a VM that it was sent
 * on to, which began to count later.
 */
const MARGIN_EVENTS = EXTRA_EVENTS_PER_S;
const MARGIN_BYTES = 128 * 1_024;
const DATA = "data";
const DATA_LINE = `\n${DATA}`;

/** What a stream went beyond. */
export type Overrun = "events" | "bytes";

/** Counts what one endpoint sends in a stream. */
export class StreamBound {
  readonly #maxTokens: number;
  readonly #beganAtMs = performance.now();
  readonly #limitBytes: number;
  #events = 0;
  #bytes = 0;
  #overrun: Overrun | null = null;
  #isUsedUp = false;

  /** Without a number of tokens, only bytes are bounded. */
  constructor(prompt: PromptFields | null) {
    this.#maxTokens = prompt?.maxOutputTokens ?? 0;
    this.#limitBytes = this.#maxTokens > 0
      ? MAX_EVENT_BYTES + BYTES_PER_EVENT * this.#fixedEvents()
      : UNKNOWN_LIMIT_BYTES;
  }

  /** What the stream went beyond; null if it is within its bounds. */
  get overrun(): Overrun | null {
    return this.#overrun;
  }

  /** Whether the stream came so near to its bounds that it is not to be continued. */
  get isUsedUp(): boolean {
    return this.#isUsedUp;
  }

  /** Adds bytes that arrived; returns false if the stream is beyond its bounds. */
  addBytes({ length }: Uint8Array): boolean {
    this.#bytes += length;
    if (this.#bytes > this.#limitBytes) this.#overrun ??= "bytes";
    if (this.#bytes + MARGIN_BYTES > this.#limitBytes) this.#isUsedUp = true;
    return this.#overrun === null;
  }

  /** Adds an event; returns false if the stream is beyond its bounds. */
  addEvent({ bytes }: RawEvent): boolean {
    if (this.#maxTokens > 0 && hasData(bytes)) {
      this.#events += 1;
      const limitEvents = this.#limitEvents();
      if (this.#events > limitEvents) this.#overrun ??= "events";
      if (this.#events + MARGIN_EVENTS > limitEvents) this.#isUsedUp = true;
    }
    return this.#overrun === null;
  }

  #fixedEvents(): number {
    return EVENTS_PER_TOKEN * this.#maxTokens + EXTRA_EVENTS;
  }

  #limitEvents(): number {
    const elapsedS = (performance.now() - this.#beganAtMs) / MS_PER_S;
    return this.#fixedEvents() + EXTRA_EVENTS_PER_S * elapsedS;
  }
}

// Comments and empty events have none.
function hasData(bytes: Buffer): boolean {
  return bytes.toString("latin1", 0, DATA.length) === DATA ||
    bytes.includes(DATA_LINE);
}
