/**
 * Measures claims in real time against the fake platform, which runs as a separate
 * process.
 */
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  asId,
  CallsTask,
  type CallsTaskOptions,
  type Member,
  RetryBudget,
  SILENT_OBSERVER,
  type VmContext,
} from "@teaselvalve/core";
import { createPlatformPort } from "@teaselvalve/daemon";
import { ok } from "neverthrow";
import { quantile } from "simple-statistics";
import {
  freePorts,
  ProcessGroup,
  PROGRAMS,
} from "../processes/process_group.ts";
import { SERVICE } from "../world/world.ts";
import type { ClaimBenchOptions, ClaimBenchResult } from "./measure_claims.ts";

const PLATFORM_TIMEOUT_MS = 1_000;
const DEADLINE_MS = 10_000;
/** Time for the last filings to be sent. */
const SETTLE_MS = 1_000;
const COMMIT_SAMPLES = 300;
const START_ATTEMPTS = 100;
const START_POLL_INTERVAL_MS = 50;

/** Result at one rate, with the time of a single commit on an idle platform. */
export interface ProcessBenchResult extends ClaimBenchResult {
  readonly commitMs: { p50: number; p99: number };
}

/** Measures one rate. The added time is that from submission to sending. */
export async function measureAgainstProcess(
  options: ClaimBenchOptions,
): Promise<ProcessBenchResult> {
  const [port] = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  const group = new ProcessGroup();
  group.spawn({
    name: "platform",
    program: PROGRAMS.fakes,
    args: ["platform", "--port", String(port)],
    logFile: join(tmpdir(), "teaselvalve-bench-calls.log"),
  });
  try {
    await waitForPlatform(address);
    const commitMs = await measureCommits(address);
    return { ...await measureClaims(address, options), commitMs };
  } finally {
    await group.endAll();
  }
}

async function waitForPlatform(address: string): Promise<void> {
  const platform = createPlatformPort({ address, timeoutMs: 1_000 });
  for (let attempt = 1; attempt <= START_ATTEMPTS; attempt += 1) {
    if ((await platform.listVms()).isOk()) return;
    await pause(START_POLL_INTERVAL_MS);
  }
  throw new Error("The fake platform did not start");
}

async function measureCommits(address: string) {
  const platform = createPlatformPort({ address, timeoutMs: 1_000 });
  const commitTimesMs: number[] = [];
  for (let index = 0; index < COMMIT_SAMPLES; index += 1) {
    const startedMs = performance.now();
    await platform.transact([{
      table: "samples",
      key: `sample-${index}`,
      expect: { kind: "absent" },
      value: { number: index },
    }]);
    commitTimesMs.push(performance.now() - startedMs);
  }
  return {
    p50: quantile(commitTimesMs, 0.5),
    p99: quantile(commitTimesMs, 0.99),
  };
}

async function measureClaims(
  address: string,
  { rate, vms, seconds }: ClaimBenchOptions,
): Promise<ClaimBenchResult> {
  const addedMs: number[] = [];
  const submittedAtMs = new Map<string, number>();
  const tasks = Array.from({ length: vms }, (_, index) =>
    createCallsTask({
      address,
      vms,
      index,
      onSend: (key) =>
        addedMs.push(performance.now() - submittedAtMs.get(key)!),
    }));
  for (const task of tasks) task.start();
  const transactionsBefore = await readTransactions(address);
  let sent = 0;
  const startedMs = performance.now();
  while (performance.now() - startedMs < seconds * 1_000) {
    const dueCount = (performance.now() - startedMs) * rate / 1_000;
    for (; sent < dueCount; sent += 1) {
      submittedAtMs.set(`lenders/filing-${sent}`, performance.now());
      void tasks[sent % vms]!.submit(createCall(sent));
    }
    await pause(1);
  }
  const transactions = await readTransactions(address) - transactionsBefore;
  await pause(SETTLE_MS);
  for (const task of tasks) task.stop();
  const quantileOf = (share: number) => quantile(addedMs, share);
  return {
    rate,
    vms,
    sent,
    answered: addedMs.length,
    transactionsPerSecond: transactions / seconds,
    addedMs: {
      p50: quantileOf(0.5),
      p95: quantileOf(0.95),
      p99: quantileOf(0.99),
    },
  };
}

function createCall(number: number) {
  return {
    workspace: asId<never>("lenders"),
    caller: asId<never>("lender-1"),
    request: asId<never>(`filing-${number}`),
    service: asId<never>(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: "{}",
    deadlineAtMs: Date.now() + DEADLINE_MS,
  };
}

function createCallsTask(options: {
  address: string;
  vms: number;
  index: number;
  /** Called with the key of each filing when it is sent to the service. */
  onSend: (key: string) => void;
}): CallsTask {
  const members = Array.from(
    { length: options.vms },
    (_, index) =>
      ({ id: `vm-${index + 1}`, state: "live" }) as unknown as Member,
  );
  const context = {
    identity: {
      id: `vm-${options.index + 1}`,
      incarnation: `boot-${options.index + 1}`,
      dataCentre: "helsinki-a",
    },
    ports: {
      platform: createPlatformPort({
        address: options.address,
        timeoutMs: PLATFORM_TIMEOUT_MS,
      }),
      services: {
        call: (_endpoint: unknown, request: { key: string }) => {
          options.onSend(request.key);
          return Promise.resolve(
            ok({ status: 201, contentType: "application/json", body: "{}" }),
          );
        },
      },
    },
    observer: SILENT_OBSERVER,
    random: Math.random,
  } as unknown as VmContext;
  return new CallsTask(context, {
    configuration: { current: () => CONFIGURATION },
    membership: {
      self: members[options.index],
      members: () => members,
      homeOf: () => members[0]!,
    },
    retries: new RetryBudget(context, { share: () => 0 }),
  } as unknown as CallsTaskOptions);
}

const CONFIGURATION = {
  bodies: {
    deployment: {
      callRetentionMs: 86_400_000,
      services: [{ name: SERVICE, repeatableMethods: [], timeoutMs: 30_000 }],
    },
    endpoints: [{
      id: "kirjaamo-1",
      kind: "service",
      service: SERVICE,
      state: "live",
      dataCentre: "helsinki-a",
    }],
  },
};

async function readTransactions(address: string): Promise<number> {
  const answer = await fetch(`http://${address}/usage`);
  const usage = await answer.json() as { transactions: number };
  return usage.transactions;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
