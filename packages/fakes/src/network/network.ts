/** A network in process: messages arrive late, hosts die and freeze, paths are cut, connections go silent. */

/** Names a host: a VM, an endpoint, the platform or a caller. */
export type Host = string;

/** One open connection between two hosts. */
export interface Connection {
  readonly from: Host;
  readonly to: Host;
  /** True once something on the way has lost track of it: nothing arrives any more. */
  silent: boolean;
}

/** Options of {@link FakeNetwork}. */
export interface FakeNetworkOptions {
  /** Time for one way between two hosts. */
  latencyMs: (from: Host, to: Host) => number;
  /** Runs an action on behalf of a host. */
  runOn?: (host: Host, action: () => void) => void;
}

/** Options of {@link FakeNetwork.connect}. */
export interface ConnectOptions {
  /** Takes a new connection in place of the kept one. */
  fresh?: boolean;
}

/** Delivers messages between hosts by timers. */
export class FakeNetwork {
  #options: Required<FakeNetworkOptions>;
  #down = new Set<Host>();
  #frozen = new Map<Host, (() => void)[]>();
  #cuts = new Set<string>();
  #kept = new Map<string, Connection>();
  #streams = new Set<Connection>();

  constructor(options: FakeNetworkOptions) {
    this.#options = { runOn: (_host, action) => action(), ...options };
  }

  /** Kills a host, or brings it up; connections to it break. */
  setUp(host: Host, up: boolean): void {
    if (up) this.#down.delete(host);
    else this.#down.add(host);
    this.#frozen.delete(host);
    for (const [name, connection] of this.#kept) {
      if (connection.from === host || connection.to === host) {
        this.#kept.delete(name);
      }
    }
  }

  /** Whether a host is up. */
  isUp(host: Host): boolean {
    return !this.#down.has(host);
  }

  /** Freezes a host: what arrives waits until it thaws. */
  freeze(host: Host): void {
    if (!this.#frozen.has(host)) this.#frozen.set(host, []);
  }

  /** Thaws a host; what waited arrives in order. */
  thaw(host: Host): void {
    const waiting = this.#frozen.get(host) ?? [];
    this.#frozen.delete(host);
    for (const action of waiting) this.#options.runOn(host, action);
  }

  /** Whether a host is frozen. */
  isFrozen(host: Host): boolean {
    return this.#frozen.has(host);
  }

  /** Cuts the path between two hosts, both ways. */
  cut(a: Host, b: Host): void {
    this.#cuts.add(pairName(a, b));
  }

  /** Heals the path between two hosts. */
  heal(a: Host, b: Host): void {
    this.#cuts.delete(pairName(a, b));
  }

  /** Makes all connections open between two hosts silent; new ones work. */
  silence(a: Host, b: Host): void {
    for (const connection of [...this.#kept.values(), ...this.#streams]) {
      const joins = pairName(connection.from, connection.to) === pairName(a, b);
      if (joins) connection.silent = true;
    }
  }

  /** Opens or reuses a connection; null when it is refused at once. */
  connect(
    from: Host,
    to: Host,
    options: ConnectOptions = {},
  ): Connection | null {
    if (!this.isUp(to) && !this.#cuts.has(pairName(from, to))) return null;
    const name = `${from}\n${to}`;
    const kept = this.#kept.get(name);
    if (kept && !options.fresh) return kept;
    const connection: Connection = { from, to, silent: false };
    this.#kept.set(name, connection);
    return connection;
  }

  /** Opens a connection of its own for a stream; null when it is refused at once. */
  connectStream(from: Host, to: Host): Connection | null {
    if (!this.isUp(to) && !this.#cuts.has(pairName(from, to))) return null;
    const connection: Connection = { from, to, silent: false };
    this.#streams.add(connection);
    return connection;
  }

  /** Closes a connection; a later call opens a new one. */
  close(connection: Connection): void {
    this.#streams.delete(connection);
    const name = `${connection.from}\n${connection.to}`;
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
    setTimeout(() => {
      if (this.#blocked(connection)) return;
      const waiting = this.#frozen.get(message.to);
      if (waiting) waiting.push(message.action);
      else this.#options.runOn(message.to, message.action);
    }, this.#options.latencyMs(from, to));
  }

  #blocked(connection: Connection): boolean {
    const { from, to, silent } = connection;
    return silent || this.#cuts.has(pairName(from, to)) ||
      !this.isUp(from) || !this.isUp(to);
  }
}

function pairName(a: Host, b: Host): string {
  return a < b ? `${a}\n${b}` : `${b}\n${a}`;
}
