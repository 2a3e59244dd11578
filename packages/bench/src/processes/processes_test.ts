import { once } from "node:events";
import { expectedAnswer } from "@teaselvalve/fakes";
import { afterEach, expect, test } from "vitest";
import {
  type ClientResponse,
  countRuns,
  fetchAddresses,
  type ReceivedSummary,
  setPlatformFaults,
  streamSummary,
  submitFiling,
  submitManifest,
  waitUntil,
} from "./client.ts";
import {
  type Deployment,
  type DeploymentOptions,
  firstManifest,
  removeListedVm,
  startDeployment,
} from "./deployment.ts";

const LIMIT_MS = 30_000;
const ADDRESS_TTL_MS = 2_000;

let deployment: Deployment | undefined;

afterEach(async () => await deployment?.close());

async function start(options: DeploymentOptions = {}): Promise<Deployment> {
  deployment = await startDeployment(options);
  await submitManifest(deployment, {
    manifest: firstManifest(deployment, { addressTtlMs: ADDRESS_TTL_MS }),
  });
  return deployment;
}

function expectedText(key: string, tokens: number): string {
  const text = `Summarise ${key} [length=${tokens}]`;
  return expectedAnswer({ text, tokens: 0, blocks: [] }, tokens);
}

function expectComplete(received: ReceivedSummary, key: string): void {
  const refusal = `refusal: ${received.lastNonToken}`;
  expect(received, refusal).toMatchObject({ complete: true, status: 200 });
  expect(received.text).toBe(expectedText(key, received.offset));
}

/** Whether a response says that the request did not run, now or in an earlier attempt. */
function reportsNotRun({ text }: ClientResponse): boolean {
  return text.includes('"notRun"') && !text.includes("earlierAttempts");
}

test("A stream that a killed VM broke goes on whole at another", async () => {
  const { vms, processes } = await start();
  let killed: Promise<void> | undefined;
  const first = await streamSummary(deployment!, vms[0]!.callers, {
    key: "killed",
    tokens: 600,
    onEvent: (offset) => {
      if (offset >= 40) killed ??= processes.end("vm-1", "SIGKILL");
    },
  });
  await killed;
  expect(first.complete).toBe(false);
  const second = await streamSummary(deployment!, vms[1]!.callers, {
    key: "killed",
    tokens: 600,
    resumeFrom: first,
  });
  expectComplete(second, "killed");
});

test("A caller whose connection breaks gets its whole answer when it retries", async () => {
  const { vms } = await start();
  const first = await streamSummary(deployment!, vms[0]!.callers, {
    key: "cut",
    tokens: 200,
    onEvent: (offset) => offset >= 40,
  });
  let last = first;
  // The closed connection ends the run, so the caller may have to start from the beginning.
  await waitUntil(async () => {
    const startsOver = last.lastNonToken.includes("without Last-Event-ID");
    last = await streamSummary(deployment!, vms[0]!.callers, {
      key: "cut",
      tokens: 200,
      resumeFrom: startsOver ? undefined : first,
    });
    return last.complete;
  }, LIMIT_MS);
  expectComplete(last, "cut");
});

test("A filing runs only once when its VM is killed between the claim and the answer", async () => {
  const { vms, processes } = await start({ serviceDurationMs: 3_000 });
  void submitFiling(deployment!, { address: vms[0]!.callers, key: "filing-1" });
  await waitUntil(
    async () => await countRuns(deployment!, "filing-1") === 1,
    LIMIT_MS,
  );
  await processes.end("vm-1", "SIGKILL");
  await removeListedVm(deployment!, vms[0]!);
  const again = await submitFiling(deployment!, {
    address: vms[1]!.callers,
    key: "filing-1",
  });
  expect(again.text).toContain('"mayHaveRun"');
  expect(await countRuns(deployment!, "filing-1")).toBe(1);
});

test("A filing runs at most once when its VM is frozen between the claim and the send", async () => {
  const { vms, processes } = await start();
  // The claim takes effect immediately; its reply arrives after the freeze has begun.
  await setPlatformFaults(deployment!, { delayMs: 400 });
  const first = submitFiling(deployment!, {
    address: vms[0]!.callers,
    key: "filing-2",
  });
  await new Promise((resolve) => setTimeout(resolve, 500));
  processes.get("vm-1").kill("SIGSTOP");
  await setPlatformFaults(deployment!, { delayMs: 0 });
  const second = submitFiling(deployment!, {
    address: vms[1]!.callers,
    key: "filing-2",
  });
  await new Promise((resolve) => setTimeout(resolve, 8_000));
  processes.get("vm-1").kill("SIGCONT");
  const answers = await Promise.all([first, second]);
  const runs = await countRuns(deployment!, "filing-2");
  expect(runs).toBeLessThanOrEqual(1);
  if (runs === 1) expect(answers.some(reportsNotRun)).toBe(false);
  for (const answer of answers) expect(answer.status).toBeGreaterThan(0);
});

test("While the platform is frozen, filings are refused and summaries run", async () => {
  const { vms, processes } = await start();
  const [vm] = vms;
  processes.get("platform").kill("SIGSTOP");
  const refused = await submitFiling(deployment!, {
    address: vm!.callers,
    key: "filing-3",
  });
  expect(refused.status).toBe(503);
  expect(refused.text).toContain("store-unavailable");
  const summary = await streamSummary(deployment!, vm!.callers, {
    key: "during",
    tokens: 50,
  });
  expectComplete(summary, "during");
  processes.get("platform").kill("SIGCONT");
  await waitUntil(async () => {
    const answer = await submitFiling(deployment!, {
      address: vm!.callers,
      key: "filing-3",
    });
    return answer.status === 201;
  }, LIMIT_MS);
  expect(await countRuns(deployment!, "filing-3")).toBe(1);
});

test("A VM that stops gracefully under load interrupts no request and exits", async () => {
  const { vms, processes } = await start({ decodes: 4 });
  const failures: string[] = [];
  let keepSending = true;
  const load = Array.from(
    { length: 4 },
    (_, index) =>
      runCaller(deployment!, {
        index,
        failures,
        shouldContinue: () => keepSending,
      }),
  );
  const long = streamSummary(deployment!, vms[1]!.callers, {
    key: "long",
    tokens: 700,
  });
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  const child = processes.get("vm-2");
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  const [code] = await exited;
  keepSending = false;
  await Promise.all(load);
  expect(code).toBe(0);
  expectComplete(await long, "long");
  expect(failures).toEqual([]);
});

/**
 * Whether the connection was refused or broke, or the VM refused the request because
 * it is stopping.
 */
function wasInterrupted({ status, text }: ClientResponse): boolean {
  return status === 0 || /"mayHaveRun"|"stopping"/.test(text);
}

/** Sends filings and summary requests to addresses cached for their time to live. */
async function runCaller(
  deployment: Deployment,
  options: { index: number; failures: string[]; shouldContinue: () => boolean },
): Promise<void> {
  const { index, failures, shouldContinue } = options;
  let addresses: string[] = [];
  let fetchedAtMs = -Infinity;
  for (let sent = 0; shouldContinue(); sent += 1) {
    if (performance.now() - fetchedAtMs > ADDRESS_TTL_MS - 100) {
      fetchedAtMs = performance.now();
      addresses = await fetchAddresses(deployment.vms[0]!.callers);
    }
    const address = addresses[sent % addresses.length]!;
    const key = `caller-${index}-${sent}`;
    const response = await submitFiling(deployment, { address, key });
    if (wasInterrupted(response)) failures.push(`${key}: ${response.text}`);
    if (performance.now() - fetchedAtMs > ADDRESS_TTL_MS - 100) continue;
    const summary = await streamSummary(deployment, address, {
      key: `summary-${key}`,
      tokens: 30,
    });
    const { complete, status, lastNonToken } = summary;
    const interrupted = !complete &&
      (status === 200 || wasInterrupted({ status, text: lastNonToken }));
    if (interrupted) failures.push(`summary-${key}: ${status} ${lastNonToken}`);
  }
}
