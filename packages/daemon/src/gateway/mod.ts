/** Exports of the gateway, which routes requests by host and path over real sockets. */
export * from "../http/calls.ts";
export * from "../http/exchange.ts";
export * from "../http/json.ts";
export * from "../lifecycle/guard.ts";
export * from "../lifecycle/process_end.ts";
export * from "../observe/log.ts";
export * from "../observe/metrics.ts";
export * from "../settings/load.ts";
export * from "../settings/schema.ts";
export * from "../testing/ports.ts";
export * from "./answers.ts";
export * from "./daemon.ts";
export * from "./endpoint_port.ts";
export * from "./protocol.ts";
