/**
 * Figures of the platform's services, orders, the command-line tool, and
 * outages.
 */
import { BUDGET, DERIVED, TARGET_SIZE } from "../target_size.ts";
import { LIST_INTERVAL_SECONDS } from "./control.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import { shardRate } from "./serving.ts";
import type { RoleFigure } from "./types.ts";

const READS_PER_SECOND = "reads/s";
const WRITES_PER_SECOND = "writes/s";
const SECONDS_PER_DAY = 86_400;
const VMS = TARGET_SIZE.vms;
const MB = 1_048_576;

/** Load of the table service and the object store. */
export function platformFigures(reader: SlopeReader): RoleFigure[] {
  const polls = VMS * RATES.headPollsPerSecond;
  const scans = VMS / RATES.quarantineScanSeconds;
  // One VM of each region sweeps old rows of calls every 5 s.
  const sweeps = TARGET_SIZE.regions / 5;
  const lists = VMS / LIST_INTERVAL_SECONDS;
  const changes = TARGET_SIZE.changesPerDay / SECONDS_PER_DAY;
  const commits = Math.min(
    TARGET_SIZE.requestsPerSecond * RATES.writesPerCall,
    VMS * 1_000 / RATES.commitIntervalMs,
  );
  const rows = TARGET_SIZE.requestsPerSecond * RATES.writesPerCall;
  return [
    {
      label: "head polls",
      formula: `${VMS} VMs × 1/s`,
      value: polls,
      unit: READS_PER_SECOND,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "scans of quarantines",
      formula: `${VMS} VMs / ${RATES.quarantineScanSeconds} s`,
      value: scans,
      unit: READS_PER_SECOND,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "reads of the list of VMs",
      formula: `${VMS} VMs / ${LIST_INTERVAL_SECONDS} s`,
      value: lists,
      unit: READS_PER_SECOND,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "all reads, normal operation",
      formula:
        "head polls + scans + sweeps of old rows + list + one fetch of each change by each VM",
      value: polls + scans + sweeps + lists + changes * VMS,
      unit: READS_PER_SECOND,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "writes of submissions",
      formula: `${TARGET_SIZE.changesPerDay} a day × 3 rows and 2 objects`,
      value: changes * 5,
      unit: WRITES_PER_SECOND,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "transactions of claims, if every request were a filing",
      formula:
        `the minimum of ${TARGET_SIZE.requestsPerSecond} × ${RATES.writesPerCall} and ${VMS} VMs / ${RATES.commitIntervalMs} ms`,
      value: commits,
      unit: WRITES_PER_SECOND,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "the same, if the platform counts rows",
      formula:
        `${TARGET_SIZE.requestsPerSecond} requests/s × ${RATES.writesPerCall} rows`,
      value: rows,
      unit: WRITES_PER_SECOND,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "bytes of claims, if every request were a filing",
      formula: `${rows} rows/s × \`wire-claim\``,
      value: rows * reader.slopeOf("wire-claim") / MB,
      unit: "MB/s",
    },
  ];
}

/** The home of a model's shard, which polls engines and sends them orders. */
export function orderFigures(reader: SlopeReader): RoleFigure[] {
  const { replicasPerModel, runsPerDecode } = DERIVED;
  const reportBytes = reader.valueAt("wire-report", runsPerDecode);
  const watchedShare = TARGET_SIZE.changesPerDay * RATES.orderWatchSeconds /
    SECONDS_PER_DAY;
  const replicas = Math.round(replicasPerModel);
  const runs = Math.round(runsPerDecode);
  const reportFigure = (label: string, formula: string, value: number) => ({
    label,
    formula,
    value,
    unit: "bytes/s",
    budget: BUDGET.controlBytesPerSecond,
  });
  return [
    reportFigure(
      "bytes of reports, idle",
      `${replicas} replicas / ${RATES.orderIdlePollSeconds} s × \`wire-report\` at ${runs}`,
      replicasPerModel / RATES.orderIdlePollSeconds * reportBytes,
    ),
    reportFigure(
      "bytes of reports, for 30 s after each change",
      `${replicas} replicas/s × \`wire-report\` at ${runs}`,
      replicasPerModel * reportBytes,
    ),
    reportFigure(
      "bytes of reports, daily mean",
      `${TARGET_SIZE.changesPerDay} × ${RATES.orderWatchSeconds} s a day at the rate after a change, else at the idle rate`,
      replicasPerModel * reportBytes *
        (watchedShare + (1 - watchedShare) / RATES.orderIdlePollSeconds),
    ),
    reportFigure(
      "bytes of reports while an engine order is pending",
      `${TARGET_SIZE.replicas} replicas/s × \`wire-report\` at ${runs}`,
      TARGET_SIZE.replicas * reportBytes,
    ),
    {
      label: "lease renewals if every model has orders in every region at once",
      formula:
        `${TARGET_SIZE.models} models × ${TARGET_SIZE.regions} regions / ${RATES.leaseRenewSeconds} s`,
      value: TARGET_SIZE.models * TARGET_SIZE.regions / RATES.leaseRenewSeconds,
      unit: WRITES_PER_SECOND,
      budget: BUDGET.platformWritesPerSecond,
    },
  ];
}

/** The command-line tool, and the VM that accepts a manifest from it. */
export function toolFigures(reader: SlopeReader): RoleFigure[] {
  const { workspaces } = TARGET_SIZE;
  return [
    {
      label: "bytes of a whole manifest",
      formula: `about \`wire-snapshot\` at ${workspaces}`,
      value: reader.valueAt("wire-snapshot", workspaces) / MB,
      unit: "MB",
      budget: 16,
    },
    {
      label: "pause of the accepting VM's event loop for the check",
      formula: `\`time-manifest-check\` at ${workspaces}`,
      value: reader.valueAt("time-manifest-check", workspaces) / 1_000,
      unit: "ms",
      budget: TARGET_SIZE.betweenTokensMs,
    },
  ];
}

/** Outages, replacements, simultaneous starts and load surges. */
export function outageFigures(reader: SlopeReader): RoleFigure[] {
  const lostVms = DERIVED.vmsPerDataCentre;
  const viewChangeMicros = reader.valueAt("time-view-change", VMS);
  const itemsPerMessage = RATES.gossipLimitBytes /
    reader.slopeOf("wire-probe-news");
  const rounds = Math.ceil(Math.log2(VMS + 1));
  const snapshotBytes = reader.valueAt("wire-snapshot", TARGET_SIZE.workspaces);
  const regionVms = DERIVED.vmsPerRegion;
  const surgeRate = shardRate() * ASSUMED.surgeFactor;
  const waiting = surgeRate * TARGET_SIZE.firstTokenMs / 1_000;
  const callers = TARGET_SIZE.workspaces * ASSUMED.callersPerWorkspace;
  return [
    {
      label: "data centre lost: view changes on every other VM",
      formula: `${Math.round(lostVms)} VMs × 2 states × \`time-view-change\``,
      value: lostVms * 2 * viewChangeMicros / 1_000,
      unit: "ms",
    },
    {
      label:
        "data centre lost: estimated time for its updates to reach all VMs",
      formula: `${
        Math.round(lostVms)
      } updates / (2 messages/s × updates per message) × log2(${VMS})`,
      value: lostVms / (2 * itemsPerMessage) * rounds,
      unit: "s",
    },
    {
      label: "data centre lost: re-registrations of owners at new homes",
      formula: "1/9 of the keys and grants of all requests in flight, at once",
      value: 2 * DERIVED.inFlight / TARGET_SIZE.dataCentres,
      unit: "calls",
    },
    {
      label: "region lost: view changes on every VM",
      formula: `${Math.round(regionVms)} VMs × 2 states × \`time-view-change\``,
      value: regionVms * 2 * viewChangeMicros / 1_000,
      unit: "ms",
    },
    {
      label: "180 replacements: bytes at start, daily mean per VM",
      formula:
        `${TARGET_SIZE.replacementsPerDay} × \`wire-snapshot\` at ${TARGET_SIZE.workspaces} / day / ${VMS}`,
      value: TARGET_SIZE.replacementsPerDay * snapshotBytes / SECONDS_PER_DAY /
        VMS,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "180 replacements: view changes on every VM, daily mean",
      formula:
        `${TARGET_SIZE.replacementsPerDay} × 4 states × \`time-view-change\` / day`,
      value: TARGET_SIZE.replacementsPerDay * 4 * viewChangeMicros /
        SECONDS_PER_DAY,
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      label: "all VMs start at once: time until the platform has answered all",
      formula:
        `${VMS} × 6 (list, head, scan, 3 bodies) / ${BUDGET.platformReadsPerSecond} reads/s`,
      value: VMS * 6 / BUDGET.platformReadsPerSecond * 1_000,
      unit: "ms",
      budget: TARGET_SIZE.activationMs,
    },
    {
      label: "all VMs start at once: bytes read from the object store",
      formula: `${VMS} × \`wire-snapshot\` at ${TARGET_SIZE.workspaces}`,
      value: VMS * snapshotBytes / MB,
      unit: "MB",
    },
    {
      label: "all VMs start at once: view changes on every VM",
      formula: `${VMS} × \`time-view-change\``,
      value: VMS * viewChangeMicros / 1_000,
      unit: "ms",
    },
    {
      label: "VM starts while the platform is down: snapshot from a peer",
      formula:
        `\`wire-snapshot\` at ${TARGET_SIZE.workspaces} / ${ASSUMED.linkMegabytesPerSecond} MB/s, against the timeout of a call to a peer`,
      value: snapshotBytes / ASSUMED.linkMegabytesPerSecond / 1_000,
      unit: "ms",
      budget: ASSUMED.peerTimeoutMs,
    },
    {
      label: "load surge at one shard, no load shedding: dispatch passes",
      formula: `${Math.round(surgeRate)} requests/s × \`time-dispatch\` at ${
        Math.round(waiting)
      }`,
      value: surgeRate * reader.valueAt("time-dispatch", waiting) / 10_000,
      unit: "% of a core",
      budget: 100,
    },
    {
      label:
        "load surge: all callers request addresses from one data centre's VMs",
      formula: `${callers} callers / ${
        Math.round(lostVms)
      } VMs × \`time-address-answer\` at ${VMS}`,
      value: callers / lostVms * reader.valueAt("time-address-answer", VMS) /
        1_000,
      unit: "ms",
      budget: ASSUMED.addressTtlSeconds * 1_000,
    },
  ];
}
