/** Bytes of messages, counted as they pass a socket on loopback, HTTP framing included. */
import {
  asId,
  type CallRow,
  type ConfigurationChange,
  type EnginePort,
  type Json,
  SILENT_OBSERVER,
} from "@teaselvalve/core";
import {
  createCallerHandler,
  createEnginePort,
  createKeptCaller,
} from "@teaselvalve/daemon";
import { FakePlatform, listenJson } from "@teaselvalve/fakes";
import { createAdoptingVm, snapshotText, weightChange } from "../adopt.ts";
import {
  BODY_LIMIT_BYTES,
  countBytes,
  peerBytes,
  platformBytes,
  TIMEOUT_MS,
  withHttpPart,
  withServer,
} from "../count_bytes.ts";
import { LETTER } from "../letter.ts";
import {
  sampleConfiguration,
  sampleEndpoints,
  sampleGrantRequest,
  sampleKey,
  sampleRegistration,
  sampleReport,
  sampleRun,
  sampleVms,
  sha256,
  uuidOf,
  vmName,
} from "../samples.ts";
import { fillView } from "../stub_vm.ts";
import type { Quantity } from "../types.ts";
import { createView } from "./processor.ts";
import { firstProbe } from "./state.ts";

const COUNTS = [5, 10, 20, 40];
const COUNTED = "bytes both ways through a relay on loopback, kept connection";

/** Quantities of bytes on the wire. */
export const WIRE_QUANTITIES: readonly Quantity[] = [
  wire("wire-probe", {
    per: "VM in views that agree, for a probe and its answer",
    sizes: [50, 100, 200, 400],
    measure: probeBytes,
  }),
  wire("wire-probe-news", {
    per: "item of news on a probe",
    sizes: [0, 1, 2, 3],
    measure: probeNewsBytes,
  }),
  wire("wire-grant", {
    per: "prefix block, for a grant asked and given",
    sizes: [0, 16, 32, 64],
    measure: (blocks) =>
      peerBytes("grants/request", (at) => sampleGrantRequest(at, blocks)),
  }),
  calls("wire-progress", {
    per: "message of a grant's progress",
    measure: () =>
      peerBytes("grants/progress", (at) => ({
        model: sampleGrantRequest(at).model,
        grant: asId(`${uuidOf(at)}-${at}`),
        key: sampleKey(at),
        progress: { kind: "ended", generatedTokens: 500 },
      })),
  }),
  calls("wire-registration", {
    per: "registration and its answer",
    measure: () =>
      peerBytes("summaries/register", (at) => ({
        registration: sampleRegistration(at),
        takeOver: false,
      })),
  }),
  calls("wire-admit", {
    per: "question whether a body may run",
    measure: () =>
      peerBytes("suspects/admit", (at) => ({
        run: sampleRun(at),
        known: null,
      })),
  }),
  calls("wire-run-end", {
    per: "message that a run ended",
    measure: () =>
      peerBytes("suspects/end", (at) => ({
        run: sampleRun(at),
        ending: { kind: "finished" },
      })),
  }),
  calls("wire-quota", {
    per: "question whether a workspace's quota lets requests in",
    measure: () =>
      peerBytes("quotas/draw", (at) => ({
        workspace: asId(`workspace-${at}`),
        incarnation: asId(uuidOf(at)),
        needs: [3_530],
        inFlight: 1,
      }), {}),
  }),
  calls("wire-notice", {
    per: "notice of a newer configuration",
    measure: () =>
      peerBytes("configuration/notice", () => ({
        version: 1,
        holder: { id: asId(vmName(1)), peerAddress: "10.4.0.1:7002" },
      })),
  }),
  wire("wire-change", {
    per: "changed workspace, for a change fetched from a peer",
    sizes: [1, 2, 4, 8],
    measure: changeBytes,
  }),
  wire("wire-snapshot", {
    per: "workspace, for a snapshot fetched from a peer",
    sizes: [725, 1_450, 2_900, 5_800],
    measure: snapshotBytes,
  }),
  wire("wire-report", {
    per: "run that a load report lists",
    sizes: [16, 32, 64, 128],
    measure: reportBytes,
  }),
  wire("wire-claim", {
    per: "claim of a transaction",
    sizes: [1, 2, 4, 8],
    measure: claimBytes,
  }),
  calls("wire-head-poll", {
    per: "read of the configuration's head",
    measure: headPollBytes,
  }),
  wire("wire-vm-list", {
    per: "VM on the platform's list, for one read of it",
    sizes: [50, 100, 200, 400],
    measure: vmListBytes,
  }),
  wire("wire-convictions", {
    per: "conviction, for one scan of them",
    sizes: [0, 10, 20, 40],
    measure: convictionsBytes,
  }),
  wire("wire-address", {
    per: "VM in the view, for one address answer",
    sizes: [50, 100, 200, 400],
    measure: addressBytes,
  }),
];

function wire(
  name: string,
  options: Pick<Quantity, "per" | "sizes" | "measure">,
): Quantity {
  return { name, unit: "bytes", method: COUNTED, ...options };
}

/** A message of one size; what grows is how many are sent. */
function calls(
  name: string,
  options: { per: string; measure: () => Promise<number> },
): Quantity {
  return wire(name, {
    per: options.per,
    sizes: COUNTS,
    measure: async (count) => count * await options.measure(),
  });
}

async function probeBytes(vms: number): Promise<number> {
  const vm = await createView(vms);
  const [from] = sampleVms(1);
  const { viewHash } = vm.membership.answerProbe(firstProbe(from!.id));
  const probe = { ...firstProbe(from!.id), viewHash };
  return await peerBytes("membership/probe", () => probe, vm.peerHandlers);
}

async function probeNewsBytes(items: number): Promise<number> {
  const vm = await createView(10);
  const [from, ...others] = sampleVms(items + 1);
  const { viewHash } = vm.membership.answerProbe(firstProbe(from!.id));
  const news = others.map(({ id }) => ({
    id,
    incarnation: firstProbe(id).incarnation,
    statusVersion: 0,
    state: "live" as const,
  }));
  const probe = { ...firstProbe(from!.id), viewHash, news };
  return await peerBytes("membership/probe", () => probe, vm.peerHandlers);
}

async function changeBytes(changed: number): Promise<number> {
  const held = sampleConfiguration({ workspaces: 100, models: 1 });
  const change: ConfigurationChange = weightChange(held, changed);
  return await peerBytes("configuration/fetch", () => ({ after: 1 }), {
    "configuration/fetch": () => ({
      kind: "changes",
      changes: [change],
      more: false,
    }),
  });
}

async function snapshotBytes(workspaces: number): Promise<number> {
  const configuration = sampleConfiguration({
    workspaces,
    models: LETTER.models,
  });
  return await peerBytes("configuration/fetch", () => ({ after: 0 }), {
    "configuration/fetch": () => ({ kind: "snapshot", configuration }),
  });
}

async function reportBytes(runs: number): Promise<number> {
  const endpoint = sampleEndpoints(2)[1]!;
  const report = sampleReport(endpoint, runs);
  const server = await listenJson(() => ({ status: 200, body: report }), {
    host: "127.0.0.1",
    port: 0,
  });
  const port: EnginePort = createEnginePort();
  return await withServer(server, (relayed) => async () => {
    const answer = await port.report({ id: endpoint.id, address: relayed }, {
      timeoutMs: TIMEOUT_MS,
    });
    if (answer.isErr()) throw new Error(answer.error.kind);
  });
}

/** The row of a claimed call. */
export function sampleClaim(at: number): CallRow {
  return {
    key: sampleKey(at),
    caller: asId(`caller-${at}`),
    bodyDigest: sha256(`body-${at}`),
    attempt: 1,
    expiresAtMs: 1_800_000_000_000,
    claim: {
      vm: asId(vmName(at % LETTER.nodes)),
      incarnation: asId(uuidOf(at % LETTER.nodes)),
      token: uuidOf(at),
      claimedAtMs: 1_800_000_000_000,
    },
    writeToken: uuidOf(at),
    state: { kind: "claimed" },
  };
}

/** The writes that claim so many calls. */
export function sampleClaims(first: number, count: number) {
  return Array.from({ length: count }, (_, at) => ({
    table: "calls",
    key: sampleKey(first + at),
    expect: { kind: "absent" } as const,
    value: sampleClaim(first + at) as unknown as Json,
  }));
}

function claimBytes(rows: number): Promise<number> {
  return platformBytes(
    new FakePlatform(),
    (port, at) => port.transact(sampleClaims(at * rows, rows)),
  );
}

function headPollBytes(): Promise<number> {
  const platform = new FakePlatform();
  const held = sampleConfiguration({ workspaces: 10, models: 1 });
  const { head } = weightChange(held, 1);
  platform.transact([{
    table: "configuration",
    key: "head",
    expect: { kind: "any" },
    value: head as unknown as Json,
  }]);
  return platformBytes(platform, (port) => port.read("configuration", "head"));
}

async function vmListBytes(vms: number): Promise<number> {
  const platform = new FakePlatform({ listLagMs: -1_000 });
  for (const vm of sampleVms(vms)) platform.upsertListedVm(vm);
  return await platformBytes(platform, (port) => port.listVms());
}

function convictionsBytes(count: number): Promise<number> {
  const platform = new FakePlatform();
  for (let at = 0; at < count; at += 1) {
    const hash = sha256(`body-${at}`);
    platform.transact([{
      table: "convictions",
      key: hash,
      expect: { kind: "any" },
      value: { hash, untilMs: 1_800_000_000_000 },
    }]);
  }
  return platformBytes(
    platform,
    (port) => port.scan("convictions", "", { limit: 500 }),
  );
}

async function addressBytes(vms: number): Promise<number> {
  const { vm, adoptSnapshot } = createAdoptingVm({ listed: sampleVms(vms) });
  await adoptSnapshot(snapshotText({ workspaces: 1, models: 1 }));
  await fillView(vm);
  // A VM that was only listed is not told to callers.
  for (const { id } of sampleVms(vms)) {
    vm.membership.answerProbe(firstProbe(id));
  }
  const handle = createCallerHandler({
    vm,
    observer: SILENT_OBSERVER,
    bodyLimitBytes: BODY_LIMIT_BYTES,
  });
  const caller = createKeptCaller();
  return await withHttpPart(handle, (address) =>
    countBytes(address, {
      connect: (relayed) => async () => {
        const answer = await caller.call({
          method: "GET",
          address: relayed,
          path: "/v1/addresses?data_centre=helsinki-0",
          timeoutMs: TIMEOUT_MS,
        });
        if (answer.isErr()) throw new Error(answer.error.kind);
      },
    }));
}
