import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { EndpointSchema } from "../configuration/types.ts";
import { asId, type StreamId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import type { CancelTracker } from "./cancels.ts";
import { HandoverTracker } from "./handovers.ts";

const STREAM = asId<StreamId>("vm-1-s1");
const DECODE = EndpointSchema.parse({
  id: "decode-1",
  kind: "decode",
  address: "decode-1",
  dataCentre: "a",
  model: "m",
});

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/**
 * Hands over a run that a replica lists under `listedOwner`, or doesn't list.
 * Returns the streams that were cancelled within 10 s.
 */
async function handOver(
  listedOwner: string | null,
  holds = false,
): Promise<StreamId[]> {
  const cancelled: StreamId[] = [];
  const runs = listedOwner === null
    ? []
    : [{ stream: STREAM, owner: { vm: "vm", incarnation: listedOwner } }];
  const context = {
    identity: { id: "vm-1", incarnation: "vm-1-boot" },
    ports: {
      engines: { report: () => Promise.resolve(ok({ ageMs: 800, runs })) },
    },
    observer: { log() {}, count() {} },
  } as unknown as VmContext;
  const cancels = {
    cancel: (_endpoint: unknown, stream: StreamId) => cancelled.push(stream),
  } as unknown as CancelTracker;
  const tracker = new HandoverTracker(context, {
    cancels,
    holdsStream: () => holds,
  });
  tracker.watch(DECODE, STREAM);
  await vi.advanceTimersByTimeAsync(10_000);
  tracker.stop();
  return cancelled;
}

test("A run that was handed over but not taken over is cancelled", async () => {
  expect(await handOver("vm-1-boot")).toEqual([STREAM]);
});

test("A run that another VM has taken over, or that ended, is not cancelled", async () => {
  expect(await handOver("vm-2-boot")).toEqual([]);
  expect(await handOver(null)).toEqual([]);
});

test("A run that this VM has taken over again is not cancelled", async () => {
  expect(await handOver("vm-1-boot", true)).toEqual([]);
});
