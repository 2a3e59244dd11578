/** Grant policies and their types. */
export * from "./types.ts";
export * from "./baselines.ts";
export * from "./reserve_then_prefill.ts";
