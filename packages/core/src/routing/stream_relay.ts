/** Passes a stream's events on to its caller, across all sends of the stream. */
import { err, ok, type Result } from "neverthrow";
import { EventSplitter } from "./event_splitter.ts";
import type { AnswerHead, SendFailure } from "./port.ts";
import { type Overrun, StreamBound } from "./stream_bound.ts";
import type { PromptFields } from "./types.ts";

const EVENT_STREAM = "text/event-stream";

/** Receives an answer on behalf of the caller. */
export interface AnswerSink {
  head(head: AnswerHead): void;
  /** Writes bytes; returns false to ask for a pause until the `onDrain` callback. */
  write(bytes: Uint8Array): boolean;
  /** Calls the listener once, when bytes can be written again. */
  onDrain(listener: () => void): void;
}

/** Options of {@link StreamRelay}. */
export interface StreamRelayOptions {
  sink: AnswerSink;
  /** Id of the event after which the caller itself resumes the stream; null for a new one. */
  lastEventId: string | null;
  /** What the request says of its prompt and answer; null if it has no prompt. */
  prompt: PromptFields | null;
}

/** Receives the answer of one send. */
export interface RelaySource {
  /** Returns false if an answer with this head can't continue the stream. */
  onHead(head: AnswerHead): boolean;
  /** Receives bytes; returns false to pause the answer until `resume` is called. */
  onData(bytes: Uint8Array): boolean;
  /**
   * True once an event was too large to be passed on, or the answer is longer than its
   * request can have; the answer has failed then.
   */
  readonly overflowed: boolean;
  /**
   * Checks the end of the answer; fails with `lost` if it ended inside an event, or
   * with its connection before the first event.
   */
  finish(): Result<void, SendFailure>;
  /** Drops an incomplete event; called once the send has ended, however it did. */
  discard(): void;
}

/** Splits a stream into events, passes them on whole, and measures the gaps between them. */
export class StreamRelay {
  #sink: AnswerSink;
  #lastEventId: string | null;
  /** The head that was passed on, or null before that. */
  #head: AnswerHead | null = null;
  #passesEvents = true;
  #firstEventAtMs = NaN;
  #lastEventAtMs = NaN;
  #longestGapMs = 0;
  #events = 0;
  #canContinue = true;
  #prompt: PromptFields | null;
  #overrun: Overrun | null = null;
  #isUsedUp = false;

  constructor(options: StreamRelayOptions) {
    this.#prompt = options.prompt;
    this.#sink = options.sink;
    this.#lastEventId = options.lastEventId;
  }

  /** True once a part of an answer was passed on. */
  get begun(): boolean {
    return this.#head !== null;
  }

  /** Id of the last event passed on, or the one that the caller resumes from. */
  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /**
   * Whether another answer can continue where the caller's ends: not after an event
   * without an id, nor within an answer that is no stream of events.
   */
  get canContinue(): boolean {
    return this.#canContinue;
  }

  /** What an answer went beyond; null if none has. */
  get overrun(): Overrun | null {
    return this.#overrun;
  }

  /** Whether an answer had all that its request can have; no other may continue it then. */
  get isUsedUp(): boolean {
    return this.#isUsedUp;
  }

  /** When the first event was passed on, on the monotonic clock; NaN before that. */
  get firstEventAtMs(): number {
    return this.#firstEventAtMs;
  }

  /** The longest gap between two events. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  get events(): number {
    return this.#events;
  }

  /**
   * Creates the receiver of another send, which begins after `lastEventId`. The
   * first head is passed on together with the first bytes of its own send; an
   * incomplete event of an earlier send is dropped. Of several sends at a time,
   * only one may deliver bytes.
   */
  listen({ resume }: { resume: () => void }): RelaySource {
    const splitter = new EventSplitter();
    const bound = new StreamBound(this.#prompt);
    const eventsBefore = this.#events;
    let head: AnswerHead;
    return {
      get overflowed() {
        return splitter.overflowed || bound.overrun !== null;
      },
      onHead: (received) => {
        head = received;
        return this.#mayContinueWith(head);
      },
      onData: (bytes) => {
        if (!bound.addBytes(bytes)) return this.#noteOverrun(bound);
        this.#begin(head);
        const writable = this.#pass(bytes, { splitter, bound });
        if (bound.isUsedUp) this.#isUsedUp = true;
        if (bound.overrun !== null) return this.#noteOverrun(bound);
        if (writable) return true;
        this.#sink.onDrain(resume);
        return false;
      },
      discard: () => splitter.discard(),
      finish: () => {
        if (bound.overrun !== null) {
          const detail =
            `The stream has more ${bound.overrun} than its request can have`;
          return err({ kind: "lost", detail, isCut: true });
        }
        if (splitter.overflowed) {
          return err({ kind: "lost", detail: "An event is too large" });
        }
        if (splitter.pendingBytes > 0) {
          const detail = "The stream ended inside an event";
          return err({ kind: "lost", detail });
        }
        const isEmpty = this.#events === eventsBefore;
        if (isEmpty && isEventStream(head) && head.endsWithConnection) {
          return err({ kind: "lost", detail: "The stream has no event" });
        }
        this.#begin(head);
        return ok(undefined);
      },
    };
  }

  // An answer that is no stream of events can't be continued by another.
  #mayContinueWith(head: AnswerHead): boolean {
    if (!this.#head) return true;
    return this.#passesEvents && isEventStream(head) &&
      head.status === this.#head.status;
  }

  // The send is about to be cancelled.
  #noteOverrun({ overrun }: StreamBound): true {
    this.#overrun ??= overrun;
    this.#isUsedUp = true;
    return true;
  }

  #begin(head: AnswerHead): void {
    if (this.#head) return;
    this.#head = head;
    this.#passesEvents = isEventStream(head);
    this.#sink.head(head);
  }

  #pass(
    bytes: Uint8Array,
    { splitter, bound }: { splitter: EventSplitter; bound: StreamBound },
  ): boolean {
    if (!this.#passesEvents) {
      this.#canContinue = false;
      return this.#sink.write(bytes);
    }
    let writable = true;
    const nowMs = performance.now();
    for (const event of splitter.push(bytes)) {
      if (!bound.addEvent(event)) break;
      if (this.#events === 0) this.#firstEventAtMs = nowMs;
      else {
        const gapMs = nowMs - this.#lastEventAtMs;
        this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
      }
      this.#lastEventAtMs = nowMs;
      this.#events += 1;
      this.#lastEventId = event.id ?? this.#lastEventId;
      this.#canContinue = event.id !== null;
      writable = this.#sink.write(event.bytes);
    }
    return writable;
  }
}

function isEventStream({ headers }: AnswerHead): boolean {
  const type = headers.find(([name]) => name === "content-type")?.[1];
  return type?.startsWith(EVENT_STREAM) ?? false;
}
