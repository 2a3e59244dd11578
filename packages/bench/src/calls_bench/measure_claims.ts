/** Measures the claims of filings sent at a rate through several VMs on a fake clock. */
import { asId } from "@teaselvalve/core";
import { quantile } from "simple-statistics";
import type { CallerCall } from "../world/caller.ts";
import { SERVICE, World } from "../world/world.ts";

const DEADLINE_MS = 10_000;
/** Time for the last answers to arrive. */
const SETTLE_MS = 5_000;
/** Duration of a call to a plain service. */
const SERVICE_MS = 20;
const SERVICE_COUNT = 3;

/** Options of {@link measureClaims}. */
export interface ClaimBenchOptions {
  /** Filings per second, over all VMs. */
  rate: number;
  vms: number;
  /** For how long filings are sent. */
  seconds: number;
  seed: number;
}

/** Result at one rate. */
export interface ClaimBenchResult {
  readonly rate: number;
  readonly vms: number;
  readonly sent: number;
  /** Filings that were answered, or in `measureAgainstProcess` sent to the service. */
  readonly answered: number;
  /** Over the whole system, while filings were sent. */
  readonly transactionsPerSecond: number;
  /** Time that a claim adds to a call. */
  readonly addedMs: { p50: number; p95: number; p99: number };
}

/** Measures one rate. The added time is that beyond a call that needs no claim. */
export async function measureClaims(
  options: ClaimBenchOptions,
): Promise<ClaimBenchResult> {
  const { rate, vms, seconds, seed } = options;
  const world = await World.create({
    seed,
    vms,
    prefills: 0,
    decodes: 0,
    services: SERVICE_COUNT,
  });
  try {
    for (const fake of world.services.values()) fake.durationMs = SERVICE_MS;
    const unclaimedMs = await measureUnclaimedCall(world);
    const transactionsBefore = world.platform.usage.transactions;
    const calls = await sendAtRate(world, { rate, seconds });
    const { transactions } = world.platform.usage;
    await world.advance(SETTLE_MS);
    const addedMs = calls.flatMap((call) =>
      call.verdict?.isOk()
        ? [call.answeredAtMs! - call.sentAtMs - unclaimedMs]
        : []
    );
    const quantileOf = (share: number) => quantile(addedMs, share);
    return {
      rate,
      vms,
      sent: calls.length,
      answered: addedMs.length,
      transactionsPerSecond: (transactions - transactionsBefore) / seconds,
      addedMs: {
        p50: quantileOf(0.5),
        p95: quantileOf(0.95),
        p99: quantileOf(0.99),
      },
    };
  } finally {
    world.close();
  }
}

async function measureUnclaimedCall(world: World): Promise<number> {
  const call = sendFiling(world, { vm: "vm-1", number: 0, method: "GET" });
  await world.advance(1_000);
  return call.answeredAtMs! - call.sentAtMs;
}

async function sendAtRate(
  world: World,
  options: { rate: number; seconds: number },
): Promise<CallerCall[]> {
  const calls: CallerCall[] = [];
  const vmNames = [...world.vms.keys()];
  const endsAtMs = performance.now() + options.seconds * 1_000;
  let dueAtMs = performance.now();
  // Timers of the fake clock count whole milliseconds, so several filings may be due at
  // once.
  const sendDue = () => {
    while (dueAtMs <= performance.now()) {
      const vm = vmNames[Math.floor(world.random() * vmNames.length)]!;
      calls.push(sendFiling(world, { vm, number: calls.length + 1 }));
      dueAtMs += drawArrivalGapMs(world, options.rate);
    }
    if (dueAtMs < endsAtMs) setTimeout(sendDue, dueAtMs - performance.now());
  };
  sendDue();
  await world.advance(options.seconds * 1_000);
  return calls;
}

/** Draws an exponential gap, so that filings arrive independently of each other. */
function drawArrivalGapMs(world: World, rate: number): number {
  return -Math.log(1 - world.random()) * 1_000 / rate;
}

function sendFiling(
  world: World,
  options: { vm: string; number: number; method?: string },
): CallerCall {
  return world.sendCall(options.vm, {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId(`filing-${options.number}`),
    service: asId(SERVICE),
    method: options.method ?? "POST",
    path: "/filings",
    contentType: "application/json",
    body: "{}",
    deadlineAtMs: Date.now() + DEADLINE_MS,
  });
}
