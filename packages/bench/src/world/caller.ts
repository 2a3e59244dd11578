/** Callers as the world sees them: what each connection asked for and got. */
import type {
  CallRequest,
  CallVerdict,
  SummaryEvent,
  SummaryRequest,
} from "@teaselvalve/core";

/** A caller's connection that waits for a call to a plain service. */
export class CallerCall {
  readonly request: CallRequest;
  readonly vm: string;
  readonly askedAtMs = Date.now();
  verdict: CallVerdict | undefined;
  answeredAtMs: number | undefined;
  /** The connection broke before an answer. */
  broken = false;
  /** The caller closed its connection. */
  closed = false;
  closedAtMs: number | undefined;
  /** Verdicts that came after the first; there must be none. */
  extraVerdicts = 0;
  onClose: () => void = () => {};

  constructor(request: CallRequest, vm: string) {
    this.request = request;
    this.vm = vm;
  }

  /** Takes a verdict. */
  receive(verdict: CallVerdict): void {
    if (this.closed) return;
    if (this.verdict) this.extraVerdicts += 1;
    this.verdict ??= verdict;
    this.answeredAtMs ??= Date.now();
  }

  /** The connection broke. */
  markBroken(): void {
    this.broken = this.verdict === undefined;
  }

  /** The caller closes its connection. */
  close(): void {
    if (this.verdict || this.broken || this.closed) return;
    this.closed = true;
    this.closedAtMs = Date.now();
    this.onClose();
  }
}

/** A caller's connection that receives a summary. */
export class CallerSummary {
  readonly request: SummaryRequest;
  readonly vm: string;
  readonly askedAtMs = Date.now();
  /** Text received, from the offset that was asked for. */
  text = "";
  /** Offset of the next token expected. */
  nextOffset: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number | undefined;
  /** When the connection was over: ended, lost or left. */
  connectionEndedAtMs: number | undefined;
  endedAtMs: number | undefined;
  last: Exclude<SummaryEvent, { kind: "tokens" }> | undefined;
  /** Events that came after the last, or out of order; there must be none. */
  errors: string[] = [];
  broken = false;
  closed = false;
  onClose: () => void = () => {};

  constructor(request: SummaryRequest, vm: string) {
    this.request = request;
    this.vm = vm;
    this.nextOffset = request.fromOffset;
  }

  /** Takes an event. */
  receive(event: SummaryEvent): void {
    if (this.closed) return;
    if (this.last) this.errors.push(`${event.kind} after ${this.last.kind}`);
    if (event.kind !== "tokens") {
      this.last = event;
      this.endedAtMs = Date.now();
      this.connectionEndedAtMs ??= Date.now();
      return;
    }
    if (event.offset !== this.nextOffset) {
      this.errors.push(`Offset ${event.offset}, expected ${this.nextOffset}`);
    }
    this.firstTokenAtMs ??= Date.now();
    this.lastTokenAtMs = Date.now();
    this.nextOffset = event.offset + event.texts.length;
    this.text += event.texts.join("");
  }

  /** The connection broke. */
  markBroken(): void {
    this.broken = this.last === undefined;
    this.connectionEndedAtMs ??= Date.now();
  }

  /** The caller closes its connection. */
  close(): void {
    if (this.last || this.broken || this.closed) return;
    this.closed = true;
    this.connectionEndedAtMs = Date.now();
    this.onClose();
  }
}
