/** Figures of what a VM does for each request. */
import { BUDGET, DERIVED, TARGET_SIZE } from "../target_size.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const CORE = "% of a core";
const MB = 1_048_576;
const KB = 1_024;
/** Microseconds in a second to hundredths of a core. */
const SHARE = 10_000;

/** The VM that callers are connected to. */
export function callerInterfaceFigures(read: SlopeReader): RoleFigure[] {
  const {
    requestsPerVm: requestsPerNode,
    tokensPerVm: tokensPerNode,
    inFlightPerVm: inFlightPerNode,
    promptTokens,
  } = DERIVED;
  const callers = TARGET_SIZE.workspaces * ASSUMED.callersPerWorkspace;
  const asked = callers / ASSUMED.addressTtlSeconds / TARGET_SIZE.vms;
  const prompt = read.valueAt("time-prompt", promptTokens);
  const authenticate = read.valueAt(
    "time-authenticate",
    TARGET_SIZE.workspaces,
  );
  return [
    {
      label: "state of summaries in flight",
      formula: `${round(inFlightPerNode)} × \`state-summary\``,
      value: inFlightPerNode * read.slopeOf("state-summary") / MB,
      unit: "MB",
    },
    {
      label: "relay of tokens",
      formula: `${tokensPerNode} tokens/s × \`process-relay\``,
      value: tokensPerNode * read.slopeOf("process-relay") / SHARE,
      unit: CORE,
    },
    {
      label: "bytes of tokens to callers",
      formula: `${tokensPerNode} tokens/s × \`process-relay-bytes\``,
      value: tokensPerNode * read.slopeOf("process-relay-bytes") / KB,
      unit: "KB/s",
    },
    {
      label: "start and end of summaries, this VM's share over all its roles",
      formula: `${requestsPerNode} requests/s × \`process-request\``,
      value: requestsPerNode * read.slopeOf("process-request") / SHARE,
      unit: CORE,
    },
    {
      label: "callers authenticated",
      formula:
        `${requestsPerNode} requests/s × \`time-authenticate\` at ${TARGET_SIZE.workspaces}`,
      value: requestsPerNode * authenticate / SHARE,
      unit: CORE,
    },
    {
      label: "prompts counted and hashed",
      formula: `${requestsPerNode} requests/s × \`time-prompt\` at ${
        round(promptTokens)
      }`,
      value: requestsPerNode * prompt / SHARE,
      unit: CORE,
    },
    {
      label: "address answers",
      formula:
        `${callers} callers every ${ASSUMED.addressTtlSeconds} s over ${TARGET_SIZE.vms} VMs × \`time-address-answer\` at ${TARGET_SIZE.vms}`,
      value: asked * read.valueAt("time-address-answer", TARGET_SIZE.vms) /
        SHARE,
      unit: CORE,
    },
  ];
}

/** The home of request keys and of request bodies. */
export function keyHomeFigures(read: SlopeReader): RoleFigure[] {
  const { requestsPerVm: requestsPerNode, secondsInFlight } = DERIVED;
  const kept = requestsPerNode *
    (secondsInFlight + RATES.registrationKeptSeconds);
  const calls = RATES.registrationsPerSummary +
    RATES.suspectCallsPerSummary + RATES.quotaCallsPerSummary;
  const bytes = RATES.registrationsPerSummary *
      read.slopeOf("wire-registration") +
    RATES.quotaCallsPerSummary * read.slopeOf("wire-quota") +
    read.slopeOf("wire-admit") + read.slopeOf("wire-run-end");
  return [
    {
      label: "state of registrations",
      formula: `${round(kept)} × \`state-registration\``,
      value: kept * read.slopeOf("state-registration") / MB,
      unit: "MB",
    },
    {
      label: "state of request bodies, at its limit",
      formula: `${RATES.suspectEntries} × \`state-suspect-entry\``,
      value: RATES.suspectEntries * read.slopeOf("state-suspect-entry") / MB,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / MB,
    },
    {
      label: "request bodies known after an hour",
      formula: `${requestsPerNode} requests/s × 3,600 s`,
      value: requestsPerNode * 3_600,
      unit: "bodies",
      budget: RATES.suspectEntries,
    },
    {
      label: "state of remembered homes, at its limit",
      formula: `${RATES.homeKeysCached} × \`state-home-key\``,
      value: RATES.homeKeysCached * read.slopeOf("state-home-key") / MB,
      unit: "MB",
    },
    {
      label: "bytes",
      formula:
        `${requestsPerNode} requests/s × (${RATES.registrationsPerSummary} × \`wire-registration\` + ${RATES.quotaCallsPerSummary} × \`wire-quota\` + \`wire-admit\` + \`wire-run-end\`)`,
      value: requestsPerNode * bytes / KB,
      unit: "KB/s",
    },
    {
      label: "processor time",
      formula:
        `${requestsPerNode} requests/s × ${calls} × \`process-call-answered\``,
      value: requestsPerNode * calls * read.slopeOf("process-call-answered") /
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
  const reportBytes = read.valueAt("wire-report", runs);
  const waiting = rate * TARGET_SIZE.firstTokenMs / 1_000;
  const calls = rate * grantCallsPerSummary;
  const dispatches = calls + decodes * 2;
  return [
    {
      label: "state",
      formula: `${shardReplicas} × \`state-replica\` + ${
        round(waiting)
      } × \`state-waiting-grant\``,
      value: (shardReplicas * read.slopeOf("state-replica") +
        waiting * read.slopeOf("state-waiting-grant")) / MB,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / MB,
    },
    {
      label: "bytes of load reports (control)",
      formula:
        `${decodes} decode replicas × ${reportPollsPerSecond}/s × \`wire-report\` at ${
          round(runs)
        }`,
      value: reports * reportBytes,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "the same, spread evenly over all VMs",
      formula:
        `${TARGET_SIZE.replicas} replicas × 3/4 × ${reportPollsPerSecond}/s × \`wire-report\` / ${TARGET_SIZE.vms}`,
      value: TARGET_SIZE.replicas * 0.75 * reportPollsPerSecond * reportBytes /
        TARGET_SIZE.vms,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "processor time of load reports (control)",
      formula:
        `${decodes} × ${reportPollsPerSecond}/s × (\`process-call-sent\` + \`time-report\` at ${
          round(runs)
        })`,
      value: reports *
        (read.slopeOf("process-call-sent") + read.valueAt("time-report", runs)),
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      label: "calls of owners answered",
      formula: `${
        round(rate)
      } requests/s × ${grantCallsPerSummary} × \`process-call-answered\``,
      value: calls * read.slopeOf("process-call-answered") / SHARE,
      unit: CORE,
    },
    {
      label: "grants decided",
      formula: `${round(rate)} requests/s × \`time-grant\` at ${shardReplicas}`,
      value: rate * read.valueAt("time-grant", shardReplicas) / SHARE,
      unit: CORE,
    },
    {
      label: "looks at what waits, full queue",
      formula: `${
        round(dispatches)
      } calls and reports/s × \`time-dispatch\` at ${round(waiting)}`,
      value: dispatches * read.valueAt("time-dispatch", waiting) / SHARE,
      unit: CORE,
    },
    {
      label: "bytes of grants and progress",
      formula: `${
        round(rate)
      } requests/s × (\`wire-grant\` at 64 + 3 × \`wire-progress\`)`,
      value: rate * (read.valueAt("wire-grant", 64) +
        3 * read.slopeOf("wire-progress")) /
        KB,
      unit: "KB/s",
    },
  ];
}

/** Requests a second at the home of a full shard. */
export function shardRate(): number {
  return TARGET_SIZE.requestsPerSecond * RATES.shardReplicas /
    TARGET_SIZE.replicas;
}

function round(value: number): number {
  return Math.round(value);
}
