/** How often the system does things, as its code says. */

/** Rates of the system's mechanisms. */
export const RATES = {
  /** `membership/task.ts` */
  probesPerSecond: 1,
  listBytesPerVm: 200,
  listBytesPerSecond: 200,
  gossipLimitBytes: 400,
  gossipRepeatFactor: 3,
  suspicionSeconds: 5,
  /** `configuration/task.ts` */
  headPollsPerSecond: 1,
  notifiedPeers: 4,
  changesKept: 256,
  /** `suspects/tracker.ts` and `suspects/home.ts` */
  quarantineScanSeconds: 60,
  suspectEntries: 20_000,
  /** `membership/queries/home.ts` */
  homeKeysCached: 10_000,
  /** `grants/report_poll.ts` and `reports/task.ts` */
  reportPollsPerSecond: 3,
  reportHomeLookupsPerSecond: 1,
  shardReplicas: 16,
  /** Request and progress: prefill ended, decode started, ended. */
  grantCallsPerSummary: 4,
  /** Registered, located, answered, with the suspects' two questions apart. */
  registrationsPerSummary: 3,
  registrationKeptSeconds: 30,
  suspectCallsPerSummary: 2,
  /** `quotas/task.ts`: asked once, told of the end once. */
  quotaCallsPerSummary: 2,
  /** `orders/task.ts` and `orders/types.ts` */
  orderIdlePollSeconds: 15,
  orderWatchSeconds: 30,
  leaseRenewSeconds: 5,
  /** `calls/policies.ts` */
  commitIntervalMs: 200,
  /** Claimed and done. */
  writesPerCall: 2,
} as const;

/** What the letter leaves open. */
export const ASSUMED = {
  callersPerWorkspace: 4,
  addressTtlSeconds: 10,
  quarantines: 20,
  surgeFactor: 10,
  /** A platform's answer, each way of a request together. */
  platformMs: 50,
  linkMegabytesPerSecond: 125,
  /** `configuration/fetch.ts` */
  peerTimeoutMs: 1_000,
} as const;
