/**
 * Rates and limits that the capacity figures use: those of the code, and
 * assumptions.
 */

/** Rates and limits as set in the core; comments name the source files. */
export const RATES = {
  /** `membership/`: `prober.ts`, `task.ts`, `gossip_queue.ts`, `machine.ts` */
  probesPerSecond: 1,
  listBytesPerVm: 200,
  listBytesPerSecond: 200,
  gossipLimitBytes: 400,
  gossipRepeatFactor: 3,
  suspicionSeconds: 5,
  /** `configuration/task.ts` and `configuration/change_log.ts` */
  headPollsPerSecond: 1,
  notifiedPeers: 4,
  changesKept: 256,
  /** `suspects/tracker.ts` and `suspects/home.ts` */
  quarantineScanSeconds: 60,
  suspectEntries: 20_000,
  /** `membership/queries/home.ts` */
  homeKeysCached: 10_000,
  /** `grants/report_poll.ts` and `reports/task.ts`, polling together */
  reportPollsPerSecond: 3,
  reportHomeLookupsPerSecond: 1,
  /** `grants/queries/choose_shard.ts` */
  shardReplicas: 16,
  /** The request, and progress: prefill ended, decode started, ended. */
  grantCallsPerSummary: 4,
  /** Registered, located, answered; suspect calls are counted separately. */
  registrationsPerSummary: 3,
  /** `summaries/home.ts` */
  registrationKeptSeconds: 30,
  /** Admission and end of a run. */
  suspectCallsPerSummary: 2,
  /** `quotas/task.ts`: one draw, and one notice of the end. */
  quotaCallsPerSummary: 2,
  /** `orders/task.ts` and `orders/types.ts` */
  orderIdlePollSeconds: 15,
  orderWatchSeconds: 30,
  leaseRenewSeconds: 5,
  /** `calls/policies.ts` */
  commitIntervalMs: 200,
  /** The claim and the result. */
  writesPerCall: 2,
} as const;

/** Assumptions about what `TARGET_SIZE` does not define. */
export const ASSUMED = {
  callersPerWorkspace: 4,
  addressTtlSeconds: 10,
  quarantines: 20,
  surgeFactor: 10,
  /** Round trip of a request to the platform. */
  platformMs: 50,
  linkMegabytesPerSecond: 125,
  /** Not an assumption: set in `configuration/fetch.ts`. */
  peerTimeoutMs: 1_000,
} as const;
