/** Figures of the platform's services, of orders, of the tool and of the bad day. */
import { BUDGET, DERIVED, LETTER } from "../letter.ts";
import { LIST_SECONDS } from "./control.ts";
import { ASSUMED, RATES } from "./rates.ts";
import type { SlopeReader } from "./reader.ts";
import { shardRate } from "./serving.ts";
import type { RoleFigure } from "./types.ts";

const READS = "reads/s";
const WRITES = "writes/s";
const DAY_SECONDS = 86_400;
const VMS = LETTER.nodes;
const MB = 1_048_576;

/** The table service and the object store. */
export function platformFigures(read: SlopeReader): RoleFigure[] {
  const polls = VMS * RATES.headPollsPerSecond;
  const scans = VMS / RATES.convictionScanSeconds;
  const sweeps = LETTER.regions / 5;
  const lists = VMS / LIST_SECONDS;
  const changes = LETTER.changesPerDay / DAY_SECONDS;
  const commits = Math.min(
    LETTER.requestsPerSecond * RATES.writesPerCall,
    VMS * 1_000 / RATES.commitIntervalMs,
  );
  const rows = LETTER.requestsPerSecond * RATES.writesPerCall;
  return [
    {
      what: "head polls",
      formula: `${VMS} VMs × 1/s`,
      value: polls,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      what: "scans of convictions",
      formula: `${VMS} VMs / ${RATES.convictionScanSeconds} s`,
      value: scans,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      what: "reads of the list of VMs",
      formula: `${VMS} VMs / ${LIST_SECONDS} s`,
      value: lists,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      what: "all reads, ordinary day",
      formula:
        "head polls + scans + sweeps of old rows + list + one fetch of each change by each VM",
      value: polls + scans + sweeps + lists + changes * VMS,
      unit: READS,
      budget: BUDGET.platformReadsPerSecond,
    },
    {
      what: "writes of submissions",
      formula: `${LETTER.changesPerDay} a day × 3 rows and 2 objects`,
      value: changes * 5,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      what: "transactions of claims, if every request were a filing",
      formula:
        `the lesser of ${LETTER.requestsPerSecond} × ${RATES.writesPerCall} and ${VMS} VMs / ${RATES.commitIntervalMs} ms`,
      value: commits,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      what: "the same, if the platform counts rows",
      formula:
        `${LETTER.requestsPerSecond} requests/s × ${RATES.writesPerCall} rows`,
      value: rows,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
    {
      what: "bytes of claims, if every request were a filing",
      formula: `${rows} rows/s × \`wire-claim\``,
      value: rows * read.each("wire-claim") / MB,
      unit: "MB/s",
    },
  ];
}

/** The VM that orders engines for one model. */
export function orderFigures(read: SlopeReader): RoleFigure[] {
  const { replicasPerModel, runsPerDecode } = DERIVED;
  const report = read.at("wire-report", runsPerDecode);
  const watched = LETTER.changesPerDay * RATES.orderWatchSeconds / DAY_SECONDS;
  const own = Math.round(replicasPerModel);
  const runs = Math.round(runsPerDecode);
  const figure = (what: string, formula: string, value: number) => ({
    what,
    formula,
    value,
    unit: "bytes/s",
    budget: BUDGET.controlBytesPerSecond,
  });
  return [
    figure(
      "bytes of reports, nothing to do",
      `${own} replicas / ${RATES.orderLookIdleSeconds} s × \`wire-report\` at ${runs}`,
      replicasPerModel / RATES.orderLookIdleSeconds * report,
    ),
    figure(
      "bytes of reports, for 30 s after each change",
      `${own} replicas/s × \`wire-report\` at ${runs}`,
      replicasPerModel * report,
    ),
    figure(
      "bytes of reports, mean of a day",
      `${LETTER.changesPerDay} × ${RATES.orderWatchSeconds} s a day of the one, else the other`,
      replicasPerModel * report *
        (watched + (1 - watched) / RATES.orderLookIdleSeconds),
    ),
    figure(
      "bytes of reports while an engine must be ordered",
      `${LETTER.replicas} replicas/s × \`wire-report\` at ${runs}`,
      LETTER.replicas * report,
    ),
    {
      what: "leases renewed if every model had orders in every region at once",
      formula:
        `${LETTER.models} models × ${LETTER.regions} regions / ${RATES.leaseRenewSeconds} s`,
      value: LETTER.models * LETTER.regions / RATES.leaseRenewSeconds,
      unit: WRITES,
      budget: BUDGET.platformWritesPerSecond,
    },
  ];
}

/** The operator's tool, and the VM that takes a manifest from it. */
export function toolFigures(read: SlopeReader): RoleFigure[] {
  const { workspaces } = LETTER;
  return [
    {
      what: "bytes of a whole manifest",
      formula: `about \`wire-snapshot\` at ${workspaces}`,
      value: read.at("wire-snapshot", workspaces) / MB,
      unit: "MB",
      budget: 16,
    },
    {
      what: "pause of the accepting VM's event loop for the check",
      formula: `\`time-manifest-check\` at ${workspaces}`,
      value: read.at("time-manifest-check", workspaces) / 1_000,
      unit: "ms",
      budget: LETTER.betweenTokensMs,
    },
  ];
}

/** What fails or comes all at once. */
export function badDayFigures(read: SlopeReader): RoleFigure[] {
  const lost = DERIVED.nodesPerDataCentre;
  const change = read.at("time-view-change", VMS);
  const items = RATES.newsLimitBytes / read.each("wire-probe-news");
  const rounds = Math.ceil(Math.log2(VMS + 1));
  const snapshot = read.at("wire-snapshot", LETTER.workspaces);
  const region = DERIVED.nodesPerRegion;
  const rate = shardRate() * ASSUMED.stampedeFactor;
  const waiting = rate * LETTER.firstTokenMs / 1_000;
  const callers = LETTER.workspaces * ASSUMED.callersPerWorkspace;
  return [
    {
      what: "a data centre lost: changes of the view on every other VM",
      formula: `${Math.round(lost)} VMs × 2 states × \`time-view-change\``,
      value: lost * 2 * change / 1_000,
      unit: "ms",
    },
    {
      what: "a data centre lost: its news once round all VMs, estimate",
      formula: `${
        Math.round(lost)
      } items / (2 messages/s × items on a message) × log2(${VMS})`,
      value: lost / (2 * items) * rounds,
      unit: "s",
    },
    {
      what:
        "a data centre lost: owners that register again, calls to new homes",
      formula: "1/9 of the keys and grants of all in flight, at once",
      value: 2 * DERIVED.inFlight / LETTER.dataCentres,
      unit: "calls",
    },
    {
      what: "a region away: changes of the view on every VM",
      formula: `${Math.round(region)} VMs × 2 states × \`time-view-change\``,
      value: region * 2 * change / 1_000,
      unit: "ms",
    },
    {
      what: "180 replacements: bytes of start, mean of a day and VM",
      formula:
        `${LETTER.replacementsPerDay} × \`wire-snapshot\` at ${LETTER.workspaces} / day / ${VMS}`,
      value: LETTER.replacementsPerDay * snapshot / DAY_SECONDS / VMS,
      unit: "bytes/s",
      budget: BUDGET.controlBytesPerSecond,
    },
    {
      what: "180 replacements: changes of the view on every VM, mean of a day",
      formula:
        `${LETTER.replacementsPerDay} × 4 states × \`time-view-change\` / day`,
      value: LETTER.replacementsPerDay * 4 * change / DAY_SECONDS,
      unit: "µs/s",
      budget: BUDGET.controlCoreShare * 1_000_000,
    },
    {
      what: "all VMs start at once: time for the platform to answer them",
      formula:
        `${VMS} × 6 (list, head, scan, 3 bodies) / ${BUDGET.platformReadsPerSecond} reads/s`,
      value: VMS * 6 / BUDGET.platformReadsPerSecond * 1_000,
      unit: "ms",
      budget: LETTER.adoptionMs,
    },
    {
      what: "all VMs start at once: bytes out of the object store",
      formula: `${VMS} × \`wire-snapshot\` at ${LETTER.workspaces}`,
      value: VMS * snapshot / MB,
      unit: "MB",
    },
    {
      what: "all VMs start at once: changes of the view on every VM",
      formula: `${VMS} × \`time-view-change\``,
      value: VMS * change / 1_000,
      unit: "ms",
    },
    {
      what: "a VM starts while the platform is down: a peer's snapshot",
      formula:
        `\`wire-snapshot\` at ${LETTER.workspaces} / ${ASSUMED.linkMegabytesPerSecond} MB/s, against the time limit of a peer's answer`,
      value: snapshot / ASSUMED.linkMegabytesPerSecond / 1_000,
      unit: "ms",
      budget: ASSUMED.peerTimeoutMs,
    },
    {
      what: "stampede at one shard, queue not shed: looks at what waits",
      formula: `${Math.round(rate)} requests/s × \`time-dispatch\` at ${
        Math.round(waiting)
      }`,
      value: rate * read.at("time-dispatch", waiting) / 10_000,
      unit: "% of a core",
      budget: 100,
    },
    {
      what: "stampede: every caller asks one data centre's VMs for addresses",
      formula: `${callers} callers / ${
        Math.round(lost)
      } VMs × \`time-address-answer\` at ${VMS}`,
      value: callers / lost * read.at("time-address-answer", VMS) / 1_000,
      unit: "ms",
      budget: ASSUMED.addressTtlSeconds * 1_000,
    },
  ];
}
