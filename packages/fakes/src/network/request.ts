/** Requests over the fake network, with the failures that a real one would show. */
import { err, ok, type Result } from "neverthrow";
import type { FakeNetwork, Host } from "./network.ts";

/** How a request failed on its way. */
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
  /** Carried out at the far end. A promise that never resolves is an answer that never comes. */
  execute: () => Promise<T> | T;
}

/** Sends a request and waits for its answer. */
export function sendRequest<T>(
  network: FakeNetwork,
  options: RequestOptions<T>,
): Promise<Result<T, RequestFailure>> {
  const { from, to, execute: effect } = options;
  const connection = network.connect(from, to, { fresh: options.fresh });
  if (!connection) return Promise.resolve(err({ kind: "notSent" }));
  return new Promise((resolve) => {
    const end = (result: Result<T, RequestFailure>) => {
      clearTimeout(timer);
      connection.onBroken.delete(broken);
      resolve(result);
    };
    const broken = () => end(err({ kind: "lost" }));
    const timer = setTimeout(() => {
      network.close(connection);
      end(err({ kind: "timeout" }));
    }, Math.max(0, options.timeoutMs));
    connection.onBroken.add(broken);
    network.send(connection, () => {
      void Promise.resolve(effect()).then((value) =>
        network.reply(connection, () => end(ok(value)))
      );
    });
  });
}
