/** Deployments of real processes, for benchmarks and tests of the whole system. */
export * from "./processes/deployment.ts";
export * from "./processes/process_group.ts";
