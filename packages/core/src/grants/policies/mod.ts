/** The grant policies. */
export * from "./types.ts";
export * from "./baselines.ts";
export * from "./reserve_then_prefill.ts";
