/** The engine port over fake engines in the same process. */
import { wait } from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import type {
  Attachment,
  EndpointRef,
  EngineCallOptions,
  EngineFailure,
  EnginePort,
  StreamEvent,
  StreamSink,
} from "@teaselvalve/core";
import type { FakeNetwork, Host } from "../network/network.ts";
import { sendRequest } from "../network/request.ts";
import { FakeDecodeEngine } from "./decode_engine.ts";
import { FakePrefillEngine } from "./prefill_engine.ts";

/** Any fake engine. */
export type AnyFakeEngine = FakePrefillEngine | FakeDecodeEngine;

/** Options of {@link createFakeEnginePort}. */
export interface FakeEnginePortOptions {
  network: FakeNetwork;
  /** The VM that calls. */
  from: Host;
  /** Engines by address; an address is also the engine's host on the network. */
  engines: ReadonlyMap<string, AnyFakeEngine>;
}

/** Gives one VM's way to the fake engines. */
export function createFakeEnginePort(
  options: FakeEnginePortOptions,
): EnginePort {
  const { network, from, engines } = options;
  const find = (endpoint: EndpointRef) => engines.get(endpoint.address);

  async function call<T>(
    endpoint: EndpointRef,
    how: EngineCallOptions,
    effect: (engine: AnyFakeEngine) => Promise<Result<T, EngineFailure>>,
  ): Promise<Result<T, EngineFailure>> {
    const engine = find(endpoint);
    if (!engine?.up) return err({ kind: "notSent" });
    const answer = await sendRequest(network, {
      from,
      to: endpoint.address,
      timeoutMs: how.timeoutMs,
      fresh: how.fresh,
      execute: () => effect(engine),
    });
    return answer.andThen((result) => result);
  }

  function stream(
    endpoint: EndpointRef,
    how: { timeoutMs: number; sink: StreamSink },
    open: (engine: FakeDecodeEngine, sink: StreamSink) => Attachment,
  ): Attachment {
    const engine = find(endpoint);
    const connection = network.connect(from, endpoint.address, {
      dedicated: true,
    });
    if (!connection || !(engine instanceof FakeDecodeEngine) || !engine.up) {
      queueMicrotask(() =>
        how.sink({ kind: "failed", failure: { kind: "notSent" } })
      );
      return { detach() {}, pause() {}, resume() {} };
    }
    let far: Attachment | undefined;
    let detached = false;
    connection.onBroken.add(() => {
      if (!detached) how.sink({ kind: "failed", failure: { kind: "lost" } });
    });
    // What is under way when the caller detaches still arrives.
    const relay = (event: StreamEvent) =>
      network.reply(connection, () => how.sink(event));
    network.send(connection, () => {
      far = open(engine, relay);
      if (detached) far.detach();
    });
    const tell = (action: (attachment: Attachment) => void) =>
      network.send(connection, () => far && action(far));
    return {
      detach() {
        detached = true;
        tell((attachment) => attachment.detach());
        network.close(connection);
      },
      pause: () => tell((attachment) => attachment.pause()),
      resume: () => tell((attachment) => attachment.resume()),
    };
  }

  return {
    prefill: (endpoint, order, how) =>
      call(
        endpoint,
        how,
        (engine) =>
          engine instanceof FakePrefillEngine
            ? engine.prefill(order)
            : badOrder(),
      ),
    start: (endpoint, order, how) =>
      stream(endpoint, how, (engine, sink) =>
        engine.startRun(order, {
          sink,
          fetchExport: (run) => {
            const source = find(order.from);
            return source instanceof FakePrefillEngine
              ? source.transfer(run)
              : badOrder();
          },
        })),
    attach: (endpoint, order, how) =>
      stream(endpoint, how, (engine, sink) => engine.attach(order, sink)),
    cancel: (endpoint, run, how) =>
      call(endpoint, how, (engine) => {
        engine.cancel(run);
        return done(undefined);
      }),
    report: (endpoint, how) =>
      call(endpoint, how, (engine) => done(engine.report())),
    cacheEvents: (endpoint, after, how) =>
      call(endpoint, how, (engine) =>
        done(
          engine instanceof FakePrefillEngine ? engine.cacheEvents(after) : [],
        )),
    order: (endpoint, order, how) =>
      call(endpoint, how, async (engine) => {
        if (engine.orderDelayMs > 0) await wait(engine.orderDelayMs);
        const code = engine.order(order);
        return code
          ? Promise.resolve(err({ kind: "rejected", code }))
          : done(undefined);
      }),
  };
}

function done<T>(value: T): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(ok(value));
}

function badOrder<T>(): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(err({ kind: "rejected", code: "bad-order" }));
}
