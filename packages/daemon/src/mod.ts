/** The daemon, for tests and experiments that run it in process. */
export type * from "./admin/commands/summaries.ts";
export type * from "./admin/queries/calls.ts";
export type * from "./admin/queries/endpoints.ts";
export type * from "./admin/queries/metrics.ts";
export type * from "./admin/queries/summaries.ts";
export * from "./daemon.ts";
export * from "./http/calls.ts";
export * from "./lifecycle/manager.ts";
export * from "./observe/log.ts";
export * from "./settings/load.ts";
export * from "./settings/schema.ts";
export * from "./callers/authenticate.ts";
export * from "./engines/port.ts";
export * from "./http/server.ts";
export * from "./peers/port.ts";
export * from "./peers/server.ts";
export * from "./platform/port.ts";
export * from "./callers/handler.ts";
