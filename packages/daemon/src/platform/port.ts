/** The platform port over HTTP, on reused connections. */
import {
  decodeOutcome,
  decodeRow,
  encodeWrite,
  type JsonOutcome,
  type JsonRow,
  type Observer,
  type PlatformPort,
  type Row,
  SINGLE_ERA,
  type StoreCallOptions,
  type StoreFailure,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { createKeepAliveClient } from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";

/** Options of {@link createPlatformPort}. */
export interface PlatformPortOptions {
  /** Host and port of the platform's services. */
  address: string;
  /** Limit of a call that sets none itself. */
  timeoutMs: number;
  observer?: Observer;
}

interface PlatformCall {
  method: string;
  path: string;
  body?: string;
  options: StoreCallOptions | undefined;
}

/** Creates the port through which the VM calls the platform's services. */
export function createPlatformPort(options: PlatformPortOptions): PlatformPort {
  const keepAlive = createKeepAliveClient({
    observer: options.observer,
  });

  async function call<T>(
    request: PlatformCall,
  ): Promise<Result<T, StoreFailure>> {
    const response = await keepAlive.call({
      method: request.method,
      address: options.address,
      path: request.path,
      body: request.body,
      timeoutMs: request.options?.timeoutMs ?? options.timeoutMs,
    });
    if (response.isErr()) {
      const kind = response.error.kind === "notSent" ? "notSent" : "unknown";
      return err({ kind, detail: response.error.kind });
    }
    if (response.value.status !== 200) {
      return err({
        kind: "unknown",
        detail: `Status ${response.value.status}`,
      });
    }
    const value = tryParseJson<T>(response.value.text);
    return value === undefined
      ? err({ kind: "unknown", detail: "The answer is not JSON" })
      : ok(value);
  }

  return {
    eras: SINGLE_ERA,
    async transact(writes, callOptions) {
      const outcome = await call<JsonOutcome>({
        method: "POST",
        path: "/transact",
        body: JSON.stringify(writes.map(encodeWrite)),
        options: callOptions,
      });
      return outcome.map(decodeOutcome);
    },
    async read(table, key, callOptions) {
      const row = await call<JsonRow | null>({
        method: "GET",
        path: `/rows?${new URLSearchParams({ table, key })}`,
        options: callOptions,
      });
      return row.map(decodeRow);
    },
    async scan(table, prefix, callOptions) {
      const query = new URLSearchParams({
        table,
        prefix,
        limit: String(callOptions.limit),
        ...(callOptions.after ? { after: callOptions.after } : {}),
      });
      const rows = await call<JsonRow[]>({
        method: "GET",
        path: `/scan?${query}`,
        options: callOptions,
      });
      return rows.map((found) => found.map((row) => decodeRow(row) as Row));
    },
    putObject: (name, body, callOptions) =>
      call({
        method: "PUT",
        path: `/objects?${new URLSearchParams({ name })}`,
        body,
        options: callOptions,
      }),
    getObject: (name, callOptions) =>
      call({
        method: "GET",
        path: `/objects?${new URLSearchParams({ name })}`,
        options: callOptions,
      }),
    listVms: (callOptions) =>
      call({ method: "GET", path: "/vms", options: callOptions }),
  };
}
