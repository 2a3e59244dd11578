/** Summaries on the OpenAI-compatible interface, streamed or as one answer. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
  asId,
  type ModelName,
  notRun,
  type SummaryEvent,
  type SummaryRequest,
} from "@teaselvalve/core";
import { z } from "zod";
import {
  type Exchange,
  header,
  parseJson,
  readBody,
  sendJson,
} from "../http/exchange.ts";
import { problemOf } from "../http/problem.ts";
import type { CallerContext } from "./context.ts";
import { deadlineOf } from "./handler.ts";
import { checkModel } from "./models.ts";

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

/** Answers `POST /v1/completions` and `POST /v1/chat/completions`. */
export async function handleCompletion(
  exchange: Exchange,
  context: CallerContext,
): Promise<void> {
  const body = await readBody(exchange.incoming, context.bodyLimitBytes);
  const json = body.andThen(parseJson);
  if (json.isErr()) return context.refuse(json.error);
  const parsed = CompletionBody.safeParse(json.value);
  if (!parsed.success) {
    const detail = z.prettifyError(parsed.error);
    return context.refuse(notRun("bad-request", { detail }));
  }
  const modelRefusal = checkModel(parsed.data.model, context);
  if (modelRefusal) return context.refuse(modelRefusal);
  const request = toSummaryRequest(exchange, {
    body: parsed.data,
    context,
  });
  const writer = new CompletionWriter(exchange.response, {
    request,
    chat: exchange.url.pathname.endsWith("chat/completions"),
    stream: parsed.data.stream,
    refuse: context.refuse,
  });
  const handle = context.vm.summaries.submit(
    request,
    (event) => writer.write(event),
  );
  exchange.response.once("close", () => {
    if (!exchange.response.writableFinished) handle.cancel();
  });
}

function toSummaryRequest(
  exchange: Exchange,
  options: { body: CompletionBody; context: CallerContext },
): SummaryRequest {
  const { body, context } = options;
  const { incoming } = exchange;
  const lastId = Number(header(incoming, "last-event-id"));
  const { deployment } = context.vm.configuration.current()!.bodies;
  return {
    workspace: context.principal.workspace.id,
    caller: context.principal.caller,
    request: asId(header(incoming, "idempotency-key") ?? randomUUID()),
    model: asId<ModelName>(body.model),
    prompt: body.prompt ?? chatPrompt(body),
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    fromOffset: Number.isInteger(lastId) && lastId > 0 ? lastId : 0,
    deadlineAtMs: deadlineOf(exchange, deployment.summaryTimeoutMs),
  };
}

function chatPrompt(body: CompletionBody): string {
  return (body.messages ?? [])
    .map((message) => `${message.role}: ${message.content}`)
    .join("\n");
}

interface WriterOptions {
  request: SummaryRequest;
  chat: boolean;
  stream: boolean;
  refuse: CallerContext["refuse"];
}

/** Writes a summary's events in the OpenAI-compatible form. */
class CompletionWriter {
  #response: ServerResponse;
  #options: WriterOptions;
  #text = "";

  constructor(response: ServerResponse, options: WriterOptions) {
    this.#response = response;
    this.#options = options;
  }

  write(event: SummaryEvent): void {
    if (this.#options.stream) this.#writeStreamed(event);
    else this.#writeWhole(event);
  }

  #writeStreamed(event: SummaryEvent): void {
    const response = this.#response;
    if (event.kind === "refused") {
      if (!response.headersSent) return this.#options.refuse(event.refusal);
      const problem = JSON.stringify({ error: problemOf(event.refusal) });
      response.end(`event: error\ndata: ${problem}\n\n`);
      return;
    }
    if (!response.headersSent) {
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "idempotency-key": this.#options.request.request,
      });
    }
    if (event.kind === "end") {
      const chunk = JSON.stringify(this.#chunk("", event.finish));
      response.end(`data: ${chunk}\n\ndata: [DONE]\n\n`);
      return;
    }
    // The id is the offset of the token after this event, so that Last-Event-ID resumes there.
    const id = event.offset + event.texts.length;
    const chunk = JSON.stringify(this.#chunk(event.texts.join(""), null));
    response.write(`id: ${id}\ndata: ${chunk}\n\n`);
  }

  #writeWhole(event: SummaryEvent): void {
    if (event.kind === "refused") return this.#options.refuse(event.refusal);
    if (event.kind === "tokens") {
      this.#text += event.texts.join("");
      return;
    }
    this.#response.setHeader("idempotency-key", this.#options.request.request);
    sendJson(this.#response, {
      ...this.#envelope(
        this.#options.chat ? "chat.completion" : "text_completion",
      ),
      choices: [{
        index: 0,
        finish_reason: event.finish,
        ...(this.#options.chat
          ? { message: { role: "assistant", content: this.#text } }
          : { text: this.#text }),
      }],
      usage: { completion_tokens: event.totalTokens },
    });
  }

  #chunk(text: string, finish: string | null) {
    return {
      ...this.#envelope(
        this.#options.chat ? "chat.completion.chunk" : "text_completion",
      ),
      choices: [{
        index: 0,
        finish_reason: finish,
        ...(this.#options.chat ? { delta: { content: text } } : { text }),
      }],
    };
  }

  #envelope(object: string) {
    return {
      id: this.#options.request.request,
      object,
      model: this.#options.request.model,
    };
  }
}
