/** Counts the bytes that configuration moves between VMs and to the platform, as JSON without headers. */
import type {
  PeerPort,
  PlatformPort,
  VmContext,
  VmPorts,
} from "@teaselvalve/core";
import { Buffer } from "node:buffer";

const TABLE = "configuration";

/** Bytes sent and received, over all VMs. */
export interface ControlBytes {
  /** Counted at both ends. */
  peers: number;
  /** Reads of the head and of history rows. */
  rows: number;
  /** Bodies and changes that were fetched. */
  fetched: number;
  /** Bodies, changes and rows that accepting VMs wrote. */
  written: number;
}

/** Counts for a whole world. */
export class ByteCounter {
  readonly bytes: ControlBytes = { peers: 0, rows: 0, fetched: 0, written: 0 };

  /** Gives a VM's context with ports that count. */
  wrap(context: VmContext): VmContext {
    const ports: VmPorts = {
      ...context.ports,
      peers: this.#wrapPeers(context.ports.peers),
      platform: this.#wrapPlatform(context.ports.platform),
    };
    return { ...context, ports };
  }

  /** Takes the counts and starts again. */
  take(): ControlBytes {
    const taken = { ...this.bytes };
    Object.assign(this.bytes, { peers: 0, rows: 0, fetched: 0, written: 0 });
    return taken;
  }

  #wrapPeers(peers: PeerPort): PeerPort {
    return {
      call: async (peer, method, options) => {
        const answer = await peers.call(peer, method, options);
        if (method.startsWith("configuration/")) {
          const sent = sizeOf({ method, params: options.params });
          const received = answer.isOk() ? sizeOf(answer.value) : 0;
          this.bytes.peers += 2 * (sent + received);
        }
        return answer;
      },
    };
  }

  #wrapPlatform(platform: PlatformPort): PlatformPort {
    return {
      ...platform,
      read: async (table, key, options) => {
        const row = await platform.read(table, key, options);
        if (table === TABLE) {
          this.bytes.rows += sizeOf({ table, key }) + resultSize(row);
        }
        return row;
      },
      scan: async (table, prefix, options) => {
        const rows = await platform.scan(table, prefix, options);
        if (table === TABLE) {
          this.bytes.rows += sizeOf({ table, prefix }) + resultSize(rows);
        }
        return rows;
      },
      getObject: async (name, options) => {
        const object = await platform.getObject(name, options);
        if (name.startsWith(TABLE)) {
          this.bytes.fetched += sizeOf(name) + resultSize(object);
        }
        return object;
      },
      putObject: (name, body, options) => {
        if (name.startsWith(TABLE)) this.bytes.written += body.length;
        return platform.putObject(name, body, options);
      },
      transact: (writes, options) => {
        const own = writes.filter((write) => write.table === TABLE);
        if (own.length > 0) this.bytes.written += sizeOf(own);
        return platform.transact(writes, options);
      },
    };
  }
}

function resultSize(
  result: { isOk(): boolean; unwrapOr(other: null): unknown },
): number {
  return result.isOk() ? sizeOf(result.unwrapOr(null)) : 0;
}

function sizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value) ?? "");
}
