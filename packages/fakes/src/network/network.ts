/**
 * An in-process network with latency and faults: hosts crash and freeze, paths
 * are cut, and connections silently drop their messages.
 */

/** Name of a host: a VM, an endpoint, the platform or a caller. */
export type Host = string;

/** An open connection between two hosts. */
export interface Connection {
  readonly from: Host;
  readonly to: Host;
  /** True once a device on the path has lost its state: messages are dropped. */
  silent: boolean;
  /** Called on the opener's host when the process at the other end stops. */
  readonly onBroken: Set<() => void>;
}

/** Options of {@link FakeNetwork}. */
export interface FakeNetworkOptions {
  /** One-way latency between two hosts. */
  latencyMs: (from: Host, to: Host) => number;
  /** Runs an action on behalf of a host. */
  runOn?: (host: Host, action: () => void) => void;
  /** Runs an action on behalf of no host, so that host faults don't affect its timers. */
  runDetached?: (action: () => void) => void;
}

/** Options of {@link FakeNetwork.connect}. */
export interface ConnectOptions {
  /** Opens a new connection, which replaces the one kept for reuse. */
  fresh?: boolean;
  /** Opens a connection that is not reused, as a stream does. */
  dedicated?: boolean;
}

/** Delivers messages between hosts with timers and injects faults. */
export class FakeNetwork {
  /** Hosts that were frozen at any time. */
  readonly everFrozen = new Set<Host>();
  #options: Required<FakeNetworkOptions>;
  #downHosts = new Set<Host>();
  #frozenQueues = new Map<Host, (() => void)[]>();
  #cutPaths = new Set<string>();
  #reusable = new Map<string, Connection>();
  #openConnections = new Set<Connection>();
  #nextDelays = new Map<string, number>();

  constructor(options: FakeNetworkOptions) {
    this.#options = {
      runOn: (_host, action) => action(),
      runDetached: (action) => action(),
      ...options,
    };
  }

  /** Starts (`up`) or kills a host's process; its connections break and a freeze ends. */
  setUp(host: Host, up: boolean): void {
    if (up) this.#downHosts.delete(host);
    else this.#downHosts.add(host);
    this.#frozenQueues.delete(host);
    for (const connection of [...this.#openConnections]) {
      if (connection.from === host) this.close(connection);
      else if (connection.to === host) this.#breakConnection(connection);
    }
  }

  /** Whether a host is up. */
  isUp(host: Host): boolean {
    return !this.#downHosts.has(host);
  }

  /** Freezes a host: messages to it are queued until it thaws. */
  freeze(host: Host): void {
    this.everFrozen.add(host);
    if (!this.#frozenQueues.has(host)) this.#frozenQueues.set(host, []);
  }

  /**
   * Thaws a host; queued messages arrive in order, each in its own turn of the
   * event loop.
   */
  thaw(host: Host): void {
    const queue = this.#frozenQueues.get(host);
    const action = queue?.shift();
    if (!action) {
      this.#frozenQueues.delete(host);
      return;
    }
    this.#options.runOn(host, action);
    this.#schedule(0, () => this.thaw(host));
  }

  /** Whether a host is frozen. */
  isFrozen(host: Host): boolean {
    return this.#frozenQueues.has(host);
  }

  /** Runs an action on a host; queues it while the host is frozen, drops it if down. */
  runOrQueue(host: Host, action: () => void): void {
    if (!this.isUp(host)) return;
    const queue = this.#frozenQueues.get(host);
    if (queue) queue.push(action);
    else this.#options.runOn(host, action);
  }

  /** Cuts the path between two hosts in both directions. */
  cut(a: Host, b: Host): void {
    this.#cutPaths.add(pathKey(a, b));
  }

  /** Restores the path between two hosts. */
  heal(a: Host, b: Host): void {
    this.#cutPaths.delete(pathKey(a, b));
  }

  /** Whether the path between two hosts is cut. */
  isCut(a: Host, b: Host): boolean {
    return this.#cutPaths.has(pathKey(a, b));
  }

  /** Makes all open connections between two hosts drop their messages; new ones work. */
  silence(a: Host, b: Host): void {
    for (const connection of this.#openConnections) {
      const isBetween =
        pathKey(connection.from, connection.to) === pathKey(a, b);
      if (isBetween) connection.silent = true;
    }
  }

  /** Delays the next message from one host to another, so that later ones overtake it. */
  delayNext(from: Host, to: Host, delayMs: number): void {
    this.#nextDelays.set(connectionKey(from, to), delayMs);
  }

  /**
   * Opens or reuses a connection. Returns null if the other host refuses it
   * because its process is down; over a cut path nothing is refused.
   */
  connect(
    from: Host,
    to: Host,
    options: ConnectOptions = {},
  ): Connection | null {
    if (!this.isUp(to) && !this.#cutPaths.has(pathKey(from, to))) return null;
    const key = connectionKey(from, to);
    const reusable = this.#reusable.get(key);
    if (reusable && !options.fresh && !options.dedicated) return reusable;
    const connection: Connection = {
      from,
      to,
      silent: false,
      onBroken: new Set(),
    };
    this.#openConnections.add(connection);
    if (!options.dedicated) this.#reusable.set(key, connection);
    return connection;
  }

  /** Closes a connection, so that a later call opens a new one. */
  close(connection: Connection): void {
    this.#openConnections.delete(connection);
    const key = connectionKey(connection.from, connection.to);
    if (this.#reusable.get(key) === connection) this.#reusable.delete(key);
  }

  /** Delivers an action to the host that the connection was opened to. */
  send(connection: Connection, action: () => void): void {
    this.#deliver(connection, { to: connection.to, action });
  }

  /** Delivers an action to the host that opened the connection. */
  reply(connection: Connection, action: () => void): void {
    this.#deliver(connection, { to: connection.from, action });
  }

  #deliver(
    connection: Connection,
    message: { to: Host; action: () => void },
  ): void {
    const { from, to } = connection;
    if (this.#isBlocked(connection)) return;
    const sender = message.to === to ? from : to;
    const delayMs = this.#takeDelay(sender, message.to);
    this.#schedule(this.#options.latencyMs(from, to) + delayMs, () => {
      if (this.#isBlocked(connection)) return;
      this.runOrQueue(message.to, message.action);
    });
  }

  #takeDelay(from: Host, to: Host): number {
    const key = connectionKey(from, to);
    const delayMs = this.#nextDelays.get(key) ?? 0;
    this.#nextDelays.delete(key);
    return delayMs;
  }

  #breakConnection(connection: Connection): void {
    this.close(connection);
    const { from, to, silent, onBroken } = connection;
    if (silent || this.#cutPaths.has(pathKey(from, to))) return;
    this.#schedule(this.#options.latencyMs(from, to), () => {
      for (const notify of [...onBroken]) this.runOrQueue(from, notify);
    });
  }

  #schedule(waitMs: number, action: () => void): void {
    this.#options.runDetached(() => setTimeout(action, waitMs));
  }

  #isBlocked(connection: Connection): boolean {
    const { from, to, silent } = connection;
    return silent || this.#cutPaths.has(pathKey(from, to)) ||
      !this.isUp(from) || !this.isUp(to);
  }
}

function connectionKey(from: Host, to: Host): string {
  return `${from}\n${to}`;
}

function pathKey(a: Host, b: Host): string {
  return a < b ? connectionKey(a, b) : connectionKey(b, a);
}
