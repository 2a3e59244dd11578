/** Requests over the fake network, with the failures that a real one would show. */
import { err, ok, type Result } from "neverthrow";
import type { Connection, FakeNetwork, Host } from "./network.ts";

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
  /** Carried out at the far end. */
  effect: () => Promise<T> | T;
}

/** Sends a request and waits for its answer. */
export function sendRequest<T>(
  network: FakeNetwork,
  options: RequestOptions<T>,
): Promise<Result<T, RequestFailure>> {
  const { from, to } = options;
  const connection = network.connect(from, to, { fresh: options.fresh });
  if (!connection) return Promise.resolve(err({ kind: "notSent" }));
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      network.close(connection);
      resolve(err({ kind: "timeout" }));
    }, Math.max(0, options.timeoutMs));
    network.send(connection, () => {
      void answer(network, { connection, effect: options.effect, resolve })
        .finally(() => clearTimeout(timer));
    });
  });
}

interface AnswerOptions<T> {
  connection: Connection;
  effect: () => Promise<T> | T;
  resolve: (result: Result<T, RequestFailure>) => void;
}

async function answer<T>(
  network: FakeNetwork,
  options: AnswerOptions<T>,
): Promise<void> {
  const value = await options.effect();
  await new Promise<void>((replied) =>
    network.reply(options.connection, () => {
      options.resolve(ok(value));
      replied();
    })
  );
}
