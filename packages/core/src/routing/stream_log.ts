/** Log lines on why a stream is, or isn't, sent again. */
import type { ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type { StreamSend } from "./stream_send.ts";
import type { RoutedRequest } from "./types.ts";

/** Why a stream is not sent again, or why a silent send gets no backup. */
export type Obstacle =
  | "caller-left"
  | "quarantined"
  | "stopping"
  | "deadline-passed"
  | "overrun"
  | "not-resumable"
  | "no-event-id"
  | "other-service"
  | "attempts-used"
  | "sends-used"
  | "retry-budget-spent";

/** Logs the decisions on one stream. */
export class StreamLog {
  #observer: Observer;
  #stream: { request: RoutedRequest; service: ServiceName };
  /** The silence that was logged last, and what was done about it. */
  #loggedSilence = "";

  constructor(
    observer: Observer,
    { request, service }: { request: RoutedRequest; service: ServiceName },
  ) {
    this.#observer = observer;
    this.#stream = { request, service };
  }

  /** Logs a silent send once for each change, as a long silence is reported again and again. */
  noteSilence(
    send: StreamSend,
    { events, backup }: { events: number; backup: string },
  ): void {
    const silence = `${send.ordinal} ${events} ${backup}`;
    if (silence === this.#loggedSilence) return;
    this.#loggedSilence = silence;
    this.#observer.log({
      event: "stream-silent",
      attempt: this.#stream.request.id,
      endpoint: send.endpoint.entry.id,
      send: send.ordinal,
      silentMs: Math.round(send.silentMs()),
      events,
      backup,
    });
  }

  /** Logs why a stream that failed is not sent again. */
  noteNotContinued(
    fields: {
      reason: string;
      lastOutcome: string | undefined;
      runs: number;
      retriesLeft: number;
      leftMs: number;
    },
  ): void {
    const { request, service } = this.#stream;
    this.#observer.log({
      event: "stream-not-continued",
      attempt: request.id,
      service,
      ...fields,
    });
  }
}
