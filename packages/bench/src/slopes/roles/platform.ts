/** Figures of the platform's services, of orders, of the tool and of the bad day. */
import { BUDGET, DERIVED, TARGET_SIZE } from "../target_size.ts";
import { LIST_INTERVAL_SECONDS } from "./control.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import { shardRate } from "./serving.ts";
import type { RoleFigure } from "./types.ts";

const READS = "reads/s";
const WRITES = "writes/s";
const DAY_SECONDS = 86_400;
const VMS = TARGET_SIZE.vms;
const MB = 1_048_576;

/** The table service and the object store. */
export function platformFigures(read: SlopeReader): RoleFigure[] {
  const polls = VMS * RATES.headPollsPerSecond;
  const scans = VMS / RATES.quarantineScanSeconds;
  const sweeps = TARGET_SIZE.regions / 5;
  const lists = VMS / LIST_INTERVAL_SECONDS;
  const changes = TARGET_SIZE.changesPerDay / DAY_SECONDS;
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
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "scans of convictions",
      formula: `${VMS} VMs / ${RATES.quarantineScanSeconds} s`,
      value: scans,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "reads of the list of VMs",
      formula: `${VMS} VMs / ${LIST_INTERVAL_SECONDS} s`,
      value: lists,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "all reads, ordinary day",
      formula:
        "head polls + scans + sweeps of old rows + list + one fetch of each change by each VM",
      value: polls + scans + sweeps + lists + changes * VMS,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      label: "writes of submissions",
      formula: `${TARGET_SIZE.changesPerDay} a day × 3 rows and 2 objects`,
      value: changes * 5,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "transactions of claims, if every request were a filing",
      formula:
        `the lesser of ${TARGET_SIZE.requestsPerSecond} × ${RATES.writesPerCall} and ${VMS} VMs / ${RATES.commitIntervalMs} ms`,
      value: commits,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "the same, if the platform counts rows",
      formula:
        `${TARGET_SIZE.requestsPerSecond} requests/s × ${RATES.writesPerCall} rows`,
      value: rows,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      label: "bytes of claims, if every request were a filing",
      formula: `${rows} rows/s × \`wire-claim\``,
      value: rows * read.slopeOf("wire-claim") / MB,
      unit: "MB/s",
    },
  ];
}

/** The VM that orders engines for one model. */
export function orderFigures(read: SlopeReader): RoleFigure[] {
  const { replicasPerModel, runsPerDecode } = DERIVED;
  const report = read.valueAt("wire-report", runsPerDecode);
  const watched = TARGET_SIZE.changesPerDay * RATES.orderWatchSeconds /
    DAY_SECONDS;
  const own = Math.round(replicasPerModel);
  const runs = Math.round(runsPerDecode);
  const figure = (label: string, formula: string, value: number) => ({
    label: label,
    formula,
    value,
    unit: "bytes/s",
    budget: BUDGET.controlBytesPerSecond,
  });
  return [
    figure(
      "bytes of reports, nothing to do",
      `${own} replicas / ${RATES.orderIdlePollSeconds} s × \`wire-report\` at ${runs}`,
      replicasPerModel / RATES.orderIdlePollSeconds * report,
    ),
    figure(
      "bytes of reports, for 30 s after each change",
      `${own} replicas/s × \`wire-report\` at ${runs}`,
      replicasPerModel * report,
    ),
    figure(
      "bytes of reports, mean of a day",
      `${TARGET_SIZE.changesPerDay} × ${RATES.orderWatchSeconds} s a day of the one, else the other`,
      replicasPerModel * report *
        (watched + (1 - watched) / RATES.orderIdlePollSeconds),
    ),
    figure(
      "bytes of reports while an engine must be ordered",
      `${TARGET_SIZE.replicas} replicas/s × \`wire-report\` at ${runs}`,
      TARGET_SIZE.replicas * report,
    ),
    {
      label: "leases renewed if every model had orders in every region at once",
      formula:
        `${TARGET_SIZE.models} models × ${TARGET_SIZE.regions} regions / ${RATES.leaseRenewSeconds} s`,
      value: TARGET_SIZE.models * TARGET_SIZE.regions / RATES.leaseRenewSeconds,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
  ];
}

/** The operator's tool, and the VM that takes a manifest from it. */
export function toolFigures(read: SlopeReader): RoleFigure[] {
  const { workspaces } = TARGET_SIZE;
  return [
    {
      label: "bytes of a whole manifest",
      formula: `about \`wire-snapshot\` at ${workspaces}`,
      value: read.valueAt("wire-snapshot", workspaces) / MB,
      unit: "MB",
      budget: 16,
    },
    {
      label: "pause of the accepting VM's event loop for the check",
      formula: `\`time-manifest-check\` at ${workspaces}`,
      value: read.valueAt("time-manifest-check", workspaces) / 1_000,
      unit: "ms",
      budget: TARGET_SIZE.betweenTokensMs,
    },
  ];
}

/** What fails or comes all at once. */
export function outageFigures(read: SlopeReader): RoleFigure[] {
  const lost = DERIVED.vmsPerDataCentre;
  const change = read.valueAt("time-view-change", VMS);
  const items = RATES.gossipLimitBytes / read.slopeOf("wire-probe-news");
  const rounds = Math.ceil(Math.log2(VMS + 1));
  const snapshot = read.valueAt("wire-snapshot", TARGET_SIZE.workspaces);
  const region = DERIVED.vmsPerRegion;
  const rate = shardRate() * ASSUMED.surgeFactor;
  const waiting = rate * TARGET_SIZE.firstTokenMs / 1_000;
  const callers = TARGET_SIZE.workspaces * ASSUMED.callersPerWorkspace;
  return [
    {
      label: "a data centre lost: changes of the view on every other VM",
      formula: `${Math.round(lost)} VMs × 2 states × \`time-view-change\``,
      value: lost * 2 * change / 1_000,
      unit: "ms",
    },
    {
      label: "a data centre lost: its news once round all VMs, estimate",
      formula: `${
        Math.round(lost)
      } items / (2 messages/s × items on a message) × log2(${VMS})`,
      value: lost / (2 * items) * rounds,
      unit: "s",
    },
    {
      label:
        "a data centre lost: owners that register again, calls to new homes",
      formula: "1/9 of the keys and grants of all in flight, at once",
      value: 2 * DERIVED.inFlight / TARGET_SIZE.dataCentres,
      unit: "calls",
    },
    {
      label: "a region away: changes of the view on every VM",
      formula: `${Math.round(region)} VMs × 2 states × \`time-view-change\``,
      value: region * 2 * change / 1_000,
      unit: "ms",
    },
    {
      label: "180 replacements: bytes of start, mean of a day and VM",
      formula:
        `${TARGET_SIZE.replacementsPerDay} × \`wire-snapshot\` at ${TARGET_SIZE.workspaces} / day / ${VMS}`,
      value: TARGET_SIZE.replacementsPerDay * snapshot / DAY_SECONDS / VMS,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      label: "180 replacements: changes of the view on every VM, mean of a day",
      formula:
        `${TARGET_SIZE.replacementsPerDay} × 4 states × \`time-view-change\` / day`,
      value: TARGET_SIZE.replacementsPerDay * 4 * change / DAY_SECONDS,
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      label: "all VMs start at once: time for the platform to answer them",
      formula:
        `${VMS} × 6 (list, head, scan, 3 bodies) / ${BUDGET.platformReadsPerSecond} reads/s`,
      value: VMS * 6 / BUDGET.platformReadsPerSecond * 1_000,
      unit: "ms",
      budget: TARGET_SIZE.activationMs,
    },
    {
      label: "all VMs start at once: bytes out of the object store",
      formula: `${VMS} × \`wire-snapshot\` at ${TARGET_SIZE.workspaces}`,
      value: VMS * snapshot / MB,
      unit: "MB",
    },
    {
      label: "all VMs start at once: changes of the view on every VM",
      formula: `${VMS} × \`time-view-change\``,
      value: VMS * change / 1_000,
      unit: "ms",
    },
    {
      label: "a VM starts while the platform is down: a peer's snapshot",
      formula:
        `\`wire-snapshot\` at ${TARGET_SIZE.workspaces} / ${ASSUMED.linkMegabytesPerSecond} MB/s, against the time limit of a peer's answer`,
      value: snapshot / ASSUMED.linkMegabytesPerSecond / 1_000,
      unit: "ms",
      budget: ASSUMED.peerTimeoutMs,
    },
    {
      label: "stampede at one shard, queue not shed: looks at what waits",
      formula: `${Math.round(rate)} requests/s × \`time-dispatch\` at ${
        Math.round(waiting)
      }`,
      value: rate * read.valueAt("time-dispatch", waiting) / 10_000,
      unit: "% of a core",
      budget: 100,
    },
    {
      label: "stampede: every caller asks one data centre's VMs for addresses",
      formula: `${callers} callers / ${
        Math.round(lost)
      } VMs × \`time-address-answer\` at ${VMS}`,
      value: callers / lost * read.valueAt("time-address-answer", VMS) / 1_000,
      unit: "ms",
      budget: ASSUMED.addressTtlSeconds * 1_000,
    },
  ];
}
