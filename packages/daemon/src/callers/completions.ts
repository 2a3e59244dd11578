/** Handles OpenAI-compatible completions, streamed or as one response. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
  asId,
  type ModelName,
  notRun,
  type Refusal,
  type SummaryEvent,
  type SummaryHandle,
  type SummaryRequest,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type Exchange,
  header,
  parseJson,
  readBody,
  sendJson,
} from "../http/exchange.ts";
import type { CallerContext } from "./context.ts";
import { deadlineOf } from "./handler.ts";
import { checkModel } from "./models.ts";
import {
  buildCompletion,
  ChunkFormatter,
  type CompletionMetadata,
} from "./openai.ts";

const MAX_KEY_LENGTH = 200;
const OFFSET_PATTERN = /^\d{1,9}$/;
const DEFAULT_MAX_TOKENS = 1_024;

const Message = z.looseObject({ role: z.string(), content: z.string() });

const CompletionBody = z.looseObject({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(Message).optional(),
  max_tokens: z.number().int().min(1).max(100_000).optional(),
  stream: z.boolean().default(false),
});

type CompletionBody = z.infer<typeof CompletionBody>;

/** Handles `POST /v1/completions` and `POST /v1/chat/completions`. */
export async function handleCompletion(
  exchange: Exchange,
  context: CallerContext,
): Promise<void> {
  const { response } = exchange;
  const body = await readBody(exchange.incoming, context.bodyLimitBytes);
  const request = body.andThen(parseJson).andThen((json) =>
    toSummaryRequest(exchange, { json, context })
  );
  if (request.isErr()) return context.refuse(request.error);
  // The caller may have disconnected while its body was read.
  if (response.destroyed) return;
  const writer = new CompletionWriter(response, {
    metadata: {
      request: request.value.summary,
      chat: exchange.url.pathname.endsWith("chat/completions"),
      createdAtMs: Date.now(),
    },
    stream: request.value.stream,
    // The summary task has already counted the refusal.
    refuse: context.sendRefusal,
  });
  const handle = context.vm.gate.submitSummary(
    request.value.summary,
    (event) => writer.write(event),
  );
  writer.setHandle(handle);
  response.once("close", () => {
    if (!response.writableFinished) handle.cancel();
  });
}

interface CompletionRequest {
  readonly summary: SummaryRequest;
  readonly stream: boolean;
}

function toSummaryRequest(
  exchange: Exchange,
  options: { json: unknown; context: CallerContext },
): Result<CompletionRequest, Refusal> {
  const { json, context } = options;
  const { incoming } = exchange;
  const parsed = CompletionBody.safeParse(json);
  if (!parsed.success) return badRequest(z.prettifyError(parsed.error));
  const body = parsed.data;
  const modelRefusal = checkModel(body.model, context);
  if (modelRefusal) return err(modelRefusal);
  const prompt = body.prompt ?? chatPrompt(body);
  if (prompt === "") return badRequest("The prompt is empty");
  const key = header(incoming, "idempotency-key") ?? randomUUID();
  if (key === "" || key.length > MAX_KEY_LENGTH) {
    return badRequest(
      `The idempotency key is empty or over ${MAX_KEY_LENGTH}`,
    );
  }
  const lastEventId = header(incoming, "last-event-id") ?? "0";
  if (!OFFSET_PATTERN.test(lastEventId)) {
    return badRequest("Last-Event-ID is not an id of this interface");
  }
  const { deployment } = context.vm.configuration.current()!.bodies;
  const summary: SummaryRequest = {
    workspace: context.principal.workspace.id,
    caller: context.principal.caller,
    request: asId(key),
    model: asId<ModelName>(body.model),
    prompt,
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    fromOffset: body.stream ? Number(lastEventId) : 0,
    deadlineAtMs: deadlineOf(exchange, deployment.summaryTimeoutMs),
  };
  return ok({ summary, stream: body.stream });
}

function badRequest(detail: string): Result<never, Refusal> {
  return err(notRun("bad-request", { detail }));
}

function chatPrompt(body: CompletionBody): string {
  return (body.messages ?? [])
    .map((message) => `${message.role}: ${message.content}`)
    .join("\n");
}

interface WriterOptions {
  metadata: CompletionMetadata;
  stream: boolean;
  refuse: (refusal: Refusal) => void;
}

/** Writes summary events to the response; pauses the run while its buffer is full. */
export class CompletionWriter {
  #response: ServerResponse;
  #options: WriterOptions;
  #formatter: ChunkFormatter;
  #handle: SummaryHandle | undefined;
  #paused = false;
  #text = "";

  constructor(response: ServerResponse, options: WriterOptions) {
    this.#response = response;
    this.#options = options;
    this.#formatter = new ChunkFormatter(options.metadata);
  }

  /** Sets the run to pause while the response buffer is full. */
  setHandle(handle: SummaryHandle): void {
    this.#handle = handle;
    if (this.#paused) handle.pause();
  }

  /** Writes an event, or collects its text if the response is not streamed. */
  write(event: SummaryEvent): void {
    if (this.#options.stream) this.#writeStreamed(event);
    else this.#writeWhole(event);
  }

  #writeStreamed(event: SummaryEvent): void {
    const response = this.#response;
    if (event.kind === "refused" && !response.headersSent) {
      return this.#options.refuse(event.refusal);
    }
    if (!response.headersSent) this.#writeHead();
    switch (event.kind) {
      case "tokens": {
        const nextOffset = event.offset + event.texts.length;
        const text = event.texts.length === 1
          ? event.texts[0]!
          : event.texts.join("");
        const chunk = this.#formatter.tokens(nextOffset, text);
        if (!response.write(chunk)) this.#pause();
        return;
      }
      case "end":
        response.end(this.#formatter.end(event.finish));
        return;
      case "refused":
        response.end(this.#formatter.error(event.refusal));
    }
  }

  #writeHead(): void {
    // Chunked encoding takes a third of the time of writing a token. Without it,
    // `[DONE]` marks a complete response; a closed connection alone does not.
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "connection": "close",
      "idempotency-key": this.#options.metadata.request.request,
    });
  }

  #pause(): void {
    if (this.#paused) return;
    this.#paused = true;
    this.#handle?.pause();
    this.#response.once("drain", () => {
      this.#paused = false;
      this.#handle?.resume();
    });
  }

  #writeWhole(event: SummaryEvent): void {
    if (event.kind === "refused") return this.#options.refuse(event.refusal);
    if (event.kind === "tokens") {
      this.#text += event.texts.join("");
      return;
    }
    const { metadata } = this.#options;
    this.#response.setHeader("idempotency-key", metadata.request.request);
    const { finish, totalTokens } = event;
    sendJson(
      this.#response,
      buildCompletion(metadata, { text: this.#text, finish, totalTokens }),
    );
  }
}
