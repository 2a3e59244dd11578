/** Passes an answer's tokens to the caller: each token once, in order, of one text. */
import type { StreamEvent } from "../ports/engines.ts";
import type { Refusal } from "../common/verdict.ts";
import type { SummarySink } from "./types.ts";

type TokensEvent = Extract<StreamEvent, { kind: "tokens" }>;
type EndEvent = Extract<StreamEvent, { kind: "end" }>;

/**
 * What became of an event. `gap`: tokens are missing before it. `diverged`: a
 * new run's text differs from what the caller already has.
 */
export type RelayOutcome = "sent" | "held" | "stale" | "gap" | "diverged";

/** Options of {@link AnswerRelay}. */
export interface AnswerRelayOptions {
  sink: SummarySink;
  fromOffset: number;
  /** Whether tokens from an offset are those that the caller needs next. */
  isNext: (offset: number, nextOffset: number) => boolean;
}

/** Owns the caller's end of one answer. */
export class AnswerRelay {
  #sink: SummarySink;
  #isNext: AnswerRelayOptions["isNext"];
  #nextOffset: number;
  /** Tokens sent, from the first on; null when the caller resumed and they are unknown. */
  #sent: string[] | null;
  /** Tokens of a new run that repeat what was sent. */
  #repeated: string[] | null = null;
  #ended = false;

  constructor(options: AnswerRelayOptions) {
    this.#sink = options.sink;
    this.#isNext = options.isNext;
    this.#nextOffset = options.fromOffset;
    this.#sent = options.fromOffset === 0 ? [] : null;
  }

  /** Offset of the next token that the caller needs. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Offset of the next token that the engine should send. */
  get attachOffset(): number {
    return this.#repeated ? this.#repeated.length : this.#nextOffset;
  }

  /** Whether a new run's text can be compared with what was sent. */
  get canRestart(): boolean {
    return this.#nextOffset === 0 || this.#sent !== null;
  }

  /** True once the caller has its last event. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Serves a newer connection; the older one is closed. */
  reconnect(
    next: { sink: SummarySink; fromOffset: number },
    refusal: Refusal,
  ): void {
    this.refuse(refusal);
    this.#ended = false;
    this.#sink = next.sink;
    const { fromOffset } = next;
    if (this.#sent && fromOffset <= this.#sent.length) {
      this.#sent.length = fromOffset;
    } else this.#sent = fromOffset === 0 ? [] : null;
    if (this.#repeated && this.#repeated.length > fromOffset) {
      this.#repeated = null;
    }
    this.#nextOffset = fromOffset;
  }

  /** A new run begins at its first token; what was sent is compared, not sent again. */
  restart(): void {
    this.#repeated = this.#nextOffset > 0 ? [] : null;
  }

  /** Takes tokens from the engine. */
  relayTokens(event: TokensEvent): RelayOutcome {
    if (this.#ended) return "stale";
    if (this.#repeated) return this.#compare(event, this.#repeated);
    if (this.#isNext(event.offset, this.#nextOffset)) {
      return this.#send(event);
    }
    if (event.offset > this.#nextOffset) return "gap";
    const known = this.#nextOffset - event.offset;
    if (known >= event.texts.length) return "stale";
    return this.#send({
      kind: "tokens",
      offset: this.#nextOffset,
      texts: event.texts.slice(known),
    });
  }

  /** Takes the end of the answer. */
  relayEnd(event: EndEvent): RelayOutcome {
    if (this.#ended) return "stale";
    if (this.#repeated) return "diverged";
    if (event.totalTokens > this.#nextOffset) return "gap";
    if (event.totalTokens < this.#nextOffset) return "diverged";
    this.#ended = true;
    this.#sink(event);
    return "sent";
  }

  /** Ends with a refusal. */
  refuse(refusal: Refusal): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#sink({ kind: "refused", refusal });
  }

  /** The caller is gone; nothing more is sent. */
  close(): void {
    this.#ended = true;
  }

  #send(event: TokensEvent): RelayOutcome {
    this.#nextOffset = event.offset + event.texts.length;
    this.#sent?.push(...event.texts);
    this.#sink(event);
    return "sent";
  }

  #compare(event: TokensEvent, repeated: string[]): RelayOutcome {
    if (event.offset > repeated.length) return "gap";
    const fresh = event.texts.slice(repeated.length - event.offset);
    const room = this.#nextOffset - repeated.length;
    repeated.push(...fresh.slice(0, room));
    if (repeated.length < this.#nextOffset) return "held";
    // Token boundaries may differ between runs; the text may not.
    if (repeated.join("") !== this.#sent?.join("")) return "diverged";
    this.#repeated = null;
    if (fresh.length <= room) return "held";
    return this.#send({
      kind: "tokens",
      offset: this.#nextOffset,
      texts: fresh.slice(room),
    });
  }
}
