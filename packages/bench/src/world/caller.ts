/** The caller's side of connections to VMs: what each one requested and received. */
import type {
  CallRequest,
  CallVerdict,
  SummaryEvent,
  SummaryRequest,
} from "@teaselvalve/core";

/** A caller's connection for one call to a plain service. */
export class CallerCall {
  readonly request: CallRequest;
  readonly vm: string;
  /** When the request was sent, on the clock of `Date.now`, as all times here. */
  readonly sentAtMs = Date.now();
  verdict: CallVerdict | undefined;
  answeredAtMs: number | undefined;
  /** Whether the connection broke before an answer. */
  broken = false;
  /** Whether the caller closed the connection. */
  closed = false;
  closedAtMs: number | undefined;
  /** Number of verdicts after the first; must be zero. */
  extraVerdicts = 0;
  /** Called when the caller closes the connection; notifies the VM. */
  onClose: () => void = () => {};

  constructor(request: CallRequest, vm: string) {
    this.request = request;
    this.vm = vm;
  }

  /** Records a verdict, unless the caller has closed the connection. */
  receive(verdict: CallVerdict): void {
    if (this.closed) return;
    if (this.verdict) this.extraVerdicts += 1;
    this.verdict ??= verdict;
    this.answeredAtMs ??= Date.now();
  }

  /** Records that the connection broke. */
  markBroken(): void {
    this.broken = this.verdict === undefined;
  }

  /** Closes the connection as the caller, unless it is already over. */
  close(): void {
    if (this.verdict || this.broken || this.closed) return;
    this.closed = true;
    this.closedAtMs = Date.now();
    this.onClose();
  }
}

/** A caller's connection for one summary stream. */
export class CallerSummary {
  readonly request: SummaryRequest;
  readonly vm: string;
  /** When the request was sent, on the clock of `Date.now`, as all times here. */
  readonly sentAtMs = Date.now();
  /** Text received, starting at the requested offset. */
  text = "";
  /** Offset of the next expected token. */
  nextOffset: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number | undefined;
  /** When the connection was over: last event received, broken or closed. */
  connectionEndedAtMs: number | undefined;
  /** When the last event was received. */
  endedAtMs: number | undefined;
  /** The event that ended the stream. */
  last: Exclude<SummaryEvent, { kind: "tokens" }> | undefined;
  /** Events after the last one or out of order; must be empty. */
  errors: string[] = [];
  /** Whether the connection broke before the last event. */
  broken = false;
  /** Whether the caller closed the connection. */
  closed = false;
  /** Called when the caller closes the connection; cancels the request at the VM. */
  onClose: () => void = () => {};

  constructor(request: SummaryRequest, vm: string) {
    this.request = request;
    this.vm = vm;
    this.nextOffset = request.fromOffset;
  }

  /** Records an event, unless the caller has closed the connection. */
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

  /** Records that the connection broke. */
  markBroken(): void {
    this.broken = this.last === undefined;
    this.connectionEndedAtMs ??= Date.now();
  }

  /** Closes the connection as the caller, unless it is already over. */
  close(): void {
    if (this.last || this.broken || this.closed) return;
    this.closed = true;
    this.connectionEndedAtMs = Date.now();
    this.onClose();
  }
}
