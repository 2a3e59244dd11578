/** Bytes of messages, counted on a loopback socket and including HTTP framing. */
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
  createKeepAliveClient,
} from "@teaselvalve/daemon";
import { FakePlatform, listenJson } from "@teaselvalve/fakes";
import {
  createConfigurableVm,
  snapshotText,
  weightChange,
} from "../configurable_vm.ts";
import {
  BODY_LIMIT_BYTES,
  countBytes,
  peerBytes,
  platformBytes,
  serverBytes,
  TIMEOUT_MS,
  withHttpComponent,
} from "../count_bytes.ts";
import { TARGET_SIZE } from "../target_size.ts";
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
import { createVmWithView } from "./processor.ts";
import { firstProbe } from "./state.ts";

const MESSAGE_COUNTS = [5, 10, 20, 40];
const RELAYED_BYTES =
  "bytes in both directions through a loopback relay, keep-alive connection";

/** Quantities of bytes that messages take on the wire. */
export const WIRE_QUANTITIES: readonly Quantity[] = [
  wireQuantity("wire-probe", {
    per: "VM in identical views, for a probe and its answer",
    sizes: [50, 100, 200, 400],
    measure: probeBytes,
  }),
  wireQuantity("wire-probe-news", {
    per: "membership update in a probe",
    sizes: [0, 1, 2, 3],
    measure: probeUpdatesBytes,
  }),
  wireQuantity("wire-grant", {
    per: "prefix block, for a grant request and its answer",
    sizes: [0, 16, 32, 64],
    measure: (blocks) =>
      peerBytes("grants/request", (index) => sampleGrantRequest(index, blocks)),
  }),
  perMessageQuantity("wire-progress", {
    per: "progress message of a grant",
    measure: () =>
      peerBytes("grants/progress", (index) => ({
        model: sampleGrantRequest(index).model,
        grant: asId(`${uuidOf(index)}-${index}`),
        key: sampleKey(index),
        progress: { kind: "ended", generatedTokens: 500 },
      })),
  }),
  perMessageQuantity("wire-registration", {
    per: "registration and its answer",
    measure: () =>
      peerBytes("summaries/register", (index) => ({
        registration: sampleRegistration(index),
        takeOver: false,
      })),
  }),
  perMessageQuantity("wire-admit", {
    per: "request to admit a run of a request body",
    measure: () =>
      peerBytes("suspects/admit", (index) => ({
        run: sampleRun(index),
        known: null,
      })),
  }),
  perMessageQuantity("wire-run-end", {
    per: "notice that a run ended",
    measure: () =>
      peerBytes("suspects/end", (index) => ({
        run: sampleRun(index),
        ending: { kind: "finished" },
      })),
  }),
  perMessageQuantity("wire-quota", {
    per: "draw from a workspace's quota",
    measure: () =>
      peerBytes("quotas/draw", (index) => ({
        workspace: asId(`workspace-${index}`),
        incarnation: asId(uuidOf(index)),
        needs: [3_530],
        inFlight: 1,
      }), {}),
  }),
  perMessageQuantity("wire-notice", {
    per: "notice of a newer configuration",
    measure: () =>
      peerBytes("configuration/notice", () => ({
        version: 1,
        holder: { id: asId(vmName(1)), peerAddress: "10.4.0.1:7002" },
      })),
  }),
  wireQuantity("wire-change", {
    per: "changed workspace, for a change fetched from a peer",
    sizes: [1, 2, 4, 8],
    measure: changeBytes,
  }),
  wireQuantity("wire-snapshot", {
    per: "workspace, for a snapshot fetched from a peer",
    sizes: [725, 1_450, 2_900, 5_800],
    measure: snapshotBytes,
  }),
  wireQuantity("wire-report", {
    per: "run in a load report",
    sizes: [16, 32, 64, 128],
    measure: reportBytes,
  }),
  wireQuantity("wire-claim", {
    per: "claim in a transaction",
    sizes: [1, 2, 4, 8],
    measure: claimBytes,
  }),
  perMessageQuantity("wire-head-poll", {
    per: "read of the configuration's head",
    measure: headPollBytes,
  }),
  wireQuantity("wire-vm-list", {
    per: "VM on the platform's list, for one read of the list",
    sizes: [50, 100, 200, 400],
    measure: vmListBytes,
  }),
  wireQuantity("wire-convictions", {
    per: "quarantined request body, for one scan of the table",
    sizes: [0, 10, 20, 40],
    measure: quarantinesBytes,
  }),
  wireQuantity("wire-address", {
    per: "VM in the view, for one list of addresses",
    sizes: [50, 100, 200, 400],
    measure: addressBytes,
  }),
];

function wireQuantity(
  name: string,
  options: Pick<Quantity, "per" | "sizes" | "measure">,
): Quantity {
  return { name, unit: "bytes", method: RELAYED_BYTES, ...options };
}

/**
 * A quantity of a message of fixed size: the size axis is the number of
 * messages.
 */
function perMessageQuantity(
  name: string,
  options: { per: string; measure: () => Promise<number> },
): Quantity {
  return wireQuantity(name, {
    per: options.per,
    sizes: MESSAGE_COUNTS,
    measure: async (count) => count * await options.measure(),
  });
}

async function probeBytes(vms: number): Promise<number> {
  const vm = await createVmWithView(vms);
  const [from] = sampleVms(1);
  const { viewHash } = vm.membership.answerProbe(firstProbe(from!.id));
  const probe = { ...firstProbe(from!.id), viewHash };
  return await peerBytes("membership/probe", () => probe, vm.peerHandlers);
}

async function probeUpdatesBytes(items: number): Promise<number> {
  const vm = await createVmWithView(10);
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
  const configuration = sampleConfiguration({ workspaces: 100, models: 1 });
  const change: ConfigurationChange = weightChange(configuration, changed);
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
    models: TARGET_SIZE.models,
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
  return await serverBytes(server, (address) => async () => {
    const answer = await port.report({ id: endpoint.id, address }, {
      timeoutMs: TIMEOUT_MS,
    });
    if (answer.isErr()) throw new Error(answer.error.kind);
  });
}

/** Creates the row of a claimed call. */
export function sampleClaim(index: number): CallRow {
  return {
    key: sampleKey(index),
    caller: asId(`caller-${index}`),
    bodyDigest: sha256(`body-${index}`),
    attempt: 1,
    expiresAtMs: 1_800_000_000_000,
    claim: {
      vm: asId(vmName(index % TARGET_SIZE.vms)),
      incarnation: asId(uuidOf(index % TARGET_SIZE.vms)),
      token: uuidOf(index),
      claimedAtMs: 1_800_000_000_000,
    },
    writeToken: uuidOf(index),
    state: { kind: "claimed" },
  };
}

/** Creates the writes that claim `count` calls in one transaction. */
export function sampleClaims(first: number, count: number) {
  return Array.from({ length: count }, (_, index) => ({
    table: "calls",
    key: sampleKey(first + index),
    expect: { kind: "absent" } as const,
    value: sampleClaim(first + index) as unknown as Json,
  }));
}

function claimBytes(rows: number): Promise<number> {
  return platformBytes(
    new FakePlatform(),
    (port, index) => port.transact(sampleClaims(index * rows, rows)),
  );
}

function headPollBytes(): Promise<number> {
  const platform = new FakePlatform();
  const configuration = sampleConfiguration({ workspaces: 10, models: 1 });
  const { head } = weightChange(configuration, 1);
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

function quarantinesBytes(count: number): Promise<number> {
  const platform = new FakePlatform();
  for (let index = 0; index < count; index += 1) {
    const hash = sha256(`body-${index}`);
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
  const { vm, activateSnapshot } = createConfigurableVm({
    listed: sampleVms(vms),
  });
  await activateSnapshot(snapshotText({ workspaces: 1, models: 1 }));
  await fillView(vm);
  // Callers do not get the addresses of VMs that are only listed.
  for (const { id } of sampleVms(vms)) {
    vm.membership.answerProbe(firstProbe(id));
  }
  const handle = createCallerHandler({
    vm,
    observer: SILENT_OBSERVER,
    bodyLimitBytes: BODY_LIMIT_BYTES,
  });
  const caller = createKeepAliveClient();
  return await withHttpComponent(handle, (address) =>
    countBytes(address, {
      connect: (relayAddress) => async () => {
        const answer = await caller.call({
          method: "GET",
          address: relayAddress,
          path: "/v1/addresses?data_centre=helsinki-0",
          timeoutMs: TIMEOUT_MS,
        });
        if (answer.isErr()) throw new Error(answer.error.kind);
      },
    }));
}
