/** One daemon in process, with stand-ins on loopback, for tests through true sockets. */
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
/** The model of the deployment. */
export const MODEL = "tiivistaja";
/** The plain service of the deployment. */
export const SERVICE = "kirjaamo";

/** Tokens that the deployment knows. */
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
  limits?: Record<string, string>;
  tls?: LoadedSettings["tls"];
  /** Leaves the VM without a configuration. */
  unconfigured?: boolean;
}

/** A running daemon with its stand-ins. */
export interface TestDeployment {
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
  readonly daemon: Daemon;
  readonly service: PlainService;
  readonly decodes: readonly FakeDecodeEngine[];
  readonly platformFaults: PlatformFaults;
  /** Every event that the daemon logged. */
  readonly log: LogEvent[];
  close(): Promise<void>;
}

/** Starts stand-ins and a daemon, and puts a first manifest in force. */
export async function startTestDeployment(
  options: TestDeploymentOptions = {},
): Promise<TestDeployment> {
  const servers: Server[] = [];
  const standIns = await startStandIns(servers);
  const addresses = {
    callers: await freeAddress(),
    admin: await freeAddress(),
    peers: await freeAddress(),
  };
  standIns.platform.upsertListedVm({
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
      platform: { address: standIns.platformAddress },
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
    service: standIns.service,
    decodes: standIns.decodes,
    platformFaults: standIns.platformFaults,
    log,
    async close() {
      await daemon.stop();
      for (const engine of standIns.engines) engine.close();
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
  if (!options.unconfigured) {
    await submitManifest(deployment, standIns);
    await waitForCapacity(deployment);
  }
  return deployment;
}

/** Waits until the engines' first load reports have arrived. */
async function waitForCapacity(deployment: TestDeployment): Promise<void> {
  const untilMs = Date.now() + CAPACITY_TIMEOUT_MS;
  while (Date.now() < untilMs) {
    const answer = await fetch(`http://${deployment.callers}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${TOKENS.lender}` },
      body: JSON.stringify({ model: MODEL, prompt: "Ready? [length=1]" }),
    });
    await answer.text();
    if (answer.ok) return;
  }
  throw new Error("No capacity");
}

/** The peers' secret of the deployment. */
export const PEER_SECRET = "peer-secret-of-a-test";

const IDENTITY = {
  id: asId<VmId>("vm-1"),
  dataCentre: asId<DataCentre>("helsinki-a"),
  region: asId<Region>("suomi-etela"),
};

type StandIns = Awaited<ReturnType<typeof startStandIns>>;

async function startStandIns(servers: Server[]) {
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
  const prefills = [new FakePrefillEngine(engineOptions("prefill-1"))];
  const decodes = [
    new FakeDecodeEngine(engineOptions("decode-1")),
    new FakeDecodeEngine(engineOptions("decode-2")),
  ];
  const engines = [...prefills, ...decodes];
  const addresses: string[] = [];
  for (const engine of engines) {
    const address = await freeAddress();
    engine.open();
    servers.push(await serveEngine(engine, listenOptions(address)));
    addresses.push(address);
  }
  const endpoints = engines.map((engine, at) => ({
    id: engine.id,
    kind: engine.role,
    address: addresses[at],
    model: MODEL,
    dataCentre: "helsinki-a",
  }));
  return {
    platform,
    platformFaults,
    platformAddress,
    service,
    decodes,
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
  standIns: StandIns,
): Promise<void> {
  const token = (name: keyof typeof TOKENS, caller: string, more = {}) => ({
    hash: digest(TOKENS[name]),
    caller,
    ...more,
  });
  const role = (name: keyof typeof TOKENS, more = {}) => ({
    hash: digest(TOKENS[name]),
    name,
    role: name,
    ...more,
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
    endpoints: standIns.endpoints,
    roles: [
      role("administrator"),
      role("operator", { workspaces: ["lenders"] }),
      role("reader"),
    ],
  };
  const answer = await fetch(`http://${deployment.admin}/admin/manifests`, {
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
  const text = await answer.text();
  if (answer.status > 202) throw new Error(`Manifest refused: ${text}`);
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
