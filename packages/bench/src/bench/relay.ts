/** Relays summaries through a true daemon, against the same client direct to the fake engines. */
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

/** What one way of asking came to. */
export interface RelayPathResult {
  readonly tokens: number;
  readonly refused: number;
  readonly tokensPerSecond: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
}

/** Both ways, and what lies between them. */
export interface RelayResult {
  readonly direct: RelayPathResult;
  readonly relayed: RelayPathResult;
  /** Tokens for each second of the daemon's processor time. */
  readonly tokensPerCoreSecond: number;
  readonly addedFirstTokenP99Ms: number;
  readonly tokensPerSecondRatio: number;
}

const STREAMS = 24;
const ROUNDS = 4;
const WARM_UP_ROUNDS = 5;
const TOKENS = 200;
const MS_PER_SECOND = 1_000;
const HISTOGRAM_UNITS_PER_MS = 100;
/** Linux counts processor time in hundredths of a second. */
const CPU_TICKS_PER_SECOND = 100;

/** Starts one daemon and its stand-ins, and measures both ways in turn. */
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
    const daemon = deployment.processes.get(deployment.vms[0]!.name).pid!;
    let spentSeconds = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      await runRound(
        direct,
        (name, at) => requestFromEngines(deployment, { name, at }),
      );
      const before = readCpuSeconds(daemon);
      await runRound(relayed, (name) => requestFromDaemon(deployment, name));
      spentSeconds += readCpuSeconds(daemon) - before;
    }
    const sides = { direct: direct.result(), relayed: relayed.result() };
    return {
      ...sides,
      tokensPerCoreSecond: sides.relayed.tokens / spentSeconds,
      addedFirstTokenP99Ms: sides.relayed.firstTokenP99Ms -
        sides.direct.firstTokenP99Ms,
      tokensPerSecondRatio: sides.relayed.tokensPerSecond /
        sides.direct.tokensPerSecond,
    };
  } finally {
    await deployment.close();
  }
}

/** One stream's text as it comes. */
type ResponseBody = AsyncIterable<unknown>;

/** Asks until the daemon's home has heard of the engines. */
async function warmUp(deployment: Deployment): Promise<void> {
  const side = new PathMeasurement();
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    await runRound(side, (name) => requestFromDaemon(deployment, name));
    if (side.result().refused === 0) return;
    side.clear();
  }
}

/** Collects the streams of one way of asking. */
class PathMeasurement {
  #histogram = build({ numberOfSignificantValueDigits: 3 });
  #tokens = 0;
  #spentMs = 0;
  #refused = 0;

  clear(): void {
    this.#histogram.reset();
    this.#tokens = 0;
    this.#spentMs = 0;
    this.#refused = 0;
  }

  addRefusal(): void {
    this.#refused += 1;
  }

  addStream(firstMs: number, tokens: number): void {
    this.#histogram.recordValue(Math.round(firstMs * HISTOGRAM_UNITS_PER_MS));
    this.#tokens += tokens;
  }

  addTime(ms: number): void {
    this.#spentMs += ms;
  }

  result(): RelayPathResult {
    const at = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
    return {
      tokens: this.#tokens,
      refused: this.#refused,
      tokensPerSecond: this.#tokens * MS_PER_SECOND / this.#spentMs,
      firstTokenP50Ms: at(50),
      firstTokenP99Ms: at(99),
    };
  }
}

let requestCount = 0;

async function runRound(
  side: PathMeasurement,
  ask: (name: string, at: number) => Promise<ResponseBody | null>,
): Promise<void> {
  const startedMs = performance.now();
  const streams = Array.from({ length: STREAMS }, async (_, at) => {
    requestCount += 1;
    const name = `bench-${requestCount}`;
    // Spaced, so that prefill queues don't hide what the relay adds.
    await new Promise((wake) => setTimeout(wake, at * 20));
    const sinceMs = performance.now();
    let firstMs = 0;
    let text = "";
    const answer = await ask(name, at);
    if (!answer) return side.addRefusal();
    for await (const chunk of answer) {
      text += String(chunk);
      if (!firstMs && text.includes(" t")) {
        firstMs = performance.now() - sinceMs;
      }
    }
    side.addStream(firstMs, countTokens(text));
  });
  await Promise.all(streams);
  side.addTime(performance.now() - startedMs);
}

/** Tokens of the fake model all begin with a space and a `t`. */
function countTokens(text: string): number {
  return text.split(/ t\d/).length - 1;
}

function prompt(name: string): string {
  return `Summarise ${name} [length=${TOKENS}]`;
}

async function requestFromDaemon(
  deployment: Deployment,
  name: string,
): Promise<ResponseBody | null> {
  const answer = await request(
    `http://${deployment.vms[0]!.callers}/v1/completions`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "idempotency-key": name,
      },
      body: JSON.stringify({
        model: MODEL,
        prompt: prompt(name),
        max_tokens: TOKENS,
        stream: true,
      }),
    },
  );
  if (answer.statusCode === 200) return answer.body;
  await answer.body.dump();
  return null;
}

async function requestFromEngines(
  deployment: Deployment,
  options: { name: string; at: number },
): Promise<ResponseBody> {
  const { name, at } = options;
  const of = (kind: string) => {
    const engines = deployment.engines.filter((one) => one.kind === kind);
    return engines[at % engines.length]!;
  };
  const from = of("prefill");
  const order = {
    stream: name,
    key: `lenders/${name}`,
    owner: { vm: "bench", incarnation: "bench" },
    model: MODEL,
    prompt: { text: prompt(name), tokens: 12, blocks: [] },
    priority: 5,
  };
  const done = await request(`http://${from.address}/v1/prefill`, {
    method: "POST",
    body: JSON.stringify(order),
  });
  await done.body.dump();
  const answer = await request(`http://${of("decode").address}/v1/runs`, {
    method: "POST",
    body: JSON.stringify({ ...order, from, maxTokens: TOKENS }),
  });
  return answer.body;
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

/** Processor time of a process, in user and system mode. */
function readCpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CPU_TICKS_PER_SECOND;
}
