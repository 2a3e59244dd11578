/** Streams one summary as a caller does. */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** What to ask for. */
export interface StreamSummaryOptions {
  /** A VM's address for callers. */
  address: string;
  token: string;
  key: string;
  model: string;
  prompt: string;
}

/** A summary that arrived whole. */
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

const ATTEMPTS = 10;

/** Streams a summary; comes back later where the refusal says so. */
export async function streamSummary(
  question: StreamSummaryOptions,
): Promise<StreamedSummary> {
  let refusal = "";
  for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
    const startedMs = performance.now();
    const answer = await ask(question);
    if (answer.statusCode === 200) return await read(answer.body, startedMs);
    refusal = await answer.body.text();
    const { verdict, retryAfterMs } = JSON.parse(refusal) as Problem;
    if (verdict !== "notRun" || retryAfterMs === undefined) break;
    await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
  }
  throw new Error(`Summary: ${refusal}`);
}

function ask(question: StreamSummaryOptions) {
  const { address, token, key, model, prompt } = question;
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
  let whole = false;
  const parser = createParser({
    onEvent({ data }) {
      if (data === "[DONE]") whole = true;
      else text += (JSON.parse(data) as Chunk).choices[0]!.text;
      events += 1;
    },
  });
  for await (const chunk of body) {
    firstMs ||= performance.now() - startedMs;
    parser.feed(String(chunk));
  }
  if (!whole) throw new Error("Summary: the stream ended early");
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
