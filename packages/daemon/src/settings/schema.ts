/** The daemon's settings, as an INI file gives them. `docs/operators/settings.md` lists them. */
import type { DataCentre, Region, VmId } from "@teaselvalve/core";
import { z } from "zod";

const MAX_PORT = 65_535;

const address = z.string()
  .regex(/^[^\s:]+:\d{1,5}$/, { error: "Expected host:port", abort: true })
  .refine((text) => {
    const port = Number(text.slice(text.indexOf(":") + 1));
    return port > 0 && port <= MAX_PORT;
  }, `Expected a port from 1 to ${MAX_PORT}`);

const file = z.string().min(1, "Expected the name of a file");

function label<T extends string>() {
  return z.string().regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    "Expected lower-case letters, digits, dots and dashes",
  ).transform((text) => text as T);
}

function wholeNumber(options: { min: number; default: number }) {
  return z.string("Expected a whole number")
    .regex(/^\d{1,15}$/, "Expected a whole number")
    .transform(Number)
    .refine(
      (value) => value >= options.min,
      `Expected at least ${options.min}`,
    )
    .default(options.default);
}

const TlsSchema = z.strictObject({
  /** The interface's certificate with its chain, in PEM. */
  certificateFile: file,
  keyFile: file,
  /** Authorities that the other side's certificate must come from, in PEM. */
  caFile: file.optional(),
  requireClientCertificate: z.boolean("Expected true or false").default(false),
});

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
    timeoutMs: wholeNumber({ min: 10, default: 1_000 }),
  }),
  secrets: z.strictObject({
    /** File that holds the secret shared by the deployment's VMs. */
    peerSecretFile: file,
    /** File that holds the first administrator's token, which is valid beside the manifest's roles. */
    adminTokenFile: file,
  }),
  /** Interfaces without a section of their own are plain. */
  tls: z.strictObject({
    callers: TlsSchema.optional(),
    admin: TlsSchema.optional(),
    peers: TlsSchema.optional(),
  }).prefault({}),
  limits: z.strictObject({
    bodyBytes: wholeNumber({ min: 1_024, default: 1_048_576 }),
    headerBytes: wholeNumber({ min: 1_024, default: 16_384 }),
    headerCount: wholeNumber({ min: 10, default: 100 }),
    /** Open connections of one interface. */
    connections: wholeNumber({ min: 10, default: 10_000 }),
    /** How long a kept connection may stay without a request. */
    idleMs: wholeNumber({ min: 100, default: 30_000 }),
    /** How long a request's headers may take to arrive. */
    headersMs: wholeNumber({ min: 100, default: 10_000 }),
    /** How long a whole request may take to arrive. */
    requestMs: wholeNumber({ min: 100, default: 60_000 }),
    /** How long a caller may take nothing of an answer that waits for it. */
    slowReaderMs: wholeNumber({ min: 100, default: 15_000 }),
    stopTimeoutMs: wholeNumber({ min: 1_000, default: 120_000 }),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(
      ["debug", "info", "warn", "error"],
      "Expected debug, info, warn or error",
    ).default("info"),
  }).prefault({}),
});

function fraction() {
  return z.string("Expected a number").regex(
    /^\d{1,9}(\.\d{1,9})?$/,
    "Expected a number of 0 or more",
  ).transform(Number);
}

/** Sections and keys of the settings of a VM that routes by host and path. */
export const RoutingSettingsSchema = z.object({
  vm: z.object({
    id: label<VmId>(),
    dataCentre: label<DataCentre>(),
    region: label<Region>(),
  }),
  listen: z.object({
    /** Where callers connect. */
    callers: address,
    /** Where the platform asks whether this VM takes requests. */
    readiness: address,
    /** Where callers ask which addresses to use. */
    directory: address,
    /** Where the other VMs connect. */
    peers: address,
    /** Where metrics are read. */
    metrics: address,
  }),
  peers: z.object({
    /** Peer addresses for first contact, separated by commas; they may be stale. */
    contacts: z.string().default("").transform((text) =>
      text.split(",").map((one) => one.trim()).filter(Boolean)
    ),
  }).prefault({}),
  platform: z.object({ address }),
  retries: z.object({
    /** Repeats for each request that all VMs together may make. */
    share: fraction(),
    /** Repeats on top of the share in one window. */
    slack: fraction(),
  }),
  stop: z.object({
    /** Time between the signal to stop and the end of the process. */
    graceS: fraction(),
  }),
  bounds: z.object({
    /** Time without disturbance after which a VM is held to the bounds below. */
    contactMs: wholeNumber({ min: 0, default: 3_000 }),
    /** Time in which a change of the configuration is in force. */
    configMs: wholeNumber({ min: 500, default: 2_000 }),
    /** Time in which an endpoint that leaves gets no more work. */
    drainMs: wholeNumber({ min: 500, default: 2_000 }),
  }).prefault({}),
  directory: z.object({
    /** The longest time that callers keep an answer. */
    ttlMaxS: fraction(),
  }),
  limits: z.object({
    memoryMb: wholeNumber({ min: 32, default: 64 }),
    descriptors: wholeNumber({ min: 64, default: 4_096 }),
  }).prefault({}),
  log: z.object({
    level: z.enum(
      ["debug", "info", "warn", "error"],
      "Expected debug, info, warn or error",
    ).default("info"),
  }).prefault({}),
});

/** Checked settings of a VM that routes by host and path. */
export type RoutingSettings = z.infer<typeof RoutingSettingsSchema>;
/** Checked settings. */
export type Settings = z.infer<typeof SettingsSchema>;
/** TLS settings of one interface. */
export type TlsSettings = z.infer<typeof TlsSchema>;
/** Limits of the interfaces. */
export type Limits = Settings["limits"];
