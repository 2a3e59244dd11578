/** Schema of the INI settings file, documented in `docs/operators/settings.md`. */
import type { DataCentre, Region, VmId } from "@teaselvalve/core";
import { z } from "zod";
import { decimalNumber, MAX_TIMER_MS, wholeNumber } from "./numbers.ts";

const MAX_PORT = 65_535;
const MS_PER_S = 1_000;

const address = z.string()
  .regex(/^[^\s:]+:\d{1,5}$/, { error: "Expected host:port", abort: true })
  .refine((text) => {
    const port = Number(text.slice(text.indexOf(":") + 1));
    return port > 0 && port <= MAX_PORT;
  }, `Expected a port from 1 to ${MAX_PORT}`);

const filePath = z.string().min(1, "Expected a file name");

function identifier<T extends string>() {
  return z.string().regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    "Expected lower-case letters, digits, dots and dashes",
  ).transform((text) => text as T);
}

/** The platform scales its bounds with the size of a deployment, so they may have decimals. */
function durationMs({ min }: { min: number }) {
  return decimalNumber({ min, max: MAX_TIMER_MS });
}

function durationS() {
  return decimalNumber({ min: 0, max: MAX_TIMER_MS / MS_PER_S });
}

const TlsSchema = z.strictObject({
  /** The interface's certificate with its chain, in PEM. */
  certificateFile: filePath,
  keyFile: filePath,
  /** Certificate authorities that must have issued the remote side's certificate, in PEM. */
  caFile: filePath.optional(),
  requireClientCertificate: z.boolean("Expected true or false").default(false),
});

/** Settings of the daemon; unknown sections and keys are errors. */
export const SettingsSchema = z.strictObject({
  vm: z.strictObject({
    id: identifier<VmId>(),
    dataCentre: identifier<DataCentre>(),
    region: identifier<Region>(),
  }),
  listen: z.strictObject({
    /** Listen address for callers. */
    callers: address,
    /** Listen address for operators. */
    admin: address,
    /** Listen address for other VMs. */
    peers: address,
  }),
  platform: z.strictObject({
    address,
    timeoutMs: durationMs({ min: 10 }).default(1_000),
  }),
  secrets: z.strictObject({
    /** File with the secret that all VMs of the deployment share. */
    peerSecretFile: filePath,
    /** File with the first administrator's token, valid in addition to the manifest's roles. */
    adminTokenFile: filePath,
  }),
  /** Interfaces without a section here use plain HTTP. */
  tls: z.strictObject({
    callers: TlsSchema.optional(),
    admin: TlsSchema.optional(),
    peers: TlsSchema.optional(),
  }).prefault({}),
  limits: z.strictObject({
    bodyBytes: wholeNumber({ min: 1_024 }).default(1_048_576),
    headerBytes: wholeNumber({ min: 1_024 }).default(16_384),
    headerCount: wholeNumber({ min: 10 }).default(100),
    /** Maximum number of open connections of one interface. */
    connections: wholeNumber({ min: 10 }).default(10_000),
    /** How long a keep-alive connection may stay idle. */
    idleMs: durationMs({ min: 100 }).default(30_000),
    /** Timeout for receiving the headers of a request. */
    headersMs: durationMs({ min: 100 }).default(10_000),
    /** Timeout for receiving a whole request. */
    requestMs: durationMs({ min: 100 }).default(60_000),
    /** How long a caller may read nothing while response data is waiting for it. */
    slowReaderMs: durationMs({ min: 100 }).default(15_000),
    stopTimeoutMs: durationMs({ min: 1_000 }).default(120_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(
      ["debug", "info", "warn", "error"],
      "Expected debug, info, warn or error",
    ).default("info"),
  }).prefault({}),
});

/** Settings of a VM that routes by host and path. */
export const RoutingSettingsSchema = z.object({
  vm: z.object({
    id: identifier<VmId>(),
    dataCentre: identifier<DataCentre>(),
    region: identifier<Region>(),
  }),
  listen: z.object({
    /** Listen address for callers. */
    callers: address,
    /** Listen address for readiness checks by the platform. */
    readiness: address,
    /** Listen address where callers look up which addresses to use. */
    directory: address,
    /** Listen address for other VMs. */
    peers: address,
    /** Listen address for metrics. */
    metrics: address,
  }),
  peers: z.object({
    /** Comma-separated peer addresses for first contact; they may be stale. */
    contacts: z.string().default("").transform((text) =>
      text.split(",").map((entry) => entry.trim()).filter(Boolean)
    ),
  }).prefault({}),
  platform: z.object({ address }),
  retries: z.object({
    /** Retries per request that all VMs together may make. */
    share: decimalNumber({ min: 0 }),
    /** Retries allowed in one window in addition to the share. */
    slack: decimalNumber({ min: 0 }),
  }),
  stop: z.object({
    /** Time between the stop signal and the end of the process. */
    graceS: durationS(),
  }),
  bounds: z.object({
    /** Time without faults after which the bounds below apply to a VM. */
    contactMs: durationMs({ min: 0 }).default(3_000),
    /** Time within which a configuration change must be active. */
    configMs: durationMs({ min: 500 }).default(2_000),
    /** Time after which a draining endpoint gets no more work. */
    drainMs: durationMs({ min: 500 }).default(2_000),
  }).prefault({}),
  balance: z.object({
    /** Whether shards of engines are chosen by the loads that their homes tell. */
    engines: z.boolean("Expected true or false").default(true),
    /** Whether plain endpoints of about the same latency are used in turns. */
    calls: z.boolean("Expected true or false").default(false),
  }).prefault({}),
  directory: z.object({
    /** Maximum time that callers may cache a directory response. */
    ttlMaxS: durationS(),
  }),
  limits: z.object({
    /** Memory that the platform allows the process. */
    memoryMb: decimalNumber({ min: 32 }).default(200),
    descriptors: wholeNumber({ min: 64 }).default(4_096),
  }).prefault({}),
  log: z.object({
    level: z.enum(
      ["debug", "info", "warn", "error"],
      "Expected debug, info, warn or error",
    ).default("info"),
  }).prefault({}),
});

/** Validated settings of a VM that routes by host and path. */
export type RoutingSettings = z.infer<typeof RoutingSettingsSchema>;
/** Validated settings of the daemon. */
export type Settings = z.infer<typeof SettingsSchema>;
/** TLS settings of one interface. */
export type TlsSettings = z.infer<typeof TlsSchema>;
/** Size, connection and time limits of the HTTP interfaces. */
export type Limits = Settings["limits"];
