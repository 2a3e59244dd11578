/** Sends filings at a rate through several VMs on the paused clock and measures their claims. */
import { asId } from "@teaselvalve/core";
import { quantile } from "simple-statistics";
import type { CallerCall } from "../world/caller.ts";
import { SERVICE, World } from "../world/world.ts";

const DEADLINE_MS = 10_000;
const SETTLE_MS = 5_000;
const SERVICE_MS = 20;
const SERVICE_COUNT = 3;

/** Options of {@link measureClaims}. */
export interface ClaimBenchOptions {
  /** Filings a second over all VMs. */
  rate: number;
  vms: number;
  seconds: number;
  seed: number;
}

/** What was measured at one rate. */
export interface ClaimBenchResult {
  readonly rate: number;
  readonly vms: number;
  readonly sent: number;
  readonly answered: number;
  /** Of the whole system, while filings were sent. */
  readonly transactionsPerSecond: number;
  /** Time of a filing beyond that of a call that needs no claim. */
  readonly addedMs: { p50: number; p95: number; p99: number };
}

/** Measures one rate. */
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
    for (const service of world.services.values()) service.spendMs = SERVICE_MS;
    const plainMs = await measureUnclaimedCall(world);
    const before = world.platform.usage.transactions;
    const calls = await sendAtRate(world, { rate, seconds });
    const { transactions } = world.platform.usage;
    await world.advance(SETTLE_MS);
    const added = calls.flatMap((call) =>
      call.verdict?.isOk()
        ? [call.answeredAtMs! - call.askedAtMs - plainMs]
        : []
    );
    const at = (share: number) => quantile(added, share);
    return {
      rate,
      vms,
      sent: calls.length,
      answered: added.length,
      transactionsPerSecond: (transactions - before) / seconds,
      addedMs: { p50: at(0.5), p95: at(0.95), p99: at(0.99) },
    };
  } finally {
    world.close();
  }
}

async function measureUnclaimedCall(world: World): Promise<number> {
  const call = sendFiling(world, { vm: "vm-1", number: 0, method: "GET" });
  await world.advance(1_000);
  return call.answeredAtMs! - call.askedAtMs;
}

async function sendAtRate(
  world: World,
  options: { rate: number; seconds: number },
): Promise<CallerCall[]> {
  const calls: CallerCall[] = [];
  const names = [...world.vms.keys()];
  const untilMs = performance.now() + options.seconds * 1_000;
  let dueAtMs = performance.now();
  // The clock's timers count whole milliseconds, so several may be due at once.
  const sendDue = () => {
    while (dueAtMs <= performance.now()) {
      const vm = names[Math.floor(world.random() * names.length)]!;
      calls.push(sendFiling(world, { vm, number: calls.length + 1 }));
      dueAtMs += drawArrivalGapMs(world, options.rate);
    }
    if (dueAtMs < untilMs) setTimeout(sendDue, dueAtMs - performance.now());
  };
  sendDue();
  await world.advance(options.seconds * 1_000);
  return calls;
}

// Exponential gaps: filings come independently of each other.
function drawArrivalGapMs(world: World, rate: number): number {
  return -Math.log(1 - world.random()) * 1_000 / rate;
}

function sendFiling(
  world: World,
  options: { vm: string; number: number; method?: string },
): CallerCall {
  return world.call(options.vm, {
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
