/** The platform port over a fake platform in the same process. */
import type { PlatformPort } from "@teaselvalve/core";
import { callWithFaults, type PlatformFaults } from "./faults.ts";
import type { FakePlatform } from "./platform.ts";

const DEFAULT_TIMEOUT_MS = 1_000;

/** Options of {@link createFakePlatformPort}. */
export interface FakePlatformPortOptions {
  faults: PlatformFaults;
  /** There and back. */
  latencyMs?: number;
}

/** Gives one VM's way to a fake platform. */
export function createFakePlatformPort(
  platform: FakePlatform,
  options: FakePlatformPortOptions,
): PlatformPort {
  const call = <T>(
    effect: () => T,
    how: { writes: boolean; timeoutMs: number | undefined },
  ) =>
    callWithFaults(effect, {
      faults: options.faults,
      writes: how.writes,
      latencyMs: options.latencyMs ?? 4,
      timeoutMs: how.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
  const reading = { writes: false, timeoutMs: undefined };
  return {
    transact: (writes, how) =>
      call(() => platform.transact(writes), {
        writes: true,
        timeoutMs: how?.timeoutMs,
      }),
    read: (table, key, how) =>
      call(() => platform.read(table, key), {
        ...reading,
        timeoutMs: how?.timeoutMs,
      }),
    scan: (table, prefix, how) =>
      call(() => platform.scan(table, prefix, how), {
        ...reading,
        timeoutMs: how.timeoutMs,
      }),
    putObject: (name, body, how) =>
      call(() => platform.putObject(name, body), {
        writes: true,
        timeoutMs: how?.timeoutMs,
      }),
    getObject: (name, how) =>
      call(() => platform.getObject(name), {
        ...reading,
        timeoutMs: how?.timeoutMs,
      }),
    listVms: (how) =>
      call(() => platform.listVms(), {
        ...reading,
        timeoutMs: how?.timeoutMs,
      }),
  };
}
