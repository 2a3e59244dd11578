/** A network in process: messages arrive late, hosts die and freeze, paths are cut, connections go silent. */

/** Names a host: a VM, an endpoint, the platform or a caller. */
export type Host = string;

/** One open connection between two hosts. */
export interface Connection {
  readonly from: Host;
  readonly to: Host;
  /** True once something on the way has lost track of it: nothing arrives any more. */
  silent: boolean;
  /** Told at the opener's end when the far end's process is gone. */
  readonly onBroken: Set<() => void>;
}

/** Options of {@link FakeNetwork}. */
export interface FakeNetworkOptions {
  /** Time for one way between two hosts. */
  latencyMs: (from: Host, to: Host) => number;
  /** Runs an action on behalf of a host. */
  runOn?: (host: Host, action: () => void) => void;
  /** Runs an action on behalf of no host, so that no fault of a host touches its timers. */
  runDetached?: (action: () => void) => void;
}

/** Options of {@link FakeNetwork.connect}. */
export interface ConnectOptions {
  /** Takes a new connection in place of the kept one. */
  fresh?: boolean;
  /** Takes a connection of its own, as a stream does. */
  dedicated?: boolean;
}

/** Delivers messages between hosts by timers. */
export class FakeNetwork {
  /** Hosts that were frozen at any time. */
  readonly everFrozen = new Set<Host>();
  #options: Required<FakeNetworkOptions>;
  #down = new Set<Host>();
  #frozen = new Map<Host, (() => void)[]>();
  #cuts = new Set<string>();
  #kept = new Map<string, Connection>();
  #open = new Set<Connection>();
  #delays = new Map<string, number>();

  constructor(options: FakeNetworkOptions) {
    this.#options = {
      runOn: (_host, action) => action(),
      runDetached: (action) => action(),
      ...options,
    };
  }

  /** Kills a host's process, or brings it up; its connections break. */
  setUp(host: Host, up: boolean): void {
    if (up) this.#down.delete(host);
    else this.#down.add(host);
    this.#frozen.delete(host);
    for (const connection of [...this.#open]) {
      if (connection.from === host) this.close(connection);
      else if (connection.to === host) this.#break(connection);
    }
  }

  /** Whether a host is up. */
  isUp(host: Host): boolean {
    return !this.#down.has(host);
  }

  /** Freezes a host: what arrives waits until it thaws. */
  freeze(host: Host): void {
    this.everFrozen.add(host);
    if (!this.#frozen.has(host)) this.#frozen.set(host, []);
  }

  /** Thaws a host; what waited arrives in order, each with its own turn of the event loop. */
  thaw(host: Host): void {
    const waiting = this.#frozen.get(host);
    const action = waiting?.shift();
    if (!action) {
      this.#frozen.delete(host);
      return;
    }
    this.#options.runOn(host, action);
    this.#later(0, () => this.thaw(host));
  }

  /** Whether a host is frozen. */
  isFrozen(host: Host): boolean {
    return this.#frozen.has(host);
  }

  /** Runs an action on a host, later if it is frozen, never if it is down. */
  runOrQueue(host: Host, action: () => void): void {
    if (!this.isUp(host)) return;
    const waiting = this.#frozen.get(host);
    if (waiting) waiting.push(action);
    else this.#options.runOn(host, action);
  }

  /** Cuts the path between two hosts, both ways. */
  cut(a: Host, b: Host): void {
    this.#cuts.add(pathKey(a, b));
  }

  /** Heals the path between two hosts. */
  heal(a: Host, b: Host): void {
    this.#cuts.delete(pathKey(a, b));
  }

  /** Whether the path between two hosts is cut. */
  isCut(a: Host, b: Host): boolean {
    return this.#cuts.has(pathKey(a, b));
  }

  /** Makes all connections open between two hosts silent; new ones work. */
  silence(a: Host, b: Host): void {
    for (const connection of this.#open) {
      const joins = pathKey(connection.from, connection.to) === pathKey(a, b);
      if (joins) connection.silent = true;
    }
  }

  /** Holds the next message from one host to another back for a while, so that later ones overtake it. */
  delayNext(from: Host, to: Host, delayMs: number): void {
    this.#delays.set(connectionKey(from, to), delayMs);
  }

  /** Opens or reuses a connection; null when it is refused at once. */
  connect(
    from: Host,
    to: Host,
    options: ConnectOptions = {},
  ): Connection | null {
    if (!this.isUp(to) && !this.#cuts.has(pathKey(from, to))) return null;
    const name = connectionKey(from, to);
    const kept = this.#kept.get(name);
    if (kept && !options.fresh && !options.dedicated) return kept;
    const connection: Connection = {
      from,
      to,
      silent: false,
      onBroken: new Set(),
    };
    this.#open.add(connection);
    if (!options.dedicated) this.#kept.set(name, connection);
    return connection;
  }

  /** Closes a connection; a later call opens a new one. */
  close(connection: Connection): void {
    this.#open.delete(connection);
    const name = connectionKey(connection.from, connection.to);
    if (this.#kept.get(name) === connection) this.#kept.delete(name);
  }

  /** Sends towards the connection's far end. */
  send(connection: Connection, action: () => void): void {
    this.#deliver(connection, { to: connection.to, action });
  }

  /** Sends back towards the connection's opener. */
  reply(connection: Connection, action: () => void): void {
    this.#deliver(connection, { to: connection.from, action });
  }

  #deliver(
    connection: Connection,
    message: { to: Host; action: () => void },
  ): void {
    const { from, to } = connection;
    if (this.#blocked(connection)) return;
    const sender = message.to === to ? from : to;
    const delayMs = this.#takeDelay(sender, message.to);
    this.#later(this.#options.latencyMs(from, to) + delayMs, () => {
      if (this.#blocked(connection)) return;
      this.runOrQueue(message.to, message.action);
    });
  }

  #takeDelay(from: Host, to: Host): number {
    const name = connectionKey(from, to);
    const delayMs = this.#delays.get(name) ?? 0;
    this.#delays.delete(name);
    return delayMs;
  }

  #break(connection: Connection): void {
    this.close(connection);
    const { from, to, silent, onBroken } = connection;
    if (silent || this.#cuts.has(pathKey(from, to))) return;
    this.#later(this.#options.latencyMs(from, to), () => {
      for (const told of [...onBroken]) this.runOrQueue(from, told);
    });
  }

  #later(waitMs: number, action: () => void): void {
    this.#options.runDetached(() => setTimeout(action, waitMs));
  }

  #blocked(connection: Connection): boolean {
    const { from, to, silent } = connection;
    return silent || this.#cuts.has(pathKey(from, to)) ||
      !this.isUp(from) || !this.isUp(to);
  }
}

function connectionKey(from: Host, to: Host): string {
  return `${from}\n${to}`;
}

function pathKey(a: Host, b: Host): string {
  return a < b ? connectionKey(a, b) : connectionKey(b, a);
}
