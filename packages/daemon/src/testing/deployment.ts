/** An in-process daemon with fakes on loopback, for tests over real sockets. */
import type { Server } from "node:http";
import {
  asId,
  type DataCentre,
  digest,
  type EndpointId,
  type LogEvent,
  type Region,
  type VmId,
} from "@teaselvalve/core";
import {
  CURRENT_PROFILE,
  FakeDecodeEngine,
  FakePlatform,
  FakePrefillEngine,
  noPlatformFaults,
  PlainService,
  type PlatformFaults,
  serveEngine,
  servePlatform,
  serveService,
} from "@teaselvalve/fakes";
import { createDaemon, type Daemon } from "../daemon.ts";
import type { LoadedSettings } from "../settings/load.ts";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "./ports.ts";

const CAPACITY_TIMEOUT_MS = 10_000;
const HOST = "127.0.0.1";
/** Name of the deployment's model. */
export const MODEL = "tiivistaja";
/** Name of the deployment's plain service. */
export const SERVICE = "kirjaamo";

/** Tokens of the deployment's roles and callers, including invalid ones. */
export const TOKENS = {
  first: "first-administrator-of-a-test",
  administrator: "administrator-of-a-test",
  operator: "operator-of-lenders",
  reader: "reader-of-a-test",
  lender: "caller-lender-1",
  otherLender: "caller-lender-2",
  office: "caller-office-1",
  revoked: "caller-revoked",
  expired: "caller-expired",
};

/** Options of {@link startTestDeployment}. */
export interface TestDeploymentOptions {
  /** Overrides of the `limits` settings. */
  limits?: Record<string, string>;
  tls?: LoadedSettings["tls"];
  /** Starts the VM without a configuration. */
  unconfigured?: boolean;
}

/** A running daemon with its fakes. */
export interface TestDeployment {
  /** Addresses of the HTTP interfaces, as `host:port`. */
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
  readonly daemon: Daemon;
  readonly service: PlainService;
  readonly decodeEngines: readonly FakeDecodeEngine[];
  readonly platformFaults: PlatformFaults;
  /** Every event that the daemon logged. */
  readonly log: LogEvent[];
  close(): Promise<void>;
}

/**
 * Starts the fakes and a daemon, submits a first manifest and waits until requests
 * are served, unless `unconfigured` is set.
 */
export async function startTestDeployment(
  options: TestDeploymentOptions = {},
): Promise<TestDeployment> {
  const servers: Server[] = [];
  const fakes = await startFakes(servers);
  const addresses = {
    callers: await freeAddress(),
    admin: await freeAddress(),
    peers: await freeAddress(),
  };
  fakes.platform.upsertListedVm({
    ...IDENTITY,
    callerAddress: addresses.callers,
    peerAddress: addresses.peers,
    state: "live",
  });
  const log: LogEvent[] = [];
  const daemon = createDaemon({
    settings: SettingsSchema.parse({
      vm: IDENTITY,
      listen: addresses,
      platform: { address: fakes.platformAddress },
      secrets: { peerSecretFile: "unused", adminTokenFile: "unused" },
      limits: options.limits ?? {},
    }),
    secrets: { peerSecret: PEER_SECRET, adminToken: TOKENS.first },
    tls: options.tls ?? {},
    log: (event) => log.push(event),
  });
  await daemon.start();
  const deployment: TestDeployment = {
    ...addresses,
    daemon,
    service: fakes.service,
    decodeEngines: fakes.decodeEngines,
    platformFaults: fakes.platformFaults,
    log,
    async close() {
      await daemon.stop();
      for (const engine of fakes.engines) engine.close();
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
  if (!options.unconfigured) {
    await submitManifest(deployment, fakes);
    await waitForCapacity(deployment);
  }
  return deployment;
}

/** Sends requests until one succeeds, which takes the engines' first load reports. */
async function waitForCapacity(deployment: TestDeployment): Promise<void> {
  const deadlineMs = Date.now() + CAPACITY_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    const response = await fetch(
      `http://${deployment.callers}/v1/completions`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${TOKENS.lender}` },
        body: JSON.stringify({ model: MODEL, prompt: "Ready? [length=1]" }),
      },
    );
    await response.text();
    if (response.ok) return;
  }
  throw new Error("No request succeeded before the capacity timeout");
}

/** Secret shared by the deployment's VMs. */
export const PEER_SECRET = "peer-secret-of-a-test";

const IDENTITY = {
  id: asId<VmId>("vm-1"),
  dataCentre: asId<DataCentre>("helsinki-a"),
  region: asId<Region>("suomi-etela"),
};

type Fakes = Awaited<ReturnType<typeof startFakes>>;

async function startFakes(servers: Server[]) {
  const platform = new FakePlatform({ listLagMs: 0 });
  const platformFaults = noPlatformFaults();
  const platformAddress = await freeAddress();
  servers.push(
    await servePlatform(platform, {
      ...listenOptions(platformAddress),
      faults: platformFaults,
    }),
  );
  const service = new PlainService({ durationMs: 1 });
  const serviceAddress = await freeAddress();
  servers.push(await serveService(service, listenOptions(serviceAddress)));
  const prefillEngines = [new FakePrefillEngine(engineOptions("prefill-1"))];
  const decodeEngines = [
    new FakeDecodeEngine(engineOptions("decode-1")),
    new FakeDecodeEngine(engineOptions("decode-2")),
  ];
  const engines = [...prefillEngines, ...decodeEngines];
  const addresses: string[] = [];
  for (const engine of engines) {
    const address = await freeAddress();
    engine.open();
    servers.push(await serveEngine(engine, listenOptions(address)));
    addresses.push(address);
  }
  const endpoints = engines.map((engine, index) => ({
    id: engine.id,
    kind: engine.role,
    address: addresses[index],
    model: MODEL,
    dataCentre: "helsinki-a",
  }));
  return {
    platform,
    platformFaults,
    platformAddress,
    service,
    decodeEngines,
    engines,
    endpoints: [...endpoints, {
      id: `${SERVICE}-1`,
      kind: "service",
      service: SERVICE,
      address: serviceAddress,
      dataCentre: "helsinki-a",
    }],
  };
}

async function submitManifest(
  deployment: TestDeployment,
  fakes: Fakes,
): Promise<void> {
  const token = (name: keyof typeof TOKENS, caller: string, extra = {}) => ({
    hash: digest(TOKENS[name]),
    caller,
    ...extra,
  });
  const role = (name: keyof typeof TOKENS, extra = {}) => ({
    hash: digest(TOKENS[name]),
    name,
    role: name,
    ...extra,
  });
  const scopes = {
    deployment: {
      name: "rakennuskirjo",
      addressTtlMs: 1_000,
      services: [{ name: SERVICE }],
    },
    workspaces: [
      {
        id: "lenders",
        tokens: [
          token("lender", "lender-1"),
          token("otherLender", "lender-2"),
          token("revoked", "lender-3", { revoked: true }),
          token("expired", "lender-4", { expiresAtMs: 1 }),
        ],
      },
      { id: "offices", tokens: [token("office", "office-1")] },
    ],
    endpoints: fakes.endpoints,
    roles: [
      role("administrator"),
      role("operator", { workspaces: ["lenders"] }),
      role("reader"),
    ],
  };
  const response = await fetch(`http://${deployment.admin}/admin/manifests`, {
    method: "POST",
    headers: { authorization: `Bearer ${TOKENS.first}` },
    body: JSON.stringify({
      submissionId: "first",
      scopes: Object.fromEntries(
        Object.entries(scopes).map(([name, body]) => [
          name,
          { basedOn: 0, body },
        ]),
      ),
    }),
  });
  const text = await response.text();
  if (response.status > 202) throw new Error(`Manifest rejected: ${text}`);
}

function engineOptions(name: string) {
  return {
    id: asId<EndpointId>(name),
    models: [MODEL],
    profile: CURRENT_PROFILE,
    random: () => 0.5,
  };
}

async function freeAddress(): Promise<string> {
  return `${HOST}:${await freePort()}`;
}

function listenOptions(address: string): { host: string; port: number } {
  return { host: HOST, port: Number(address.slice(HOST.length + 1)) };
}
