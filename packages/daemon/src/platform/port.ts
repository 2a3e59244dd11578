/** The platform port over HTTP. */
import type {
  PlatformPort,
  StoreCallOptions,
  StoreFailure,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { createKeepAliveCaller } from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";

/** Options of {@link createPlatformPort}. */
export interface PlatformPortOptions {
  address: string;
  timeoutMs: number;
}

interface PlatformCall {
  method: string;
  path: string;
  body?: string;
  options: StoreCallOptions | undefined;
}

/** Connects to the platform's services. */
export function createPlatformPort(options: PlatformPortOptions): PlatformPort {
  const kept = createKeepAliveCaller();

  async function call<T>(
    request: PlatformCall,
  ): Promise<Result<T, StoreFailure>> {
    const answer = await kept.call({
      method: request.method,
      address: options.address,
      path: request.path,
      body: request.body,
      timeoutMs: request.options?.timeoutMs ?? options.timeoutMs,
    });
    if (answer.isErr()) {
      const kind = answer.error.kind === "notSent" ? "notSent" : "unknown";
      return err({ kind, detail: answer.error.kind });
    }
    if (answer.value.status !== 200) {
      return err({ kind: "unknown", detail: `Status ${answer.value.status}` });
    }
    const value = tryParseJson<T>(answer.value.text);
    return value === undefined
      ? err({ kind: "unknown", detail: "The answer is not JSON" })
      : ok(value);
  }

  return {
    transact: (writes, how) =>
      call({
        method: "POST",
        path: "/transact",
        body: JSON.stringify(writes),
        options: how,
      }),
    read: (table, key, how) =>
      call({
        method: "GET",
        path: `/rows?${new URLSearchParams({ table, key })}`,
        options: how,
      }),
    scan: (table, prefix, how) => {
      const query = new URLSearchParams({
        table,
        prefix,
        limit: String(how.limit),
        ...(how.after ? { after: how.after } : {}),
      });
      return call({ method: "GET", path: `/scan?${query}`, options: how });
    },
    putObject: (name, body, how) =>
      call({
        method: "PUT",
        path: `/objects?${new URLSearchParams({ name })}`,
        body,
        options: how,
      }),
    getObject: (name, how) =>
      call({
        method: "GET",
        path: `/objects?${new URLSearchParams({ name })}`,
        options: how,
      }),
    listVms: (how) => call({ method: "GET", path: "/vms", options: how }),
  };
}
