/** Refuses connections of which no request is parsed, at a small part of a served one's cost. */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { plainRequestAt } from "./plain_request.ts";

/** How long a connection is kept that sent nothing, or is closed after its refusal. */
const MAX_OPEN_MS = 1_000;
/** How a request for the head of an answer alone begins. */
const HEAD_METHOD = "HEAD ";

/** Options of {@link UnreadRefusals}. */
export interface UnreadRefusalsOptions {
  /** Whether the first request of a connection would be refused now. */
  isRefused: (socket: Socket) => boolean;
  /** Formats the refusal. */
  format: (options: { keepsOpen: boolean; isHead: boolean }) => string;
  /** Whether another connection may be kept open, besides this number of others. */
  mayKeep: (kept: number) => boolean;
  /** How long a connection is kept after a refusal, in milliseconds. */
  idleMs: () => number;
  /** Takes over a connection that isn't refused any more. */
  admit: (socket: Socket) => void;
}

interface OpenConnection {
  /** When it came, or was refused and kept last. */
  sinceMs: number;
  /** Whether it was refused and may send further requests. */
  isKept: boolean;
  readonly handOver: () => void;
}

/**
 * Answers requests of new connections with refusals, as long as they would be refused. A
 * connection whose bytes hold whole requests stays open for the next, so that its caller
 * need not open another. The others are closed once their callers have: a connection that
 * is closed with unread bytes is reset, and its caller may lose the refusal.
 */
export class UnreadRefusals {
  #options: UnreadRefusalsOptions;
  #open = new Map<Socket, OpenConnection>();
  #kept = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: UnreadRefusalsOptions) {
    this.#options = options;
  }

  /** Number of connections that wait for another request. */
  get kept(): number {
    return this.#kept;
  }

  /** Refuses what a connection sends, unless the VM is free by then. */
  add(socket: Socket): void {
    const { isRefused, admit } = this.#options;
    const onData = (bytes: Buffer) => {
      if (!isRefused(socket)) return handOver(bytes);
      const rest = this.#refuseAll(socket, bytes);
      if (rest.length === 0) return;
      socket.off("data", onData);
      this.#setKept(socket, false);
      const isHead = rest.toString("latin1", 0, HEAD_METHOD.length) ===
        HEAD_METHOD;
      socket.end(this.#options.format({ keepsOpen: false, isHead }));
      socket.resume();
    };
    const onEnd = () => socket.end();
    const onClose = () => {
      this.#setKept(socket, false);
      this.#open.delete(socket);
    };
    const handOver = (bytes?: Buffer) => {
      onClose();
      socket.off("data", onData).off("end", onEnd).off("close", onClose);
      socket.pause();
      if (bytes) socket.unshift(bytes);
      admit(socket);
    };
    const sinceMs = performance.now();
    this.#open.set(socket, { sinceMs, isKept: false, handOver });
    socket.on("error", () => {});
    socket.on("data", onData).once("end", onEnd).once("close", onClose);
    this.#checkLater();
  }

  /** Closes the connections that wait for another request, unless one is there already. */
  close(): void {
    this.#closeUnused(
      [...this.#open.keys()],
      (socket) => this.#open.get(socket)?.isKept === true,
    );
  }

  /** Closes one of the connections that wait for another request, if there is one. */
  makeRoom(): void {
    if (this.#kept === 0) return;
    for (const [socket, { isKept }] of this.#open) {
      if (!isKept) continue;
      this.#setKept(socket, false);
      return this.#closeUnused([socket], () => this.#open.has(socket));
    }
  }

  /** Closes all connections at once. */
  abort(): void {
    clearTimeout(this.#timer);
    for (const socket of this.#open.keys()) socket.destroy();
  }

  // Returns the bytes after whose refusal the connection has to be closed.
  #refuseAll(socket: Socket, bytes: Buffer): Buffer {
    const { format, mayKeep } = this.#options;
    // A caller that doesn't read its answers gets no more of them.
    if (socket.writableLength > 0 || !mayKeep(this.#kept)) return bytes;
    let rest = bytes;
    const answers = [];
    while (rest.length > 0) {
      const request = plainRequestAt(rest);
      if (!request) break;
      answers.push(format({ keepsOpen: true, isHead: request.isHead }));
      rest = rest.subarray(request.sizeBytes);
    }
    if (answers.length > 0) socket.write(answers.join(""), "latin1");
    if (rest.length === 0) this.#setKept(socket, true);
    return rest;
  }

  #setKept(socket: Socket, isKept: boolean): void {
    const open = this.#open.get(socket);
    if (!open) return;
    if (isKept !== open.isKept) this.#kept += isKept ? 1 : -1;
    open.isKept = isKept;
    open.sinceMs = performance.now();
  }

  #checkLater(): void {
    this.#timer ??= setTimeout(() => this.#checkOld(), MAX_OPEN_MS).unref();
  }

  #checkOld(): void {
    this.#timer = undefined;
    const nowMs = performance.now();
    const old: Socket[] = [];
    for (const [socket, { sinceMs, isKept, handOver }] of this.#open) {
      const limitMs = isKept ? this.#options.idleMs() : MAX_OPEN_MS;
      if (nowMs - sinceMs < limitMs) continue;
      const isIdle = socket.bytesRead === 0;
      if (isIdle && !this.#options.isRefused(socket)) handOver();
      else old.push(socket);
    }
    this.#closeUnused(old, (socket) => this.#open.has(socket));
    if (this.#open.size > 0) this.#checkLater();
  }

  // After a freeze of the process, timers are due before what arrived meanwhile is read.
  #closeUnused(
    sockets: readonly Socket[],
    mayClose: (socket: Socket) => boolean,
  ): void {
    const before = sockets.map((socket) => [socket, socket.bytesRead] as const);
    setImmediate(() => {
      for (const [socket, bytesRead] of before) {
        if (socket.bytesRead === bytesRead && mayClose(socket)) {
          socket.destroy();
        }
      }
    });
  }
}
