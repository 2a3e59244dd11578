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
  const refusal = `refusal: ${received.rest}`;
  expect(received, refusal).toMatchObject({ complete: true, status: 200 });
  expect(received.text).toBe(expectedText(key, received.offset));
}

/** Whether an answer says that the request did not run, now or before. */
function reportsNotRun({ text }: ClientResponse): boolean {
  return text.includes('"notRun"') && !text.includes("earlierAttempts");
}

test("A stream that a killed VM broke goes on whole at another", async () => {
  const { vms, processes: group } = await start();
  let killed: Promise<void> | undefined;
  const first = await streamSummary(deployment!, vms[0]!.callers, {
    key: "killed",
    tokens: 600,
    onEvent: (offset) => {
      if (offset >= 40) killed ??= group.end("vm-1", "SIGKILL");
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

test("A caller whose socket is cut gets its whole answer when it asks again", async () => {
  const { vms } = await start();
  const first = await streamSummary(deployment!, vms[0]!.callers, {
    key: "cut",
    tokens: 200,
    onEvent: (offset) => offset >= 40,
  });
  let last = first;
  // A closed connection ends the run, so the caller may have to begin again.
  await waitUntil(async () => {
    const beginsAgain = last.rest.includes("without Last-Event-ID");
    last = await streamSummary(deployment!, vms[0]!.callers, {
      key: "cut",
      tokens: 200,
      resumeFrom: beginsAgain ? undefined : first,
    });
    return last.complete;
  }, LIMIT_MS);
  expectComplete(last, "cut");
});

test("A filing whose VM is killed between claim and answer runs once", async () => {
  const { vms, processes: group } = await start({ serviceDurationMs: 3_000 });
  void submitFiling(deployment!, { address: vms[0]!.callers, key: "filing-1" });
  await waitUntil(
    async () => await countRuns(deployment!, "filing-1") === 1,
    LIMIT_MS,
  );
  await group.end("vm-1", "SIGKILL");
  await removeListedVm(deployment!, vms[0]!);
  const again = await submitFiling(deployment!, {
    address: vms[1]!.callers,
    key: "filing-1",
  });
  expect(again.text).toContain('"mayHaveRun"');
  expect(await countRuns(deployment!, "filing-1")).toBe(1);
});

test("A VM frozen between claim and send runs a filing at most once", async () => {
  const { vms, processes: group } = await start();
  // The claim takes effect at once and its reply comes after the freeze has begun.
  await setPlatformFaults(deployment!, { delayMs: 400 });
  const first = submitFiling(deployment!, {
    address: vms[0]!.callers,
    key: "filing-2",
  });
  await new Promise((resolve) => setTimeout(resolve, 500));
  group.get("vm-1").kill("SIGSTOP");
  await setPlatformFaults(deployment!, { delayMs: 0 });
  const second = submitFiling(deployment!, {
    address: vms[1]!.callers,
    key: "filing-2",
  });
  await new Promise((resolve) => setTimeout(resolve, 8_000));
  group.get("vm-1").kill("SIGCONT");
  const answers = await Promise.all([first, second]);
  const runs = await countRuns(deployment!, "filing-2");
  expect(runs).toBeLessThanOrEqual(1);
  if (runs === 1) expect(answers.some(reportsNotRun)).toBe(false);
  for (const answer of answers) expect(answer.status).toBeGreaterThan(0);
});

test("A frozen platform refuses filings and lets summaries run", async () => {
  const { vms, processes: group } = await start();
  const [vm] = vms;
  group.get("platform").kill("SIGSTOP");
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
  group.get("platform").kill("SIGCONT");
  await waitUntil(async () => {
    const answer = await submitFiling(deployment!, {
      address: vm!.callers,
      key: "filing-3",
    });
    return answer.status === 201;
  }, LIMIT_MS);
  expect(await countRuns(deployment!, "filing-3")).toBe(1);
});

test("A VM that is told to stop under load cuts nothing and exits", async () => {
  const { vms, processes: group } = await start({ decodes: 4 });
  const failures: string[] = [];
  let stopping = true;
  const load = Array.from(
    { length: 4 },
    (_, at) =>
      runCaller(deployment!, { at, failures, shouldContinue: () => stopping }),
  );
  const long = streamSummary(deployment!, vms[1]!.callers, {
    key: "long",
    tokens: 700,
  });
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  const child = group.get("vm-2");
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  const [code] = await exited;
  stopping = false;
  await Promise.all(load);
  expect(code).toBe(0);
  expectComplete(await long, "long");
  expect(failures).toEqual([]);
});

/** Whether a connection was refused or broke, or a VM sent the caller away because it stops. */
function wasInterrupted({ status, text }: ClientResponse): boolean {
  return status === 0 || /"mayHaveRun"|"stopping"/.test(text);
}

/** Sends filings and summaries to addresses that are kept for their time to live. */
async function runCaller(
  deployment: Deployment,
  options: { at: number; failures: string[]; shouldContinue: () => boolean },
): Promise<void> {
  const { at, failures, shouldContinue: goesOn } = options;
  let addresses: string[] = [];
  let askedAtMs = -Infinity;
  for (let sent = 0; goesOn(); sent += 1) {
    if (performance.now() - askedAtMs > ADDRESS_TTL_MS - 100) {
      askedAtMs = performance.now();
      addresses = await fetchAddresses(deployment.vms[0]!.callers);
    }
    const address = addresses[sent % addresses.length]!;
    const key = `caller-${at}-${sent}`;
    const filed = await submitFiling(deployment, { address, key });
    if (wasInterrupted(filed)) failures.push(`${key}: ${filed.text}`);
    if (performance.now() - askedAtMs > ADDRESS_TTL_MS - 100) continue;
    const summary = await streamSummary(deployment, address, {
      key: `summary-${key}`,
      tokens: 30,
    });
    const { complete, status, rest } = summary;
    const cut = !complete &&
      (status === 200 || wasInterrupted({ status, text: rest }));
    if (cut) failures.push(`summary-${key}: ${status} ${rest}`);
  }
}
