/** Runs calls to plain services; those that may not be repeated are claimed first. */
import { err, ok } from "neverthrow";
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint, Service } from "../configuration/types.ts";
import type { Json } from "../ports/platform.ts";
import { digest } from "../shared/hash.ts";
import { asId, requestKey } from "../shared/ids.ts";
import { mayHaveRun, notRun } from "../shared/verdict.ts";
import type { VmContext } from "../vm/types.ts";
import type {
  CallOutcome,
  CallRequest,
  CallRow,
  CallVerdict,
} from "./types.ts";

/** The table that holds a row for each call that may not be repeated. */
export const CALLS_TABLE = "calls";

/** Options of {@link CallsTask}. */
export interface CallsTaskOptions {
  configuration: ConfigurationView;
}

/** Owns the calls that came in at this VM. */
export class CallsTask {
  #context: VmContext;
  #options: CallsTaskOptions;

  constructor(context: VmContext, options: CallsTaskOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Runs one call and gives its verdict. */
  async submit(call: CallRequest): Promise<CallVerdict> {
    const bodies = this.#options.configuration.current()?.bodies;
    if (!bodies) return err(notRun("no-configuration"));
    const service = bodies.deployment.services.find((one) =>
      one.name === call.service
    );
    if (!service) return err(notRun("not-found"));
    const endpoint = bodies.endpoints.find((one) =>
      one.service === call.service && one.state === "live"
    );
    if (!endpoint) return err(notRun("no-endpoint"));
    if (service.repeatableMethods.includes(call.method)) {
      return await this.#send(call, { endpoint, service, key: "" });
    }
    return await this.#claimAndSend(call, { endpoint, service });
  }

  /** Waits for the outcome of a call that this VM claimed. */
  awaitOutcome(): Promise<CallOutcome> {
    return Promise.resolve({ kind: "unknown" });
  }

  async #claimAndSend(
    call: CallRequest,
    target: { endpoint: Endpoint; service: Service },
  ): Promise<CallVerdict> {
    if (!call.request) return err(notRun("missing-idempotency-key"));
    const key = requestKey(call.workspace, call.request);
    const row: CallRow = {
      key,
      caller: call.caller,
      bodyDigest: digest(call.body),
      attempt: 1,
      expiresAtMs: Date.now() + 86_400_000,
      state: {
        kind: "claimed",
        vm: this.#context.identity.id,
        incarnation: this.#context.identity.incarnation,
        token: asId(String(this.#context.random())),
        claimedAtMs: Date.now(),
      },
    };
    const claimed = await this.#context.ports.platform.transact([{
      table: CALLS_TABLE,
      key,
      expect: { kind: "absent" },
      value: row as unknown as Json,
    }]);
    if (claimed.isErr()) return err(notRun("store-unavailable"));
    if (claimed.value.kind === "conflict") {
      return err(mayHaveRun("in-progress-elsewhere"));
    }
    return await this.#send(call, { ...target, key });
  }

  async #send(
    call: CallRequest,
    target: { endpoint: Endpoint; service: Service; key: string },
  ): Promise<CallVerdict> {
    const { endpoint, service, key } = target;
    const sent = await this.#context.ports.services.call(
      endpoint,
      {
        method: call.method,
        path: call.path,
        contentType: call.contentType,
        body: call.body,
        key,
      },
      { timeoutMs: service.timeoutMs },
    );
    if (sent.isOk()) return ok({ ...sent.value, replayed: false });
    return sent.error.kind === "notSent"
      ? err(notRun("endpoint-refused"))
      : err(mayHaveRun("connection-lost"));
  }
}
