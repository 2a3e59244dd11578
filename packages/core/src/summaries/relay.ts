/**
 * Relays an answer to the caller: each token once and in order, also when a new
 * run generates the answer again.
 */
import type { StreamEvent } from "../ports/engines.ts";
import type { Refusal } from "../common/verdict.ts";
import type { SummarySink } from "./types.ts";

type TokensEvent = Extract<StreamEvent, { kind: "tokens" }>;
type EndEvent = Extract<StreamEvent, { kind: "end" }>;

/**
 * Result of relaying an event. `sent`: new tokens or the end were sent. `held`:
 * a new run made progress, but only with tokens that the caller already has.
 * `stale`: the event is older than what was sent. `gap`: tokens are missing
 * before it. `diverged`: the answer differs from the text that was sent.
 */
export type RelayOutcome = "sent" | "held" | "stale" | "gap" | "diverged";

/** Options of {@link AnswerRelay}. */
export interface AnswerRelayOptions {
  sink: SummarySink;
  fromOffset: number;
  /** Whether tokens that begin at `offset` are the next ones for the caller. */
  isNext: (offset: number, nextOffset: number) => boolean;
}

/** Sends one answer to its caller and keeps track of the tokens sent. */
export class AnswerRelay {
  #sink: SummarySink;
  #isNext: AnswerRelayOptions["isNext"];
  #nextOffset: number;
  /**
   * Tokens sent, from the first one; null when unknown, as the caller resumed.
   */
  #sentTexts: string[] | null;
  /** Tokens of a new run that repeat those already sent. */
  #repeatedTexts: string[] | null = null;
  #ended = false;

  constructor(options: AnswerRelayOptions) {
    this.#sink = options.sink;
    this.#isNext = options.isNext;
    this.#nextOffset = options.fromOffset;
    this.#sentTexts = options.fromOffset === 0 ? [] : null;
  }

  /** Offset of the next token to send to the caller. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Offset of the next token that the engine should send. */
  get attachOffset(): number {
    return this.#repeatedTexts ? this.#repeatedTexts.length : this.#nextOffset;
  }

  /**
   * Whether a new run may continue the answer: nothing was sent yet, or the text
   * sent is known and can be compared.
   */
  get canRestart(): boolean {
    return this.#nextOffset === 0 || this.#sentTexts !== null;
  }

  /** True once the caller has its last event. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Switches to a newer connection and refuses the older one. */
  reconnect(
    next: { sink: SummarySink; fromOffset: number },
    refusal: Refusal,
  ): void {
    this.refuse(refusal);
    this.#ended = false;
    this.#sink = next.sink;
    const { fromOffset } = next;
    if (this.#sentTexts && fromOffset <= this.#sentTexts.length) {
      this.#sentTexts.length = fromOffset;
    } else this.#sentTexts = fromOffset === 0 ? [] : null;
    if (this.#repeatedTexts && this.#repeatedTexts.length > fromOffset) {
      this.#repeatedTexts = null;
    }
    this.#nextOffset = fromOffset;
  }

  /**
   * Prepares for a new run, which begins at its first token. Tokens that were
   * already sent are compared, not sent again.
   */
  restart(): void {
    this.#repeatedTexts = this.#nextOffset > 0 ? [] : null;
  }

  /** Relays those tokens of the event that the caller doesn't have yet. */
  relayTokens(event: TokensEvent): RelayOutcome {
    if (this.#ended) return "stale";
    if (this.#repeatedTexts) return this.#compare(event, this.#repeatedTexts);
    if (this.#isNext(event.offset, this.#nextOffset)) {
      return this.#send(event);
    }
    if (event.offset > this.#nextOffset) return "gap";
    const alreadySent = this.#nextOffset - event.offset;
    if (alreadySent >= event.texts.length) return "stale";
    return this.#send({
      kind: "tokens",
      offset: this.#nextOffset,
      texts: event.texts.slice(alreadySent),
    });
  }

  /** Relays the end of the answer, once all its tokens were sent. */
  relayEnd(event: EndEvent): RelayOutcome {
    if (this.#ended) return "stale";
    if (this.#repeatedTexts) return "diverged";
    if (event.totalTokens > this.#nextOffset) return "gap";
    if (event.totalTokens < this.#nextOffset) return "diverged";
    this.#ended = true;
    this.#sink(event);
    return "sent";
  }

  /** Ends the answer with a refusal. */
  refuse(refusal: Refusal): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#sink({ kind: "refused", refusal });
  }

  /** Stops sending, for example after the caller has disconnected. */
  close(): void {
    this.#ended = true;
  }

  #send(event: TokensEvent): RelayOutcome {
    this.#nextOffset = event.offset + event.texts.length;
    this.#sentTexts?.push(...event.texts);
    this.#sink(event);
    return "sent";
  }

  #compare(event: TokensEvent, repeated: string[]): RelayOutcome {
    if (event.offset > repeated.length) return "gap";
    const newTexts = event.texts.slice(repeated.length - event.offset);
    const missing = this.#nextOffset - repeated.length;
    repeated.push(...newTexts.slice(0, missing));
    if (repeated.length < this.#nextOffset) return "held";
    // Token boundaries may differ between runs, but the text must be the same.
    if (repeated.join("") !== this.#sentTexts?.join("")) return "diverged";
    this.#repeatedTexts = null;
    if (newTexts.length <= missing) return "held";
    return this.#send({
      kind: "tokens",
      offset: this.#nextOffset,
      texts: newTexts.slice(missing),
    });
  }
}
