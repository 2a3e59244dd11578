/** Figures of the work that VMs do for each request. */
import { BUDGET, DERIVED, TARGET_SIZE } from "../target_size.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import type { RoleFigure } from "./types.ts";

const CORE_PERCENT = "% of a core";
const MB = 1_048_576;
const KB = 1_024;
/** Microseconds per second in one percent of a core. */
const MICROS_PER_CORE_PERCENT = 10_000;

/** The caller interface of a VM, including the summaries that it owns. */
export function callerInterfaceFigures(reader: SlopeReader): RoleFigure[] {
  const {
    requestsPerVm,
    tokensPerVm,
    inFlightPerVm,
    promptTokens,
  } = DERIVED;
  const callers = TARGET_SIZE.workspaces * ASSUMED.callersPerWorkspace;
  const queriesPerSecond = callers / ASSUMED.addressTtlSeconds /
    TARGET_SIZE.vms;
  const prompt = reader.valueAt("time-prompt", promptTokens);
  const authenticate = reader.valueAt(
    "time-authenticate",
    TARGET_SIZE.workspaces,
  );
  return [
    {
      label: "state of summaries in flight",
      formula: `${round(inFlightPerVm)} × \`state-summary\``,
      value: inFlightPerVm * reader.slopeOf("state-summary") / MB,
      unit: "MB",
    },
    {
      label: "token relay",
      formula: `${tokensPerVm} tokens/s × \`process-relay\``,
      value: tokensPerVm * reader.slopeOf("process-relay") /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "bytes of tokens sent to callers",
      formula: `${tokensPerVm} tokens/s × \`process-relay-bytes\``,
      value: tokensPerVm * reader.slopeOf("process-relay-bytes") / KB,
      unit: "KB/s",
    },
    {
      label: "start and end of summaries, this VM's share in all roles",
      formula: `${requestsPerVm} requests/s × \`process-request\``,
      value: requestsPerVm * reader.slopeOf("process-request") /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "authentication of callers",
      formula:
        `${requestsPerVm} requests/s × \`time-authenticate\` at ${TARGET_SIZE.workspaces}`,
      value: requestsPerVm * authenticate / MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "counting and hashing of prompts",
      formula: `${requestsPerVm} requests/s × \`time-prompt\` at ${
        round(promptTokens)
      }`,
      value: requestsPerVm * prompt / MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "lists of addresses sent",
      formula:
        `${callers} callers every ${ASSUMED.addressTtlSeconds} s over ${TARGET_SIZE.vms} VMs × \`time-address-answer\` at ${TARGET_SIZE.vms}`,
      value: queriesPerSecond *
        reader.valueAt("time-address-answer", TARGET_SIZE.vms) /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
  ];
}

/** The home of request keys and of request bodies' hashes. */
export function keyHomeFigures(reader: SlopeReader): RoleFigure[] {
  const { requestsPerVm, secondsInFlight } = DERIVED;
  const registrations = requestsPerVm *
    (secondsInFlight + RATES.registrationKeptSeconds);
  const calls = RATES.registrationsPerSummary +
    RATES.suspectCallsPerSummary + RATES.quotaCallsPerSummary;
  const bytes = RATES.registrationsPerSummary *
      reader.slopeOf("wire-registration") +
    RATES.quotaCallsPerSummary * reader.slopeOf("wire-quota") +
    reader.slopeOf("wire-admit") + reader.slopeOf("wire-run-end");
  return [
    {
      label: "state of registrations",
      formula: `${round(registrations)} × \`state-registration\``,
      value: registrations * reader.slopeOf("state-registration") / MB,
      unit: "MB",
    },
    {
      label: "state of tracked request bodies, at the limit",
      formula: `${RATES.suspectEntries} × \`state-suspect-entry\``,
      value: RATES.suspectEntries * reader.slopeOf("state-suspect-entry") / MB,
      unit: "MB",
      budget: BUDGET.controlMemoryBytes / MB,
    },
    {
      label: "request bodies tracked after an hour",
      formula: `${requestsPerVm} requests/s × 3,600 s`,
      value: requestsPerVm * 3_600,
      unit: "bodies",
      budget: RATES.suspectEntries,
    },
    {
      label: "state of cached homes, at the limit",
      formula: `${RATES.homeKeysCached} × \`state-home-key\``,
      value: RATES.homeKeysCached * reader.slopeOf("state-home-key") / MB,
      unit: "MB",
    },
    {
      label: "bytes",
      formula:
        `${requestsPerVm} requests/s × (${RATES.registrationsPerSummary} × \`wire-registration\` + ${RATES.quotaCallsPerSummary} × \`wire-quota\` + \`wire-admit\` + \`wire-run-end\`)`,
      value: requestsPerVm * bytes / KB,
      unit: "KB/s",
    },
    {
      label: "processor time",
      formula:
        `${requestsPerVm} requests/s × ${calls} × \`process-call-answered\``,
      value: requestsPerVm * calls * reader.slopeOf("process-call-answered") /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
  ];
}

/** The home of one shard with the maximum number of replicas. */
export function shardHomeFigures(reader: SlopeReader): RoleFigure[] {
  const { shardReplicas, grantCallsPerSummary, reportPollsPerSecond } = RATES;
  const requestRate = shardRate();
  const decodes = shardReplicas * 3 / 4;
  const runs = DERIVED.runsPerDecode;
  const reports = decodes * reportPollsPerSecond;
  const reportBytes = reader.valueAt("wire-report", runs);
  const waiting = requestRate * TARGET_SIZE.firstTokenMs / 1_000;
  const calls = requestRate * grantCallsPerSummary;
  const dispatches = calls + decodes * 2;
  return [
    {
      label: "state",
      formula: `${shardReplicas} × \`state-replica\` + ${
        round(waiting)
      } × \`state-waiting-grant\``,
      value: (shardReplicas * reader.slopeOf("state-replica") +
        waiting * reader.slopeOf("state-waiting-grant")) / MB,
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
        (reader.slopeOf("process-call-sent") +
          reader.valueAt("time-report", runs)),
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      label: "answers to owners' calls",
      formula: `${
        round(requestRate)
      } requests/s × ${grantCallsPerSummary} × \`process-call-answered\``,
      value: calls * reader.slopeOf("process-call-answered") /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "grant decisions",
      formula: `${
        round(requestRate)
      } requests/s × \`time-grant\` at ${shardReplicas}`,
      value: requestRate * reader.valueAt("time-grant", shardReplicas) /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "dispatch passes, full queue",
      formula: `${
        round(dispatches)
      } calls and reports/s × \`time-dispatch\` at ${round(waiting)}`,
      value: dispatches * reader.valueAt("time-dispatch", waiting) /
        MICROS_PER_CORE_PERCENT,
      unit: CORE_PERCENT,
    },
    {
      label: "bytes of grants and progress",
      formula: `${
        round(requestRate)
      } requests/s × (\`wire-grant\` at 64 + 3 × \`wire-progress\`)`,
      value: requestRate * (reader.valueAt("wire-grant", 64) +
        3 * reader.slopeOf("wire-progress")) /
        KB,
      unit: "KB/s",
    },
  ];
}

/**
 * Requests per second at the home of a shard with the maximum number of
 * replicas.
 */
export function shardRate(): number {
  return TARGET_SIZE.requestsPerSecond * RATES.shardReplicas /
    TARGET_SIZE.replicas;
}

function round(value: number): number {
  return Math.round(value);
}
