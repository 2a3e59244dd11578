/**
 * The connection from which undici's parser reads a response.
 *
 * It stands between the socket and the parser, and owns how the connection ends:
 * the parser learns of an end or an error only once it has read everything that
 * came before, and an exception that it throws costs this connection alone.
 */
import { Buffer } from "node:buffer";
import type { OnReadOpts, Socket } from "node:net";
import process from "node:process";
import { Duplex } from "node:stream";
import { buildConnector } from "undici";
import type { ThrownError } from "./connection_faults.ts";
import { type WritePiece, writePieces } from "./socket_calls.ts";

/** Bytes that are read from a connection while its response is paused. */
const READ_BUFFER_BYTES = 16 * 1_024;
/** Shared by all connections, as what was read is copied before the next read. */
const READ_BUFFER = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

/** Options of {@link createConnector}. */
export interface ConnectorOptions {
  /** Limit for connecting, in milliseconds. */
  connectTimeoutMs: number;
  /** Certificates in PEM, for connections over TLS. */
  tls?: { ca?: string | undefined; cert?: string; key?: string };
  /** Called when a connection is established, before anything is sent. */
  onConnected?: (connection: ClientConnection) => void;
  /** Called with an exception of a listener, once the connection is destroyed. */
  onFault: (fault: ThrownError) => void;
}

/** Creates the function with which an undici client opens its connections. */
export function createConnector(
  { connectTimeoutMs, tls, onConnected, onFault }: ConnectorOptions,
): buildConnector.connector {
  // undici's connector keeps sessions, but each connection has one of its own.
  let session: Buffer | undefined;
  return (target, callback) => {
    const connection = new ClientConnection(onFault);
    // Options that undici doesn't know are passed on to the socket.
    const options = {
      ...tls,
      session,
      timeout: connectTimeoutMs,
      allowH2: false,
      onread: connection.reader,
    };
    buildConnector(options as buildConnector.BuildOptions)(
      target,
      (error, socket) =>
        // This is an event of the socket as well.
        connection.guard("connect", () => {
          if (error || !socket) return callback(error!, null);
          connection.attach(socket);
          socket.on("session", (next: Buffer) => (session = next));
          onConnected?.(connection);
          // undici uses no more of a socket than a Duplex has.
          callback(null, connection as unknown as Socket);
        }),
    );
  };
}

/** An error or an early end of a connection. */
export class ConnectionEndedError extends Error {
  override name = "ConnectionEndedError";
}

/** A stream over one socket; see the comment of this file. */
export class ClientConnection extends Duplex {
  #socket: Socket | undefined;
  #onFault: (fault: ThrownError) => void;
  #receivedBytes = 0;
  #isStopped = false;
  /** How the socket ended; `error` is null after a regular close of the peer. */
  #ending: { readonly error: Error | null } | undefined;
  /** Whether the parser has read all that came before the end, and isn't paused. */
  #isEndDue = false;
  #hasFault = false;
  /** Whether bytes of the request wait to be written to the socket. */
  #isWriting = false;
  /** Whether the peer has closed its half, regularly, while the request was written. */
  #hasPeerClosed = false;

  constructor(onFault: (fault: ThrownError) => void) {
    super({ highWaterMark: READ_BUFFER_BYTES });
    this.#onFault = onFault;
  }

  /** How the socket hands over what it reads. */
  get reader(): OnReadOpts {
    return {
      buffer: READ_BUFFER,
      callback: (sizeBytes, buffer) =>
        this.#receive(Buffer.from(buffer.subarray(0, sizeBytes))),
    };
  }

  /** Bytes that the parser has taken. */
  get consumedBytes(): number {
    return this.#receivedBytes - this.readableLength;
  }

  /** Takes over a connected socket, which was created with {@link reader}. */
  attach(socket: Socket): void {
    this.#socket = socket;
    socket.on("end", () => {
      // A peer that doesn't read the rest of the request resets the connection for it;
      // the close is then the end of a part of the response.
      if (this.#isWriting && !wasReset(socket)) this.#hasPeerClosed = true;
      else this.#endAtClose(socket);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      this.#end(error.code ?? error.message);
    });
    socket.on("close", () => this.#end("closed"));
  }

  /** Lets an idle connection not keep the process running. */
  unref(): this {
    this.#socket?.unref();
    return this;
  }

  /** Reverses {@link unref}. */
  ref(): this {
    this.#socket?.ref();
    return this;
  }

  // The parser calls it only while it isn't paused, and finds nothing when it has
  // handled all that came before the end, unless it goes on after a pause: then it has
  // yet to handle what it was paused in, and may be paused again.
  override read(size?: number): unknown {
    const bytes = super.read(size);
    const isDrained = bytes === null && this.readableLength === 0;
    if (isDrained && this.#ending && !this.#isEndDue) {
      this.#isEndDue = true;
      process.nextTick(() => this.#tellEnd());
    }
    return bytes;
  }

  // The parser gives back what it hasn't handled, if only no bytes, when it pauses. On
  // resuming it reads first, and may then pause again without having read any.
  override unshift(bytes: unknown): void {
    this.#isEndDue = false;
    super.unshift(bytes);
  }

  // Streams emit their events from ticks of their own, where an exception of a
  // listener would end the process, and keep the event from the other listeners.
  override emit(event: string | symbol, ...values: unknown[]): boolean {
    const listeners = this.rawListeners(event);
    for (const listener of listeners) {
      this.guard(String(event), () => Reflect.apply(listener, this, values));
    }
    return listeners.length > 0;
  }

  /** Runs a listener; an exception of it destroys the connection. */
  guard(thrownIn: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#fail({ error, thrownIn });
    }
  }

  override _read(): void {
    if (!this.#isStopped) return;
    this.#isStopped = false;
    this.#socket?.resume();
  }

  // Errors come as events of the socket, which may have received a response before.
  override _write(
    bytes: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.#isWriting = true;
    this.#socket?.write(bytes, (error) => this.#endWrite(error, callback));
  }

  override _writev(
    pieces: WritePiece[],
    callback: () => void,
  ): void {
    this.#isWriting = true;
    writePieces(
      this.#socket!,
      pieces,
      (error) => this.#endWrite(error, callback),
    );
  }

  override _final(callback: () => void): void {
    this.#socket?.end(() => callback());
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    const socket = this.#socket;
    if (!socket || socket.closed) return callback(error);
    socket.once("close", () => callback(error));
    socket.destroy();
  }

  #receive(bytes: Buffer): boolean {
    this.#receivedBytes += bytes.length;
    const continues = this.push(bytes);
    this.#isStopped = !continues;
    return continues;
  }

  #end(reason: string | null): void {
    if (this.#ending) return;
    this.#ending = {
      error: reason === null ? null : new ConnectionEndedError(reason),
    };
    this.emit("readable");
  }

  #endWrite(error: Error | null | undefined, callback: () => void): void {
    this.#isWriting = false;
    callback();
    if (error || !this.#hasPeerClosed || this.writableLength > 0) return;
    this.#endAtClose(this.#socket!);
  }

  #endAtClose(socket: Socket): void {
    this.#end(wasReset(socket) ? "ECONNRESET" : null);
  }

  // A parser that is paused doesn't ask for more, but does so when it goes on.
  #tellEnd(): void {
    if (this.destroyed || !this.#isEndDue) return;
    const { error } = this.#ending!;
    if (error) this.destroy(error);
    else this.push(null);
  }

  #fail(fault: ThrownError): void {
    if (this.#hasFault) return;
    this.#hasFault = true;
    this.destroy(new ConnectionEndedError(String(fault.error)));
    this.#onFault(fault);
  }
}

// A reset that arrives with the last bytes appears as a regular end. A socket that
// was reset no longer has a remote address, unlike one that the peer closed.
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
