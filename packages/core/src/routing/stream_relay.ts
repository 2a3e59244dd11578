/** Passes a stream's events on to its caller, across all sends of the stream. */
import { err, ok, type Result } from "neverthrow";
import { EventSplitter } from "./event_splitter.ts";
import type { AnswerHead, SendFailure, StreamListener } from "./port.ts";

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
}

/** Splits a stream into events, passes them on whole, and measures the gaps between them. */
export class StreamRelay {
  #sink: AnswerSink;
  #lastEventId: string | null;
  #splitter = new EventSplitter();
  #begun = false;
  #passesEvents = true;
  #firstEventAtMs = NaN;
  #lastEventAtMs = NaN;
  #longestGapMs = 0;
  #events = 0;

  constructor(options: StreamRelayOptions) {
    this.#sink = options.sink;
    this.#lastEventId = options.lastEventId;
  }

  /** True once the head of an answer was passed on. */
  get begun(): boolean {
    return this.#begun;
  }

  /** Id of the last event passed on, or the one that the caller resumes from. */
  get lastEventId(): string | null {
    return this.#lastEventId;
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
   * Creates the listener of the next send. Only the head of the first send is
   * passed on, and an incomplete event of the previous send is dropped.
   */
  listen({ resume }: { resume: () => void }): StreamListener {
    this.#splitter = new EventSplitter();
    return {
      onHead: (head) => this.#takeHead(head),
      onData: (bytes) => {
        if (this.#pass(bytes)) return true;
        this.#sink.onDrain(resume);
        return false;
      },
    };
  }

  /** Checks the end of the last send; fails with `lost` if it ended inside an event. */
  finish(): Result<void, SendFailure> {
    if (this.#splitter.pendingBytes === 0) return ok(undefined);
    return err({ kind: "lost", detail: "The stream ended inside an event" });
  }

  #takeHead(head: AnswerHead): void {
    if (this.#begun) return;
    this.#begun = true;
    const type = head.headers.find(([name]) => name === "content-type")?.[1];
    this.#passesEvents = type?.startsWith(EVENT_STREAM) ?? false;
    this.#sink.head(head);
  }

  #pass(bytes: Uint8Array): boolean {
    if (!this.#passesEvents) return this.#sink.write(bytes);
    let writable = true;
    const nowMs = performance.now();
    for (const event of this.#splitter.push(bytes)) {
      if (this.#events === 0) this.#firstEventAtMs = nowMs;
      else {
        const gapMs = nowMs - this.#lastEventAtMs;
        this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
      }
      this.#lastEventAtMs = nowMs;
      this.#events += 1;
      this.#lastEventId = event.id ?? this.#lastEventId;
      writable = this.#sink.write(event.bytes);
    }
    return writable;
  }
}
