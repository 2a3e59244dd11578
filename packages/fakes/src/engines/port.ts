/** Engine port to fake engines in the same process. */
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

/** Creates the engine port of one VM. */
export function createFakeEnginePort(
  options: FakeEnginePortOptions,
): EnginePort {
  const { network, from, engines } = options;
  const findEngine = (endpoint: EndpointRef) => engines.get(endpoint.address);

  async function call<T>(
    endpoint: EndpointRef,
    callOptions: EngineCallOptions,
    execute: (engine: AnyFakeEngine) => Promise<Result<T, EngineFailure>>,
  ): Promise<Result<T, EngineFailure>> {
    const engine = findEngine(endpoint);
    if (!engine?.up) return err({ kind: "notSent" });
    const answer = await sendRequest(network, {
      from,
      to: endpoint.address,
      timeoutMs: callOptions.timeoutMs,
      fresh: callOptions.fresh,
      execute: () => execute(engine),
    });
    return answer.andThen((result) => result);
  }

  function stream(
    endpoint: EndpointRef,
    params: { timeoutMs: number; sink: StreamSink },
    open: (engine: FakeDecodeEngine, sink: StreamSink) => Attachment,
  ): Attachment {
    const engine = findEngine(endpoint);
    const connection = network.connect(from, endpoint.address, {
      dedicated: true,
    });
    if (!connection || !(engine instanceof FakeDecodeEngine) || !engine.up) {
      queueMicrotask(() =>
        params.sink({ kind: "failed", failure: { kind: "notSent" } })
      );
      return { detach() {}, pause() {}, resume() {} };
    }
    let remote: Attachment | undefined;
    let detached = false;
    connection.onBroken.add(() => {
      if (!detached) params.sink({ kind: "failed", failure: { kind: "lost" } });
    });
    // Events in flight when the VM detaches still arrive.
    const relay = (event: StreamEvent) =>
      network.reply(connection, () => params.sink(event));
    network.send(connection, () => {
      remote = open(engine, relay);
      if (detached) remote.detach();
    });
    const forward = (action: (attachment: Attachment) => void) =>
      network.send(connection, () => remote && action(remote));
    return {
      detach() {
        detached = true;
        forward((attachment) => attachment.detach());
        network.close(connection);
      },
      pause: () => forward((attachment) => attachment.pause()),
      resume: () => forward((attachment) => attachment.resume()),
    };
  }

  return {
    prefill: (endpoint, order, callOptions) =>
      call(
        endpoint,
        callOptions,
        (engine) =>
          engine instanceof FakePrefillEngine
            ? engine.prefill(order)
            : badOrder(),
      ),
    start: (endpoint, order, callOptions) =>
      stream(endpoint, callOptions, (engine, sink) =>
        engine.startRun(order, {
          sink,
          fetchExport: (run) => {
            const source = findEngine(order.from);
            return source instanceof FakePrefillEngine
              ? source.transfer(run)
              : badOrder();
          },
        })),
    attach: (endpoint, order, callOptions) =>
      stream(
        endpoint,
        callOptions,
        (engine, sink) => engine.attach(order, sink),
      ),
    cancel: (endpoint, run, callOptions) =>
      call(endpoint, callOptions, (engine) => {
        engine.cancel(run);
        return succeeded(undefined);
      }),
    report: (endpoint, callOptions) =>
      call(endpoint, callOptions, (engine) => succeeded(engine.report())),
    cacheEvents: (endpoint, after, callOptions) =>
      call(endpoint, callOptions, (engine) =>
        succeeded(
          engine instanceof FakePrefillEngine ? engine.cacheEvents(after) : [],
        )),
    order: (endpoint, order, callOptions) =>
      call(endpoint, callOptions, async (engine) => {
        if (engine.orderDelayMs > 0) await wait(engine.orderDelayMs);
        const code = engine.order(order);
        return code
          ? Promise.resolve(err({ kind: "rejected", code }))
          : succeeded(undefined);
      }),
  };
}

function succeeded<T>(value: T): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(ok(value));
}

function badOrder<T>(): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(err({ kind: "rejected", code: "bad-order" }));
}
