/** The daemon's settings, as an INI file gives them. */
import type { DataCentre, Region, VmId } from "@teaselvalve/core";
import { z } from "zod";

const address = z.string().regex(
  /^[^\s:]+:\d{1,5}$/,
  "Expected host:port",
);

function label<T extends string>() {
  return z.string().regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    "Expected lower-case letters, digits, dots and dashes",
  ).transform((text) => text as T);
}

/** Sections and keys of the settings file. */
export const SettingsSchema = z.strictObject({
  vm: z.strictObject({
    id: label<VmId>(),
    dataCentre: label<DataCentre>(),
    region: label<Region>(),
  }),
  listen: z.strictObject({
    /** Where callers connect. */
    callers: address,
    /** Where operators connect. */
    admin: address,
    /** Where the other VMs connect. */
    peers: address,
  }),
  platform: z.strictObject({
    address,
    timeoutMs: z.coerce.number().int().min(10).default(1_000),
  }),
  secrets: z.strictObject({
    /** File that holds the secret shared by the deployment's VMs. */
    peerSecretFile: z.string().min(1),
    /** File that holds the first administrator's token, used until a manifest names roles. */
    adminTokenFile: z.string().min(1),
  }),
  limits: z.strictObject({
    bodyBytes: z.coerce.number().int().min(1_024).default(1_048_576),
    connections: z.coerce.number().int().min(10).default(10_000),
    stopTimeoutMs: z.coerce.number().int().min(1_000).default(120_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
});

/** Checked settings. */
export type Settings = z.infer<typeof SettingsSchema>;
