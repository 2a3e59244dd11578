/** Experiments and tests over the whole system. */
export * from "./processes/deployment.ts";
export * from "./processes/process_group.ts";
