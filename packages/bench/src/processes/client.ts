/** What callers and operators send to a deployment of true processes. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import {
  type DeployedVm,
  type Deployment,
  MODEL,
  SERVICE,
  waitForHttp,
} from "./deployment.ts";

/** What became of a request. */
export interface ClientResponse {
  /** 0 when no answer came. */
  readonly status: number;
  readonly text: string;
}

/** A summary as far as it was received. */
export interface ReceivedSummary {
  readonly status: number;
  /** Offset of the next token. */
  readonly offset: number;
  readonly text: string;
  /** True once the last event was received. */
  readonly complete: boolean;
  /** What came last that was no token, for instance a refusal. */
  readonly rest: string;
}

/** Options of {@link streamSummary}. */
export interface StreamOptions {
  key: string;
  tokens: number;
  /** Goes on where an earlier connection ended. */
  resumeFrom?: ReceivedSummary | undefined;
  /** Told of every event; true closes the connection. */
  onEvent?: (offset: number) => boolean | void;
}

/** Puts a manifest in force on all VMs that are named. */
export async function submitManifest(
  deployment: Deployment,
  options: { manifest: unknown; vms?: readonly DeployedVm[] },
): Promise<ClientResponse> {
  const { manifest, vms = deployment.vms } = options;
  const token = readFileSync(deployment.adminTokenFile, "utf8");
  const answer = await send(`http://${vms[0]!.admin}/admin/manifests`, {
    method: "POST",
    headers: { authorization: `Bearer ${token}` },
    body: JSON.stringify(manifest),
  });
  for (const vm of vms) await waitForHttp(`http://${vm.callers}/health/ready`);
  return answer;
}

/** Files a registration. */
export function submitFiling(
  deployment: Deployment,
  options: { address: string; key: string },
): Promise<ClientResponse> {
  return send(`http://${options.address}/v1/services/${SERVICE}/filings`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${deployment.callerToken}`,
      "content-type": "application/json",
      "idempotency-key": options.key,
    },
    body: JSON.stringify({ house: options.key }),
  });
}

/** Asks a VM for addresses. */
export async function fetchAddresses(address: string): Promise<string[]> {
  const { status, text } = await send(`http://${address}/v1/addresses`);
  if (status !== 200) return [];
  const { addresses } = JSON.parse(text) as {
    addresses: { address: string }[];
  };
  return addresses.map((one) => one.address);
}

/** Counts the runs of the plain service under one key. */
export async function countRuns(
  deployment: Deployment,
  key: string,
): Promise<number> {
  const { text } = await send(`http://${deployment.service}/runs`);
  const runs = JSON.parse(text) as { key: string }[];
  return runs.filter((run) => run.key.endsWith(key)).length;
}

/** Reads a summary until it ends, breaks or is closed. */
export async function streamSummary(
  deployment: Deployment,
  address: string,
  options: StreamOptions,
): Promise<ReceivedSummary> {
  const { resumeFrom: from } = options;
  let offset = from?.offset ?? 0;
  let text = from?.text ?? "";
  let complete = false;
  let status = 0;
  let rest = "";
  const received = () => ({ status, offset, text, complete, rest });
  try {
    const answer = await request(`http://${address}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "idempotency-key": options.key,
        ...(from ? { "last-event-id": String(from.offset) } : {}),
      },
      body: JSON.stringify({
        model: MODEL,
        prompt: `Summarise ${options.key} [length=${options.tokens}]`,
        max_tokens: options.tokens,
        stream: true,
      }),
    });
    status = answer.statusCode;
    let pending = "";
    for await (const chunk of answer.body) {
      pending += String(chunk);
      const events = pending.split("\n\n");
      pending = events.pop()!;
      rest = pending || rest;
      for (const event of events) {
        if (event.includes("[DONE]")) complete = true;
        const id = /^id: (\d+)$/m.exec(event);
        if (!id) {
          if (!event.includes("[DONE]")) rest = event;
          continue;
        }
        offset = Number(id[1]);
        const data = JSON.parse(/^data: (.*)$/m.exec(event)![1]!) as {
          choices: { text: string }[];
        };
        text += data.choices[0]!.text;
        if (options.onEvent?.(offset)) {
          answer.body.destroy();
          return received();
        }
      }
    }
  } catch {
    // A broken connection shows as a summary that is not complete.
  }
  return received();
}

/** Waits until a condition holds. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  limitMs: number,
): Promise<void> {
  const untilMs = performance.now() + limitMs;
  while (performance.now() < untilMs) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`Not so after ${limitMs} ms`);
}

/** Sets faults of the platform. */
export async function setPlatformFaults(
  deployment: Deployment,
  faults: { down?: boolean; delayMs?: number; loseReplies?: number },
): Promise<void> {
  await send(`http://${deployment.platform}/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

const POLL_INTERVAL_MS = 50;

interface SendOptions {
  method?: "GET" | "POST";
  headers?: Record<string, string>;
  body?: string;
}

async function send(
  url: string,
  options: SendOptions = {},
): Promise<ClientResponse> {
  try {
    const answer = await request(url, options);
    return { status: answer.statusCode, text: await answer.body.text() };
  } catch (error) {
    return { status: 0, text: String(error) };
  }
}
