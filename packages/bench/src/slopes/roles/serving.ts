/** Figures of what a VM does for each request. */
import { BUDGET, DERIVED, LETTER } from "../letter.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const CORE = "% of a core";
const MB = 1_048_576;
const KB = 1_024;
/** Microseconds in a second to hundredths of a core. */
const SHARE = 10_000;

/** The VM that callers are connected to. */
export function callerFaceFigures(read: SlopeReader): RoleFigure[] {
  const { requestsPerNode, tokensPerNode, inFlightPerNode, promptTokens } =
    DERIVED;
  const callers = LETTER.workspaces * ASSUMED.callersPerWorkspace;
  const asked = callers / ASSUMED.addressTtlSeconds / LETTER.nodes;
  const prompt = read.at("time-prompt", promptTokens);
  const authenticate = read.at("time-authenticate", LETTER.workspaces);
  return [
    {
      what: "state of summaries in flight",
      formula: `${round(inFlightPerNode)} × \`state-summary\``,
      value: inFlightPerNode * read.each("state-summary") / MB,
      unit: "MB",
    },
    {
      what: "relay of tokens",
      formula: `${tokensPerNode} tokens/s × \`process-relay\``,
      value: tokensPerNode * read.each("process-relay") / SHARE,
      unit: CORE,
    },
    {
      what: "bytes of tokens to callers",
      formula: `${tokensPerNode} tokens/s × \`process-relay-bytes\``,
      value: tokensPerNode * read.each("process-relay-bytes") / KB,
      unit: "KB/s",
    },
    {
      what: "start and end of summaries, this VM's share over all its roles",
      formula: `${requestsPerNode} requests/s × \`process-request\``,
      value: requestsPerNode * read.each("process-request") / SHARE,
      unit: CORE,
    },
    {
      what: "callers authenticated",
      formula:
        `${requestsPerNode} requests/s × \`time-authenticate\` at ${LETTER.workspaces}`,
      value: requestsPerNode * authenticate / SHARE,
      unit: CORE,
    },
    {
      what: "prompts counted and hashed",
      formula: `${requestsPerNode} requests/s × \`time-prompt\` at ${
        round(promptTokens)
      }`,
      value: requestsPerNode * prompt / SHARE,
      unit: CORE,
    },
    {
      what: "address answers",
      formula:
        `${callers} callers every ${ASSUMED.addressTtlSeconds} s over ${LETTER.nodes} VMs × \`time-address-answer\` at ${LETTER.nodes}`,
      value: asked * read.at("time-address-answer", LETTER.nodes) / SHARE,
      unit: CORE,
    },
  ];
}

/** The home of request keys and of request bodies. */
export function keyHomeFigures(read: SlopeReader): RoleFigure[] {
  const { requestsPerNode, secondsInFlight } = DERIVED;
  const kept = requestsPerNode *
    (secondsInFlight + RATES.registrationKeptSeconds);
  const calls = RATES.registrationsPerSummary +
    RATES.suspectCallsPerSummary + RATES.quotaCallsPerSummary;
  const bytes = RATES.registrationsPerSummary *
      read.each("wire-registration") +
    RATES.quotaCallsPerSummary * read.each("wire-quota") +
    read.each("wire-admit") + read.each("wire-run-end");
  return [
    {
      what: "state of registrations",
      formula: `${round(kept)} × \`state-registration\``,
      value: kept * read.each("state-registration") / MB,
      unit: "MB",
    },
    {
      what: "state of request bodies, at its limit",
      formula: `${RATES.suspectEntries} × \`state-suspect-entry\``,
      value: RATES.suspectEntries * read.each("state-suspect-entry") / MB,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / MB,
    },
    {
      what: "request bodies known after an hour",
      formula: `${requestsPerNode} requests/s × 3,600 s`,
      value: requestsPerNode * 3_600,
      unit: "bodies",
      budget: RATES.suspectEntries,
    },
    {
      what: "state of remembered homes, at its limit",
      formula: `${RATES.homeKeysCached} × \`state-home-key\``,
      value: RATES.homeKeysCached * read.each("state-home-key") / MB,
      unit: "MB",
    },
    {
      what: "bytes",
      formula:
        `${requestsPerNode} requests/s × (${RATES.registrationsPerSummary} × \`wire-registration\` + ${RATES.quotaCallsPerSummary} × \`wire-quota\` + \`wire-admit\` + \`wire-run-end\`)`,
      value: requestsPerNode * bytes / KB,
      unit: "KB/s",
    },
    {
      what: "processor time",
      formula:
        `${requestsPerNode} requests/s × ${calls} × \`process-call-answered\``,
      value: requestsPerNode * calls * read.each("process-call-answered") /
        SHARE,
      unit: CORE,
    },
  ];
}

/** The home of one full shard. */
export function shardHomeFigures(read: SlopeReader): RoleFigure[] {
  const { shardReplicas, grantCallsPerSummary, reportPollsPerSecond } = RATES;
  const rate = shardRate();
  const decodes = shardReplicas * 3 / 4;
  const runs = DERIVED.runsPerDecode;
  const reports = decodes * reportPollsPerSecond;
  const reportBytes = read.at("wire-report", runs);
  const waiting = rate * LETTER.firstTokenMs / 1_000;
  const calls = rate * grantCallsPerSummary;
  const dispatches = calls + decodes * 2;
  return [
    {
      what: "state",
      formula: `${shardReplicas} × \`state-replica\` + ${
        round(waiting)
      } × \`state-waiting-grant\``,
      value: (shardReplicas * read.each("state-replica") +
        waiting * read.each("state-waiting-grant")) / MB,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / MB,
    },
    {
      what: "bytes of load reports (control)",
      formula:
        `${decodes} decode replicas × ${reportPollsPerSecond}/s × \`wire-report\` at ${
          round(runs)
        }`,
      value: reports * reportBytes,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "the same, spread evenly over all VMs",
      formula:
        `${LETTER.replicas} replicas × 3/4 × ${reportPollsPerSecond}/s × \`wire-report\` / ${LETTER.nodes}`,
      value: LETTER.replicas * 0.75 * reportPollsPerSecond * reportBytes /
        LETTER.nodes,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "processor time of load reports (control)",
      formula:
        `${decodes} × ${reportPollsPerSecond}/s × (\`process-call-sent\` + \`time-report\` at ${
          round(runs)
        })`,
      value: reports *
        (read.each("process-call-sent") + read.at("time-report", runs)),
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      what: "calls of owners answered",
      formula: `${
        round(rate)
      } requests/s × ${grantCallsPerSummary} × \`process-call-answered\``,
      value: calls * read.each("process-call-answered") / SHARE,
      unit: CORE,
    },
    {
      what: "grants decided",
      formula: `${round(rate)} requests/s × \`time-grant\` at ${shardReplicas}`,
      value: rate * read.at("time-grant", shardReplicas) / SHARE,
      unit: CORE,
    },
    {
      what: "looks at what waits, full queue",
      formula: `${
        round(dispatches)
      } calls and reports/s × \`time-dispatch\` at ${round(waiting)}`,
      value: dispatches * read.at("time-dispatch", waiting) / SHARE,
      unit: CORE,
    },
    {
      what: "bytes of grants and progress",
      formula: `${
        round(rate)
      } requests/s × (\`wire-grant\` at 64 + 3 × \`wire-progress\`)`,
      value: rate * (read.at("wire-grant", 64) +
        3 * read.each("wire-progress")) /
        KB,
      unit: "KB/s",
    },
  ];
}

/** Requests a second at the home of a full shard. */
export function shardRate(): number {
  return LETTER.requestsPerSecond * RATES.shardReplicas / LETTER.replicas;
}

function round(value: number): number {
  return Math.round(value);
}
