/** Passes a stream's events on to its caller, over all the sends that it takes. */
import { err, ok, type Result } from "neverthrow";
import { EventSplitter } from "./event_splitter.ts";
import type { AnswerHead, SendFailure, StreamListener } from "./port.ts";

const EVENT_STREAM = "text/event-stream";

/** Where an answer goes. */
export interface AnswerSink {
  head(head: AnswerHead): void;
  /** Takes bytes; false asks for a pause until `onDrain` tells otherwise. */
  write(bytes: Uint8Array): boolean;
  /** Calls back once, when bytes can be taken again. */
  onDrain(listener: () => void): void;
}

/** Options of {@link StreamRelay}. */
export interface StreamRelayOptions {
  sink: AnswerSink;
  /** Where the caller itself goes on, if it does. */
  lastEventId: string | null;
}

/** Owns what was passed on of one stream. */
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

  /** True once anything was passed on. */
  get begun(): boolean {
    return this.#begun;
  }

  /** The id of the last event that was passed on. */
  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /** When the first event was passed on; NaN before. */
  get firstEventAtMs(): number {
    return this.#firstEventAtMs;
  }

  /** The longest pause between two events. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  get events(): number {
    return this.#events;
  }

  /** Listens to the next send. The head of the first one stands for all. */
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

  /** Ends the last send; fails where it broke off in the middle of an event. */
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
