/** Requests of callers and operators to a deployment of real processes. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import {
  type DeployedVm,
  type Deployment,
  MODEL,
  SERVICE,
  waitForHttp,
} from "./deployment.ts";

/** Response to a request. */
export interface ClientResponse {
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  /** Body, or the connection error when there was no response. */
  readonly text: string;
}

/** The part of a summary that was received. */
export interface ReceivedSummary {
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  /** Offset of the next token. */
  readonly offset: number;
  readonly text: string;
  /** True once the closing `[DONE]` event was received. */
  readonly complete: boolean;
  /** Last data received that was not a token, for instance a refusal. */
  readonly lastNonToken: string;
}

/** Options of {@link streamSummary}. */
export interface StreamOptions {
  /** Idempotency key. */
  key: string;
  /** Length of the summary. */
  tokens: number;
  /** Summary of an earlier connection, to resume after its last token. */
  resumeFrom?: ReceivedSummary | undefined;
  /** Called with the offset after each token; true closes the connection. */
  onEvent?: (offset: number) => boolean | void;
}

/**
 * Submits a manifest to the first of the given VMs (by default all) and waits until
 * each of them is ready.
 */
export async function submitManifest(
  deployment: Deployment,
  options: { manifest: unknown; vms?: readonly DeployedVm[] },
): Promise<ClientResponse> {
  const { manifest, vms = deployment.vms } = options;
  const token = readFileSync(deployment.adminTokenFile, "utf8");
  const response = await send(`http://${vms[0]!.admin}/admin/manifests`, {
    method: "POST",
    headers: { authorization: `Bearer ${token}` },
    body: JSON.stringify(manifest),
  });
  for (const vm of vms) await waitForHttp(`http://${vm.callers}/health/ready`);
  return response;
}

/** Submits a filing to the plain service through the VM at an address. */
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

/** Fetches the caller addresses that a VM lists; none if it refuses. */
export async function fetchAddresses(address: string): Promise<string[]> {
  const { status, text } = await send(`http://${address}/v1/addresses`);
  if (status !== 200) return [];
  const { addresses } = JSON.parse(text) as {
    addresses: { address: string }[];
  };
  return addresses.map((entry) => entry.address);
}

/** Counts the runs of the plain service whose key ends with `key`. */
export async function countRuns(
  deployment: Deployment,
  key: string,
): Promise<number> {
  const { text } = await send(`http://${deployment.service}/runs`);
  const runs = JSON.parse(text) as { key: string }[];
  return runs.filter((run) => run.key.endsWith(key)).length;
}

/**
 * Requests a summary and reads it until it ends, the connection breaks or `onEvent`
 * closes it.
 */
export async function streamSummary(
  deployment: Deployment,
  address: string,
  options: StreamOptions,
): Promise<ReceivedSummary> {
  const { resumeFrom } = options;
  let offset = resumeFrom?.offset ?? 0;
  let text = resumeFrom?.text ?? "";
  let complete = false;
  let status = 0;
  let lastNonToken = "";
  const received = () => ({ status, offset, text, complete, lastNonToken });
  try {
    const response = await request(`http://${address}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "idempotency-key": options.key,
        ...(resumeFrom ? { "last-event-id": String(resumeFrom.offset) } : {}),
      },
      body: JSON.stringify({
        model: MODEL,
        prompt: `Summarise ${options.key} [length=${options.tokens}]`,
        max_tokens: options.tokens,
        stream: true,
      }),
    });
    status = response.statusCode;
    let pending = "";
    for await (const chunk of response.body) {
      pending += String(chunk);
      const events = pending.split("\n\n");
      pending = events.pop()!;
      lastNonToken = pending || lastNonToken;
      for (const event of events) {
        if (event.includes("[DONE]")) complete = true;
        const id = /^id: (\d+)$/m.exec(event);
        if (!id) {
          if (!event.includes("[DONE]")) lastNonToken = event;
          continue;
        }
        offset = Number(id[1]);
        const data = JSON.parse(/^data: (.*)$/m.exec(event)![1]!) as {
          choices: { text: string }[];
        };
        text += data.choices[0]!.text;
        if (options.onEvent?.(offset)) {
          response.body.destroy();
          return received();
        }
      }
    }
  } catch {
    // A broken connection is reported as an incomplete summary.
  }
  return received();
}

/** Polls until a condition holds; throws after `limitMs`. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  limitMs: number,
): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`Condition not met within ${limitMs} ms`);
}

/** Sets the faults that the fake platform injects. */
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
    const response = await request(url, options);
    return { status: response.statusCode, text: await response.body.text() };
  } catch (error) {
    return { status: 0, text: String(error) };
  }
}
