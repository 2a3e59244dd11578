/** Caller that streams one summary. */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** Options of {@link streamSummary}. */
export interface StreamSummaryOptions {
  /** `host:port` at which a VM accepts callers. */
  address: string;
  token: string;
  key: string;
  model: string;
  prompt: string;
}

/** A complete summary; times are counted from the start of the last attempt. */
export interface StreamedSummary {
  readonly text: string;
  readonly events: number;
  readonly firstChunkMs: number;
  readonly totalMs: number;
}

interface Problem {
  readonly verdict?: string;
  readonly retryAfterMs?: number;
}

const MAX_ATTEMPTS = 10;

/** Streams a summary and retries refusals that name a delay; throws if it fails or ends early. */
export async function streamSummary(
  options: StreamSummaryOptions,
): Promise<StreamedSummary> {
  let refusal = "";
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const startedMs = performance.now();
    const answer = await requestSummary(options);
    if (answer.statusCode === 200) return await read(answer.body, startedMs);
    refusal = await answer.body.text();
    const { verdict, retryAfterMs } = JSON.parse(refusal) as Problem;
    if (verdict !== "notRun" || retryAfterMs === undefined) break;
    await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
  }
  throw new Error(`Summary: ${refusal}`);
}

function requestSummary(options: StreamSummaryOptions) {
  const { address, token, key, model, prompt } = options;
  return request(`http://${address}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${token}`, "idempotency-key": key },
    body: JSON.stringify({ model, prompt, stream: true }),
  });
}

async function read(
  body: AsyncIterable<unknown>,
  startedMs: number,
): Promise<StreamedSummary> {
  let text = "";
  let events = 0;
  let firstMs = 0;
  let complete = false;
  const parser = createParser({
    onEvent({ data }) {
      if (data === "[DONE]") complete = true;
      else text += (JSON.parse(data) as Chunk).choices[0]!.text;
      events += 1;
    },
  });
  for await (const chunk of body) {
    firstMs ||= performance.now() - startedMs;
    parser.feed(String(chunk));
  }
  if (!complete) throw new Error("Summary: the stream ended early");
  return {
    text,
    events,
    firstChunkMs: firstMs,
    totalMs: performance.now() - startedMs,
  };
}

interface Chunk {
  readonly choices: readonly { readonly text: string }[];
}
