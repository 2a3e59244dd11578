/** Platform port to a fake platform in the same process. */
import {
  type PlatformPort,
  SINGLE_ERA,
  type StoreCallOptions,
  type StoreFailure,
} from "@teaselvalve/core";
import type { Result } from "neverthrow";
import type { FakeNetwork, Host } from "../network/network.ts";
import { sendRequest } from "../network/request.ts";
import { executeWithFaults, type PlatformFaults } from "./faults.ts";
import type { FakePlatform } from "./platform.ts";

/** The platform's host on the network. */
export const PLATFORM_HOST: Host = "platform";

const DEFAULT_TIMEOUT_MS = 1_000;
const LIST_CALL = { service: "list", writes: false } as const;

/** Options of {@link createFakePlatformPort}. */
export interface FakePlatformPortOptions {
  network: FakeNetwork;
  from: Host;
  faults: PlatformFaults;
}

/** Creates the platform port of one VM. */
export function createFakePlatformPort(
  platform: FakePlatform,
  options: FakePlatformPortOptions,
): PlatformPort {
  async function call<T>(
    execute: () => T,
    callSpec: {
      service: "store" | "list";
      writes: boolean;
      options: StoreCallOptions | undefined;
    },
  ): Promise<Result<T, StoreFailure>> {
    const answer = await sendRequest(options.network, {
      from: options.from,
      to: PLATFORM_HOST,
      timeoutMs: callSpec.options?.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      execute: () =>
        executeWithFaults(options.faults, { ...callSpec, execute }),
    });
    return answer.mapErr(({ kind }) => ({
      kind: kind === "notSent" ? "notSent" : "unknown",
      detail: kind,
    }));
  }
  const read = <T>(
    execute: () => T,
    callOptions: StoreCallOptions | undefined,
  ) => call(execute, { service: "store", writes: false, options: callOptions });
  const write = <T>(
    execute: () => T,
    callOptions: StoreCallOptions | undefined,
  ) => call(execute, { service: "store", writes: true, options: callOptions });
  return {
    eras: SINGLE_ERA,
    transact: (writes, callOptions) =>
      write(() => platform.transact(writes), callOptions),
    read: (table, key, callOptions) =>
      read(() => platform.read(table, key), callOptions),
    scan: (table, prefix, callOptions) =>
      read(() => platform.scan(table, prefix, callOptions), callOptions),
    putObject: (name, body, callOptions) =>
      write(() => platform.putObject(name, body), callOptions),
    getObject: (name, callOptions) =>
      read(() => platform.getObject(name), callOptions),
    listVms: (callOptions) =>
      call(() => platform.listVms(), { ...LIST_CALL, options: callOptions }),
  };
}
