/** Requests over the fake network, with the failures of a real one. */
import { err, ok, type Result } from "neverthrow";
import type { FakeNetwork, Host } from "./network.ts";

/** Why a request failed: connection refused, connection broken, or no response in time. */
export type RequestFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** Options of {@link sendRequest}. */
export interface RequestOptions<T> {
  from: Host;
  to: Host;
  timeoutMs: number;
  fresh?: boolean;
  /** Runs on the receiving host. If its promise never resolves, no response arrives. */
  execute: () => Promise<T> | T;
}

/** Sends a request and waits for its response; a timeout closes the connection. */
export function sendRequest<T>(
  network: FakeNetwork,
  options: RequestOptions<T>,
): Promise<Result<T, RequestFailure>> {
  const { from, to, execute: effect } = options;
  const connection = network.connect(from, to, { fresh: options.fresh });
  if (!connection) return Promise.resolve(err({ kind: "notSent" }));
  return new Promise((resolve) => {
    const settle = (result: Result<T, RequestFailure>) => {
      clearTimeout(timer);
      connection.onBroken.delete(onLost);
      resolve(result);
    };
    const onLost = () => settle(err({ kind: "lost" }));
    const timer = setTimeout(() => {
      network.close(connection);
      settle(err({ kind: "timeout" }));
    }, Math.max(0, options.timeoutMs));
    connection.onBroken.add(onLost);
    network.send(connection, () => {
      void Promise.resolve(effect()).then((value) =>
        network.reply(connection, () => settle(ok(value)))
      );
    });
  });
}
