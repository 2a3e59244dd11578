/** Routes callers' requests to endpoints by host, path and load. */
export * from "./context.ts";
export * from "./endpoint_registry.ts";
export * from "./endpoint_record.ts";
export type { CrashRow, CrashTable } from "./crashes/lasting_evidence.ts";
export { EventSplitter } from "./event_splitter.ts";
export * from "./links/types.ts";
export type {
  OriginRow,
  OriginRows,
  OriginTable,
  SeenVersion,
} from "./origin_record.ts";
export * from "./port.ts";
export * from "./router.ts";
export * from "./service_budget.ts";
export type { StreamOrigin } from "./stream_origins.ts";
export * from "./stream_relay.ts";
export * from "./types.ts";
export * from "./queries/effective_priority.ts";
export * from "./workspaces/authenticator.ts";
export * from "./workspaces/key_index.ts";
export type { TableAge } from "./workspaces/table_age.ts";
export * from "./workspaces/types.ts";
export * from "./routing_vm.ts";
export * from "./routing_vm_options.ts";
export * from "./table_feed.ts";
export * from "./shutdown.ts";
export * from "./queries/local_view.ts";
