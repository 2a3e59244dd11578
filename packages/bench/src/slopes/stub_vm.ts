/**
 * A VM with ports that answer immediately and store nothing, so that only the
 * VM's own cost is measured.
 */
import { seededRandom } from "@teaselvalve/fakes";
import {
  asId,
  type ListedVm,
  type PeerHandlers,
  type PlatformPort,
  SILENT_OBSERVER,
  SINGLE_ERA,
  Vm,
  type VmPorts,
} from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import { SAMPLE_MODEL, uuidOf, vmName } from "./samples.ts";

/** Answers of peers by method; calls of other methods fail as not sent. */
export type PeerAnswers = {
  readonly [Name in keyof PeerHandlers]?: (
    params: Parameters<PeerHandlers[Name]>[0],
  ) => unknown;
};

/** Options of {@link createStubVm}. */
export interface StubVmOptions {
  /** VMs on the platform's list; none by default. */
  listed?: readonly ListedVm[];
  peers?: PeerAnswers;
}

/** Answers of peers that accept and grant every summary. */
export const ACCEPTING_PEERS: PeerAnswers = {
  "summaries/register": () => ({ kind: "new" }),
  "suspects/admit": ({ run }) => ({ kind: "clear", run }),
  "suspects/end": () => null,
  "suspects/resume": () => null,
  "grants/progress": () => ({ known: true }),
  "summaries/find": () => ({ registration: null }),
  "summaries/alive": () => ({ incarnation: uuidOf(9_999) }),
  "grants/register": ({ grants }) => ({ registered: grants.length }),
  "grants/request": (request) => ({
    kind: "granted",
    grant: `${request.stream}-g`,
    prefill: `${SAMPLE_MODEL}-prefill-0`,
    decode: `${SAMPLE_MODEL}-decode-1`,
    startInMs: 0,
    cachedTokens: 0,
    memoryPieces: 100,
  }),
};

/** Creates a VM with stub ports, without starting it. */
export function createStubVm(options: StubVmOptions = {}): Vm {
  return new Vm({
    identity: {
      id: asId(vmName(9_999)),
      incarnation: asId(uuidOf(9_999)),
      dataCentre: asId("helsinki-0"),
      region: asId("suomi-0"),
      callerAddress: "10.4.255.1:7000",
      peerAddress: "10.4.255.1:7002",
    },
    ports: createStubPorts(options),
    observer: SILENT_OBSERVER,
    random: seededRandom(1),
  });
}

/**
 * Fills a VM's view from the platform's list. Throws if a listed VM is missing
 * from the view.
 */
export async function fillView(vm: Vm): Promise<void> {
  const listed = await vm.context.ports.platform.listVms();
  await vm.membership.seed();
  await vm.membership.start();
  vm.membership.stop();
  const missing = listed.unwrapOr([]).filter(({ id }) =>
    !vm.membership.member(id)
  );
  if (missing.length > 0) throw new Error(`${missing.length} VMs are missing`);
}

function createStubPorts(options: StubVmOptions): VmPorts {
  const { listed = [], peers = {} } = options;
  const pendingCalls: unknown[] = [];
  const attachment = { detach() {}, pause() {}, resume() {} };
  return {
    platform: createStubPlatform(listed),
    services: {
      // A call in flight is kept reachable by its connection; this list takes
      // that role.
      call: () => new Promise((resolve) => pendingCalls.push(resolve)),
    },
    engines: {
      prefill: () =>
        Promise.resolve(ok({
          cachedTokens: 0,
          sizeBytes: 800_000_000,
          memoryPieces: 100,
          keptMs: 800,
        })),
      start: (_endpoint, _order, { sink }) => {
        sink({ kind: "started" });
        sink({ kind: "tokens", offset: 0, texts: ["first"] });
        return attachment;
      },
      attach: () => attachment,
      cancel: () => Promise.resolve(ok(undefined)),
      report: () => Promise.resolve(err({ kind: "notSent" })),
      cacheEvents: () => Promise.resolve(ok([])),
      order: () => Promise.resolve(ok(undefined)),
    },
    peers: {
      call: async (_peer, method, { params }) => {
        const answer = peers[method] as
          | ((params: unknown) => unknown)
          | undefined;
        if (!answer) return err({ kind: "notSent" });
        return ok(await answer(params) as never);
      },
    },
  };
}

function createStubPlatform(listed: readonly ListedVm[]): PlatformPort {
  return {
    eras: SINGLE_ERA,
    transact: () => Promise.resolve(ok({ kind: "committed" })),
    read: () => Promise.resolve(ok(null)),
    scan: () => Promise.resolve(ok([])),
    putObject: () => Promise.resolve(ok(undefined)),
    getObject: () => Promise.resolve(ok(null)),
    listVms: () => Promise.resolve(ok(listed)),
  };
}
