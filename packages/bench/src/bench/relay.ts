/**
 * Measures what relaying summaries through a real daemon costs, compared with the same
 * client that calls the fake engines directly.
 */
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import { build } from "hdr-histogram-js";
import { request } from "undici";
import {
  type Deployment,
  firstManifest,
  MODEL,
  startDeployment,
  waitForHttp,
} from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";

/** Result of one path: direct to the engines, or relayed by the daemon. */
export interface RelayPathResult {
  readonly tokens: number;
  /** Number of refused requests. */
  readonly refused: number;
  readonly tokensPerSecond: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
}

/** Results of both paths, and the difference between them. */
export interface RelayResult {
  readonly direct: RelayPathResult;
  readonly relayed: RelayPathResult;
  /** Relayed tokens per second of the daemon's processor time. */
  readonly tokensPerCoreSecond: number;
  readonly addedFirstTokenP99Ms: number;
  /** Relayed divided by direct. */
  readonly tokensPerSecondRatio: number;
}

/** Concurrent streams of one round. */
const STREAMS = 24;
const ROUNDS = 4;
const WARM_UP_ROUNDS = 5;
const TOKENS = 200;
const MS_PER_SECOND = 1_000;
/** The histogram records integers, in units of 10 µs. */
const HISTOGRAM_UNITS_PER_MS = 100;
/** Linux reports processor time in hundredths of a second. */
const CPU_TICKS_PER_SECOND = 100;

/** Starts one daemon and its fakes, and measures both paths in alternating rounds. */
export async function measureRelay(): Promise<RelayResult> {
  const deployment = await startDeployment({
    vms: 1,
    prefills: 2,
    decodes: 3,
  });
  try {
    await submitFirstManifest(deployment);
    const direct = new PathMeasurement();
    const relayed = new PathMeasurement();
    await warmUp(deployment);
    const daemonPid = deployment.processes.get(deployment.vms[0]!.name).pid!;
    let daemonSeconds = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      await runRound(
        direct,
        (name, index) => requestFromEngines(deployment, { name, index }),
      );
      const before = readCpuSeconds(daemonPid);
      await runRound(relayed, (name) => requestFromDaemon(deployment, name));
      daemonSeconds += readCpuSeconds(daemonPid) - before;
    }
    const paths = { direct: direct.result(), relayed: relayed.result() };
    return {
      ...paths,
      tokensPerCoreSecond: paths.relayed.tokens / daemonSeconds,
      addedFirstTokenP99Ms: paths.relayed.firstTokenP99Ms -
        paths.direct.firstTokenP99Ms,
      tokensPerSecondRatio: paths.relayed.tokensPerSecond /
        paths.direct.tokensPerSecond,
    };
  } finally {
    await deployment.close();
  }
}

/** Body of a streamed response, chunk by chunk. */
type ResponseBody = AsyncIterable<unknown>;

/**
 * Runs rounds until one has no refusals, at most `WARM_UP_ROUNDS`. Requests are refused
 * until the home of their shard has received the engines' load reports.
 */
async function warmUp(deployment: Deployment): Promise<void> {
  const path = new PathMeasurement();
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    await runRound(path, (name) => requestFromDaemon(deployment, name));
    if (path.result().refused === 0) return;
    path.clear();
  }
}

/** Collects the tokens and times of one path's streams. */
class PathMeasurement {
  #histogram = build({ numberOfSignificantValueDigits: 3 });
  #tokens = 0;
  #elapsedMs = 0;
  #refused = 0;

  clear(): void {
    this.#histogram.reset();
    this.#tokens = 0;
    this.#elapsedMs = 0;
    this.#refused = 0;
  }

  addRefusal(): void {
    this.#refused += 1;
  }

  addStream(firstTokenMs: number, tokens: number): void {
    this.#histogram.recordValue(
      Math.round(firstTokenMs * HISTOGRAM_UNITS_PER_MS),
    );
    this.#tokens += tokens;
  }

  addTime(ms: number): void {
    this.#elapsedMs += ms;
  }

  result(): RelayPathResult {
    const firstTokenMs = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
    return {
      tokens: this.#tokens,
      refused: this.#refused,
      tokensPerSecond: this.#tokens * MS_PER_SECOND / this.#elapsedMs,
      firstTokenP50Ms: firstTokenMs(50),
      firstTokenP99Ms: firstTokenMs(99),
    };
  }
}

/** Requests sent over both paths; gives each its own name. */
let requestCount = 0;

async function runRound(
  path: PathMeasurement,
  sendRequest: (name: string, index: number) => Promise<ResponseBody | null>,
): Promise<void> {
  const startedMs = performance.now();
  const streams = Array.from({ length: STREAMS }, async (_, index) => {
    requestCount += 1;
    const name = `bench-${requestCount}`;
    // Spaced out, so that waiting for prefill doesn't hide the time that the relay adds.
    await new Promise((resolve) => setTimeout(resolve, index * 20));
    const sentAtMs = performance.now();
    let firstTokenMs = 0;
    let text = "";
    const body = await sendRequest(name, index);
    if (!body) return path.addRefusal();
    for await (const chunk of body) {
      text += String(chunk);
      if (!firstTokenMs && text.includes(" t")) {
        firstTokenMs = performance.now() - sentAtMs;
      }
    }
    path.addStream(firstTokenMs, countTokens(text));
  });
  await Promise.all(streams);
  path.addTime(performance.now() - startedMs);
}

/** Counts tokens; those of the fake engines begin with a space, a `t` and a digit. */
function countTokens(text: string): number {
  return text.split(/ t\d/).length - 1;
}

function promptOf(name: string): string {
  return `Summarise ${name} [length=${TOKENS}]`;
}

async function requestFromDaemon(
  deployment: Deployment,
  name: string,
): Promise<ResponseBody | null> {
  const response = await request(
    `http://${deployment.vms[0]!.callers}/v1/completions`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "idempotency-key": name,
      },
      body: JSON.stringify({
        model: MODEL,
        prompt: promptOf(name),
        max_tokens: TOKENS,
        stream: true,
      }),
    },
  );
  if (response.statusCode === 200) return response.body;
  await response.body.dump();
  return null;
}

async function requestFromEngines(
  deployment: Deployment,
  options: { name: string; index: number },
): Promise<ResponseBody> {
  const { name, index } = options;
  const pickEngine = (kind: string) => {
    const engines = deployment.engines.filter((engine) => engine.kind === kind);
    return engines[index % engines.length]!;
  };
  const prefill = pickEngine("prefill");
  const runRequest = {
    stream: name,
    key: `lenders/${name}`,
    owner: { vm: "bench", incarnation: "bench" },
    model: MODEL,
    prompt: { text: promptOf(name), tokens: 12, blocks: [] },
    priority: 5,
  };
  const prefilled = await request(`http://${prefill.address}/v1/prefill`, {
    method: "POST",
    body: JSON.stringify(runRequest),
  });
  await prefilled.body.dump();
  const response = await request(
    `http://${pickEngine("decode").address}/v1/runs`,
    {
      method: "POST",
      body: JSON.stringify({ ...runRequest, from: prefill, maxTokens: TOKENS }),
    },
  );
  return response.body;
}

async function submitFirstManifest(deployment: Deployment): Promise<void> {
  const file = join(deployment.directory, "manifest.json");
  writeFileSync(file, JSON.stringify(firstManifest(deployment)));
  const vm = deployment.vms[0]!;
  await promisify(execFile)(process.execPath, [
    PROGRAMS.tool,
    "manifest",
    "submit",
    "--vm",
    vm.admin,
    "--token-file",
    deployment.adminTokenFile,
    file,
  ]);
  await waitForHttp(`http://${vm.callers}/health/ready`);
}

/** Processor time of a process so far, in user and system mode. */
function readCpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CPU_TICKS_PER_SECOND;
}
