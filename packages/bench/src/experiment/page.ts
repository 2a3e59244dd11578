/** Renders the results of an experiment as an HTML page of plots. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { type ExperimentRecord, measuredOutcomes } from "./measure.ts";
import type { Outcome } from "./outcome.ts";
import type { RunResult } from "./run.ts";
import { formatTable } from "./table.ts";

/** Content of a page. */
export interface PageData {
  readonly records: readonly ExperimentRecord[];
  readonly results: readonly RunResult[];
  readonly deployment: string;
  readonly faults: string;
}

const WIDTH = 520;
const HEIGHT = 260;
const FILE_NAME = "goodput.html";

/** Writes the page into a directory, creating it if missing, and returns the path of the file. */
export async function writePage(
  directory: string,
  data: PageData,
): Promise<string> {
  const plots = await Promise.all([
    plotByLoad(data, { field: "goodput", title: "Goodput by load" }),
    plotByLoad(data, {
      field: "wastedPrefillShare",
      title: "Wasted prefill by load",
    }),
    plotFirstTokens(data.results),
    plotGaps(data.results),
    plotTimeline(data.results),
  ]);
  mkdirSync(directory, { recursive: true });
  const file = join(directory, FILE_NAME);
  writeFileSync(file, format(data, plots));
  return file;
}

function plotByLoad(
  data: PageData,
  options: { field: "goodput" | "wastedPrefillShare"; title: string },
): Promise<string> {
  const { field, title } = options;
  const values: object[] = data.records.map((record) => ({
    policy: record.policy,
    load: record.load,
    share: record[field],
  }));
  if (field === "goodput") {
    for (const { load, ceiling } of data.records) {
      values.push({ policy: "ceiling", load, share: ceiling });
    }
  }
  return render({
    title,
    data: { values },
    encoding: {
      x: { field: "load", type: "quantitative", scale: { zero: false } },
      color: { field: "policy", type: "nominal" },
    },
    layer: [
      {
        mark: { type: "line", point: true },
        encoding: {
          y: { aggregate: "mean", field: "share", type: "quantitative" },
        },
      },
      {
        mark: { type: "errorbar", extent: "stdev" },
        encoding: {
          y: { field: "share", type: "quantitative", title: "share" },
        },
      },
    ],
  });
}

function plotFirstTokens(results: readonly RunResult[]): Promise<string> {
  const values = results.flatMap((result) =>
    measuredOutcomes(result).flatMap((outcome) => {
      const ms = outcome.firstTokenMs(result.originMs);
      const { policy } = result.options;
      return ms === undefined ? [] : [{ policy, ms: Math.min(ms, 2_000) }];
    })
  );
  return plotDistribution(values, {
    title: "Time to the first token (ms, cut at 2,000)",
    step: 25,
  });
}

function plotGaps(results: readonly RunResult[]): Promise<string> {
  const values = results.flatMap((result) =>
    measuredOutcomes(result)
      .filter((outcome) => outcome.tokens > 1)
      .map((outcome) => ({
        policy: result.options.policy,
        ms: Math.min(outcome.meanGapMs(result.endedAtMs), 60),
      }))
  );
  return plotDistribution(values, {
    title: "Mean time between a request's tokens (ms, cut at 60)",
    step: 1,
  });
}

function plotDistribution(
  values: object[],
  options: { title: string; step: number },
): Promise<string> {
  return render({
    title: options.title,
    data: { values },
    mark: { type: "line", interpolate: "step" },
    encoding: {
      x: { field: "ms", type: "quantitative", bin: { step: options.step } },
      y: { aggregate: "count", type: "quantitative", title: "requests" },
      color: { field: "policy", type: "nominal" },
    },
  });
}

/** Plots the phases of the request with the longest time to its first token. */
function plotTimeline(results: readonly RunResult[]): Promise<string> {
  const [result] = results;
  if (!result) return Promise.resolve("");
  const slowest = measuredOutcomes(result)
    .filter((outcome) => outcome.firstTokenAtMs !== undefined)
    .sort((a, b) =>
      b.firstTokenMs(result.originMs)! - a.firstTokenMs(result.originMs)!
    )[0];
  if (!slowest) return Promise.resolve("");
  const { policy } = result.options;
  return render({
    title: `Slowest first token of ${policy}: ${slowest.item.id}, ` +
      `${slowest.item.promptTokens} prompt tokens`,
    data: { values: phases(slowest, result.originMs) },
    mark: "bar",
    encoding: {
      x: { field: "fromMs", type: "quantitative", title: "ms" },
      x2: { field: "toMs" },
      y: { field: "phase", type: "nominal", sort: null },
    },
  });
}

function phases(outcome: Outcome, originMs: number): object[] {
  const startMs = originMs + outcome.item.arrivesAtMs;
  let fromMs = 0;
  return outcome.timeline.filter((step) => step.name !== "end").map((step) => {
    const toMs = step.atMs - startMs;
    const phase = { phase: `until ${step.name}`, fromMs, toMs };
    fromMs = toMs;
    return phase;
  });
}

async function render(spec: object): Promise<string> {
  const fullSpec = { width: WIDTH, height: HEIGHT, ...spec } as TopLevelSpec;
  const view = new View(parse(compile(fullSpec).spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function format(data: PageData, plots: readonly string[]): string {
  const title = `Goodput: ${data.deployment}, faults: ${data.faults}`;
  const sections = plots.map((plot) => `<section>${plot}</section>`).join("\n");
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${title}</title></head>
<body>
<h1>${title}</h1>
<pre>${formatTable(data.records)}</pre>
${sections}
</body>
</html>
`;
}
