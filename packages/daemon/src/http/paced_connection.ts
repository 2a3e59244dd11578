/** Hands the bytes of a connection to the HTTP parser one request at a time. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { MemoryBudget, MemoryLease } from "@teaselvalve/core";
import { ArrivalBound } from "./arrival_bound.ts";
import { problemForHead, type RawProblem } from "./client_errors.ts";
import { HeadLines } from "./head_lines.ts";
import { HeadMemory } from "./head_memory.ts";
import type { OverloadRefusals } from "./overload_refusals.ts";
import { plainRequestAt } from "./plain_request.ts";
import { linger, type WritePiece, writePieces } from "./socket_calls.ts";
import { UnparsedBytes } from "./unparsed_bytes.ts";

/** Slices that a connection gets parsed before others have their turn. */
const MAX_SLICES_PER_TURN = 64;
/** Bytes of a read after which other connections have their turn. */
const LARGE_READ_BYTES = 64 * 1_024;
/** How long a connection isn't read after such a read while memory is short. */
const SHORT_PAUSE_MS = 10;
/** Bytes behind a request in progress that are read, so that a close is noticed. */
const MAX_BYTES_BEHIND = 4 * 1_024;
/**
 * How long a request whose caller has closed its half of the connection may take. The
 * caller may wait for its answer, or have left.
 */
const HALF_OPEN_MS = 350;

/** Options of {@link PacedConnection}. */
export interface PacedConnectionOptions {
  memory: MemoryBudget;
  refusals: Pick<OverloadRefusals, "refusesNext" | "refuseNext">;
  /** Called when the head of a request isn't parsed on, with what is told to its caller. */
  onRefused: (problem: RawProblem) => void;
}

/**
 * The connection that Node's HTTP server sees.
 *
 * Node parses whatever it has read, and creates a request and a response for each head
 * in it, however many answers are still due. Here, a request is parsed once the response
 * before it was sent, so that a connection has one request in progress. The server tells
 * by `beginRequest` and `endRequest`.
 *
 * TCP lets a caller close its half of the connection behind its request. It emits
 * `halfClose` then, and the end once all requests were answered or have taken too long.
 *
 * It also owns the socket, whose errors only close it, and pays for the memory of heads
 * that are incomplete and of requests that wait.
 */
export class PacedConnection extends Duplex {
  readonly #socket: Socket;
  readonly #options: PacedConnectionOptions;
  readonly #unparsed = new UnparsedBytes();
  #unparsedLease: MemoryLease | null = null;
  readonly #head: HeadMemory;
  readonly #headLines = new HeadLines();
  /** When the last piece of a head arrived. */
  #headArrivedAtMs = 0;
  #openRequests = 0;
  #lastRequest: IncomingMessage | undefined;
  #lastResponse: ServerResponse | undefined;
  #wantsBytes = false;
  #isFeeding = false;
  /** Whether the socket isn't read in this turn of the event loop any more. */
  #hasReadEnough = false;
  readonly #arrival = new ArrivalBound();
  #halfClosedAtMs: number | null = null;
  #halfOpenTimer: ReturnType<typeof setTimeout> | undefined;
  #isHalfOpenOver = false;
  #lingers = false;
  #closesAfterResponse = false;
  #isBehindRequest = false;
  #isRefused = false;

  constructor(socket: Socket, options: PacedConnectionOptions) {
    // One slice at a time is buffered, as it may hold a whole request.
    super({
      allowHalfOpen: true,
      decodeStrings: false,
      readableHighWaterMark: 1,
    });
    this.#socket = socket;
    this.#options = options;
    this.#head = new HeadMemory(options.memory);
    // A close follows each error; a connection that Node has handed over has no
    // other listener.
    this.on("error", () => {});
    this.on("resume", () => this.#feedLater());
    socket.on("error", () => {});
    socket.on("data", (bytes: Buffer) => this.#receive(bytes));
    socket.once("end", () => {
      this.#noteHalfClose();
      this.#feed();
    });
    socket.once("close", () => this.destroy());
    socket.on("timeout", () => this.#noteTimeout());
  }

  get remoteAddress(): string | undefined {
    return this.#socket.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.#socket.remotePort;
  }

  get bytesRead(): number {
    return this.#socket.bytesRead;
  }

  /** Bytes that were written and not sent. */
  get unsentBytes(): number {
    return this.#socket.writableLength;
  }

  get sentBytes(): number {
    return this.#socket.bytesWritten - this.#socket.writableLength;
  }

  /**
   * The earliest time at which the peer's close of its half can have arrived, by
   * `performance.now()`; null if it hasn't.
   */
  get halfClosedAtMs(): number | null {
    return this.#halfClosedAtMs;
  }

  /** Whether others were received behind the request that is in progress. */
  get hasWaitingRequests(): boolean {
    return this.#unparsed.length > this.#unparsed.bodyBytesLeft &&
      this.#lastRequest?.headers["transfer-encoding"] === undefined;
  }

  /** How long the last request has waited behind others, in milliseconds. */
  get waitedMs(): number {
    return performance.now() - this.#headArrivedAtMs;
  }

  /** Whether requests may wait behind the one in progress, also in the kernel. */
  get hasUnread(): boolean {
    return this.hasWaitingRequests || this.#arrival.hasUnread;
  }

  /**
   * Whether the bytes that are parsed now came before the last request was answered, or
   * belong to its body.
   */
  get isBehindRequest(): boolean {
    return this.#isBehindRequest ||
      (this.#openRequests === 0 && this.#lastRequest?.complete === false);
  }

  /** Called when the head of a request was parsed; those behind it wait for {@link endRequest}. */
  beginRequest(incoming: IncomingMessage, response: ServerResponse): void {
    this.#openRequests += 1;
    this.#lastRequest = incoming;
    this.#lastResponse = response;
    this.#unparsed.bodyBytesLeft = Number(
      incoming.headers["content-length"] ?? 0,
    );
    this.#isBehindRequest = false;
    this.#head.release();
    this.#headLines.reset();
  }

  /** Called when the response of a request was sent. */
  endRequest(): void {
    this.#openRequests -= 1;
    if (this.#closesAfterResponse && this.#openRequests === 0) {
      return this.destroySoon();
    }
    // The response said that what comes behind it isn't handled.
    if (this.#isClosing()) return this.stopParsing();
    this.#isBehindRequest = this.#unparsed.length > 0;
    // Other connections have their turn first.
    if (this.#isBehindRequest) setImmediate(() => this.#feed());
    else this.#feed();
  }

  /** Called once no more is handled, so that the parser doesn't fail for each slice again. */
  stopParsing(): void {
    this.#isRefused = true;
    this.#unparsed.drop();
    this.#readOn();
  }

  /** Closes the connection once all that was written has been sent. */
  destroySoon(): void {
    const close = () => {
      this.#lingers = true;
      this.destroy();
    };
    if (this.writable) this.end();
    if (this.writableFinished) close();
    else this.once("finish", close);
  }

  /** Emits `timeout` after a time without activity; 0 switches it off. */
  setTimeout(timeoutMs: number): this {
    this.#socket.setTimeout(timeoutMs);
    return this;
  }

  override _read(): void {
    this.#wantsBytes = true;
    this.#feedLater();
  }

  override _write(
    bytes: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#socket.write(bytes, encoding, callback);
  }

  override _writev(
    pieces: WritePiece[],
    callback: (error?: Error | null) => void,
  ): void {
    writePieces(this.#socket, pieces, callback);
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.#socket.end(() => callback());
  }

  /** Resets the connection; bytes that the peer has not received may be lost. */
  reset(): void {
    this.#socket.resetAndDestroy();
    this.destroy();
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    clearTimeout(this.#halfOpenTimer);
    this.#unparsed.drop();
    this.#unparsedLease?.release();
    this.#head.release();
    if (this.#lingers && this.#halfClosedAtMs === null) linger(this.#socket);
    else this.#socket.destroy();
    callback(error);
  }

  #noteHalfClose(): void {
    this.#arrival.noteRead();
    this.#halfClosedAtMs = this.#arrival.earliestMs;
    this.#halfOpenTimer = setTimeout(() => {
      this.#isHalfOpenOver = true;
      this.#readOn();
    }, HALF_OPEN_MS);
    this.emit("halfClose");
  }

  // After a freeze of the process, timers are due before what arrived meanwhile is read.
  #noteTimeout(): void {
    const { bytesRead } = this.#socket;
    setImmediate(() => {
      if (this.#socket.bytesRead === bytesRead) this.emit("timeout");
    });
  }

  #receive(bytes: Buffer): void {
    this.#arrival.noteRead();
    if (bytes.length >= LARGE_READ_BYTES) this.#giveTurn();
    if (this.destroyed || this.#isClosing()) return;
    this.#unparsed.add(bytes, this.#arrival.waitingSinceMs);
    this.#feed();
    if (this.#unparsed.length > MAX_BYTES_BEHIND) this.#holdUnparsed();
  }

  #pause(): void {
    this.#arrival.notePause();
    this.#socket.pause();
  }

  #resume(): void {
    this.#arrival.noteResume();
    this.#socket.resume();
  }

  // Otherwise a socket is read until it is empty. Many large bodies at once would delay
  // all other connections, and what was read of them, also to be dropped, would take
  // memory until the next garbage collection.
  #giveTurn(): void {
    this.#hasReadEnough = true;
    this.#pause();
    const readOn = () => {
      this.#hasReadEnough = false;
      if (this.destroyed) this.#socket.resume();
      else this.#readOn();
    };
    if (this.#options.memory.isShort) setTimeout(readOn, SHORT_PAUSE_MS);
    else setImmediate(readOn);
  }

  // A request would be run without an answer.
  #isClosing(): boolean {
    return this.writableEnded || this.#isRefused;
  }

  // What waits has been read at once. Without memory it is dropped, and the connection
  // is closed after the response, which tells the caller that it wasn't handled.
  #holdUnparsed(): void {
    this.#pause();
    const { memory } = this.#options;
    this.#unparsedLease ??= memory.reserve("head", this.#unparsed.length);
    if (this.#unparsedLease || !this.#isHeld()) return;
    this.#unparsed.drop();
    this.#closesAfterResponse = true;
  }

  #isHeld(): boolean {
    return this.#openRequests > 0 && this.#lastRequest!.complete;
  }

  // Whether all that a peer sent before it closed its half was handled, or is given up.
  #hasAnsweredAll(): boolean {
    if (!this.#isHeld()) {
      return this.#unparsed.length === 0 && !this.#isRefused;
    }
    return this.#isHalfOpenOver && !this.#lastResponse!.writableEnded;
  }

  // What was pushed last may be the end of a request, and is parsed behind this call.
  #feedLater(): void {
    if (this.readableLength === 0) this.#feed();
    else process.nextTick(() => this.#feed());
  }

  #feed(): void {
    if (this.#isFeeding || this.destroyed) return;
    this.#isFeeding = true;
    for (
      let slices = 0;
      this.#wantsBytes && this.#unparsed.length > 0 && !this.#isHeld() &&
      this.readableLength === 0;
      slices += 1
    ) {
      if (slices === MAX_SLICES_PER_TURN) {
        setImmediate(() => this.#feed());
        break;
      }
      if (this.#refuseNext()) continue;
      const isHead = this.#lastRequest?.complete ?? true;
      if (isHead) this.#headArrivedAtMs = this.#unparsed.arrivedAtMs;
      const slice = this.#unparsed.takeSlice();
      if (isHead && !this.#headLines.add(slice)) {
        this.#refuseLines();
        break;
      }
      if (isHead) this.#head.add(slice.length);
      this.#wantsBytes = this.push(slice);
      if (isHead && !this.#head.hold()) {
        this.stopParsing();
        this.#options.onRefused(problemForHead("no-memory"));
        break;
      }
    }
    this.#isFeeding = false;
    this.#readOn();
  }

  // The parsers of some Node versions accept bare line feeds. Other bytes behind a request
  // get no answer, as their caller might take it for that of its next request.
  #refuseLines(): void {
    this.stopParsing();
    if (this.isBehindRequest && !this.#headLines.isRequest) this.destroySoon();
    else this.#options.onRefused(problemForHead("bare-line-feed"));
  }

  // Answers a request before it is parsed, if nothing before it is left to answer. The
  // parser has to see the first one, or it closes the connection as too slow.
  #refuseNext(): boolean {
    const { refusals } = this.#options;
    const isBetweenRequests = this.#openRequests === 0 &&
      this.#head.sizeBytes === 0 && this.#lastRequest?.complete === true;
    // A caller that doesn't read its answers gets no more of them.
    if (!isBetweenRequests || this.unsentBytes > 0 || !this.writable) {
      return false;
    }
    if (!refusals.refusesNext(this)) return false;
    const request = plainRequestAt(this.#unparsed.bytes);
    if (!request) return false;
    this.write(refusals.refuseNext(this, request), "latin1");
    this.#unparsed.skip(request.sizeBytes);
    this.#isBehindRequest &&= this.#unparsed.length > 0;
    return true;
  }

  #readOn(): void {
    if (this.#hasReadEnough) return;
    if (this.#halfClosedAtMs !== null) {
      if (!this.#hasAnsweredAll() || this.readableEnded) return;
      this.#unparsed.drop();
      this.push(null);
    } else if (this.#unparsed.length <= MAX_BYTES_BEHIND) {
      this.#unparsedLease?.release();
      this.#unparsedLease = null;
      if (this.#unparsed.length === 0 || this.#isHeld()) this.#resume();
    }
  }
}

/** Returns the connection of a request, whose class Node's types don't know. */
export function pacedOf(connection: Duplex): PacedConnection {
  return connection as PacedConnection;
}
