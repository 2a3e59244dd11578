/** The daemon, for tests and experiments that run it in process. */
export * from "./daemon.ts";
export * from "./http/calls.ts";
export * from "./lifecycle/manager.ts";
export * from "./observe/log.ts";
export * from "./settings/load.ts";
export * from "./settings/schema.ts";
