/**
 * Counts the bytes of configuration messages between VMs and to the platform, as
 * JSON without headers.
 */
import type {
  PeerPort,
  PlatformPort,
  VmContext,
  VmPorts,
} from "@teaselvalve/core";
import { Buffer } from "node:buffer";

const TABLE = "configuration";

/** Bytes sent and received, summed over all VMs. */
export interface ControlBytes {
  /** Calls between VMs, counted at both ends. */
  peers: number;
  /** Reads of the head and of history rows, with their results. */
  rows: number;
  /** Bodies and changes fetched from the object store. */
  fetched: number;
  /** Bodies, changes and rows written by accepting VMs. */
  written: number;
}

/** Counts the configuration bytes of all VMs of a simulated world. */
export class ByteCounter {
  readonly bytes: ControlBytes = { peers: 0, rows: 0, fetched: 0, written: 0 };

  /** Returns a VM's context with its ports wrapped to count bytes. */
  wrap(context: VmContext): VmContext {
    const ports: VmPorts = {
      ...context.ports,
      peers: this.#wrapPeers(context.ports.peers),
      platform: this.#wrapPlatform(context.ports.platform),
    };
    return { ...context, ports };
  }

  /** Returns the counts since the last call and resets them. */
  take(): ControlBytes {
    const counts = { ...this.bytes };
    Object.assign(this.bytes, { peers: 0, rows: 0, fetched: 0, written: 0 });
    return counts;
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
        const counted = writes.filter((write) => write.table === TABLE);
        if (counted.length > 0) this.bytes.written += sizeOf(counted);
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
