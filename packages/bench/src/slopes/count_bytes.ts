/**
 * Counts the bytes that the daemon's clients and servers exchange through a
 * relay.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  type PeerHandlers,
  type PeerPort,
  type PlatformPort,
  SILENT_OBSERVER,
} from "@teaselvalve/core";
import {
  createHttpComponent,
  createPeerHandler,
  createPeerPort,
  createPlatformPort,
  type HttpComponentOptions,
  type Limits,
} from "@teaselvalve/daemon";
import {
  type FakePlatform,
  noPlatformFaults,
  servePlatform,
} from "@teaselvalve/fakes";
import { freePorts } from "../processes/process_group.ts";
import { CountingRelay } from "./counting_relay.ts";
import { vmName } from "./samples.ts";
import { ACCEPTING_PEERS, createStubVm } from "./stub_vm.ts";

const SECRET = "a secret of thirty-two letters..";
/** Maximum body size at the served interfaces. */
export const BODY_LIMIT_BYTES = 64 * 1_048_576;
/** Timeout of one call. */
export const TIMEOUT_MS = 10_000;
const LIMITS: Limits = {
  bodyBytes: BODY_LIMIT_BYTES,
  headerBytes: 16_384,
  headerCount: 100,
  connections: 100,
  idleMs: 30_000,
  headersMs: 10_000,
  requestMs: 60_000,
  slowReaderMs: 15_000,
  stopTimeoutMs: 1_000,
};
const OPERATIONS = 20;

/**
 * Counts the mean bytes of one operation, leaving out the first on the
 * connection.
 */
export async function countBytes(
  target: string,
  options: {
    connect: (address: string) => (index: number) => Promise<void>;
  },
): Promise<number> {
  const relay = await CountingRelay.open(target);
  const operate = options.connect(relay.address);
  try {
    await operate(0);
    const before = relay.relayedBytes;
    for (let index = 1; index <= OPERATIONS; index += 1) await operate(index);
    return (relay.relayedBytes - before) / OPERATIONS;
  } finally {
    relay.close();
  }
}

/** Counts the mean bytes of one call to a peer and its answer. */
export async function peerBytes<Name extends keyof PeerHandlers>(
  method: Name,
  paramsOf: (index: number) => Parameters<PeerHandlers[Name]>[0],
  handlers: Partial<PeerHandlers> = ACCEPTING_PEERS as Partial<PeerHandlers>,
): Promise<number> {
  const handlersOfVm = createStubVm().peerHandlers;
  const handle = createPeerHandler({
    handlers: { ...handlersOfVm, ...handlers },
    secret: SECRET,
    bodyLimitBytes: BODY_LIMIT_BYTES,
  });
  return await withHttpComponent(handle, (address) =>
    countBytes(address, {
      connect: (relayAddress) => {
        const peers = createClient();
        return async (index) => {
          const answer = await peers.call(
            { id: vmName(1), peerAddress: relayAddress },
            method,
            { params: paramsOf(index) as never, timeoutMs: TIMEOUT_MS },
          );
          if (answer.isErr()) throw new Error(answer.error.kind);
        };
      },
    }));
}

function createClient(): PeerPort {
  return createPeerPort({
    secret: SECRET,
    self: {
      peerAddress: "nowhere:0",
      handlers: () => {
        throw new Error("Unexpected call to the calling VM itself");
      },
    },
  });
}

/** Serves one of the daemon's HTTP interfaces while `use` runs. */
export async function withHttpComponent(
  handle: HttpComponentOptions["handle"],
  use: (address: string) => Promise<number>,
): Promise<number> {
  const [port] = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  const component = createHttpComponent({
    name: "peers",
    address,
    handle,
    observer: SILENT_OBSERVER,
    limits: LIMITS,
    requestLogLevel: "debug",
  });
  await component.start();
  try {
    return await use(address);
  } finally {
    void component.stop();
  }
}

/**
 * Counts the mean bytes of one operation at a fake server, then closes the
 * server.
 */
export async function serverBytes(
  server: Server,
  connect: (relayAddress: string) => (index: number) => Promise<void>,
): Promise<number> {
  const { port } = server.address() as AddressInfo;
  try {
    return await countBytes(`127.0.0.1:${port}`, { connect });
  } finally {
    server.close();
  }
}

/** Counts the mean bytes of one operation at the platform. */
export async function platformBytes(
  platform: FakePlatform,
  operate: (port: PlatformPort, index: number) => Promise<{ isErr(): boolean }>,
): Promise<number> {
  const server = await servePlatform(platform, {
    host: "127.0.0.1",
    port: 0,
    faults: noPlatformFaults(),
  });
  return await serverBytes(server, (address) => {
    const port = createPlatformPort({ address, timeoutMs: TIMEOUT_MS });
    return async (index) => {
      const answer = await operate(port, index);
      if (answer.isErr()) throw new Error("The platform did not answer");
    };
  });
}
