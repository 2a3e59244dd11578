/** The platform port over a fake platform in the same process. */
import type {
  PlatformPort,
  StoreCallOptions,
  StoreFailure,
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

/** Gives one VM's way to a fake platform. */
export function createFakePlatformPort(
  platform: FakePlatform,
  options: FakePlatformPortOptions,
): PlatformPort {
  async function call<T>(
    effect: () => T,
    how: {
      service: "store" | "list";
      writes: boolean;
      options: StoreCallOptions | undefined;
    },
  ): Promise<Result<T, StoreFailure>> {
    const answer = await sendRequest(options.network, {
      from: options.from,
      to: PLATFORM_HOST,
      timeoutMs: how.options?.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      execute: () => executeWithFaults(options.faults, { ...how, effect }),
    });
    return answer.mapErr(({ kind }) => ({
      kind: kind === "notSent" ? "notSent" : "unknown",
      detail: kind,
    }));
  }
  const read = <T>(effect: () => T, how: StoreCallOptions | undefined) =>
    call(effect, { service: "store", writes: false, options: how });
  const write = <T>(effect: () => T, how: StoreCallOptions | undefined) =>
    call(effect, { service: "store", writes: true, options: how });
  return {
    transact: (writes, how) => write(() => platform.transact(writes), how),
    read: (table, key, how) => read(() => platform.read(table, key), how),
    scan: (table, prefix, how) =>
      read(() => platform.scan(table, prefix, how), how),
    putObject: (name, body, how) =>
      write(() => platform.putObject(name, body), how),
    getObject: (name, how) => read(() => platform.getObject(name), how),
    listVms: (how) =>
      call(() => platform.listVms(), { ...LIST_CALL, options: how }),
  };
}
