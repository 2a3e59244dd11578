/** Formats responses and errors for the OpenAI-compatible API. */
import type { Refusal, SummaryRequest } from "@teaselvalve/core";
import { type ProblemBody, problemOf } from "../http/problem.ts";

const TOO_MANY_REQUESTS = 429;
const MIN_SERVER_ERROR_STATUS = 500;

/** The `error` object of an OpenAI-compatible response. */
export interface OpenAiError {
  readonly message: string;
  readonly type: string;
  readonly param: null;
  readonly code: string;
  /** Whether the request may have been executed. */
  readonly verdict: Refusal["kind"];
}

/** A problem document with an `error` object, for OpenAI clients. */
export interface CompletionProblem extends ProblemBody {
  readonly error: OpenAiError;
}

/** Builds the response body for a refusal. */
export function completionProblem(refusal: Refusal): CompletionProblem {
  const problem = problemOf(refusal);
  return {
    ...problem,
    error: {
      message: [problem.title, problem.detail].filter(Boolean).join(": "),
      type: errorType(problem.status),
      param: null,
      code: problem.reason,
      verdict: problem.verdict,
    },
  };
}

function errorType(status: number): string {
  if (status === 401) return "authentication_error";
  if (status === 403) return "permission_error";
  if (status === TOO_MANY_REQUESTS) return "rate_limit_error";
  return status >= MIN_SERVER_ERROR_STATUS
    ? "server_error"
    : "invalid_request_error";
}

/** Request data that every chunk or response repeats. */
export interface CompletionMetadata {
  request: SummaryRequest;
  chat: boolean;
  createdAtMs: number;
}

/** Formats the server-sent events of one response; the constant JSON is serialised once. */
export class ChunkFormatter {
  #prefix: string;
  #suffix: string;
  #metadata: CompletionMetadata;

  constructor(metadata: CompletionMetadata) {
    this.#metadata = metadata;
    const placeholder = "\u0000";
    const sample = JSON.stringify(
      chunk(metadata, { text: placeholder, finish: null }),
    );
    const [prefix, suffix] = sample.split(JSON.stringify(placeholder));
    this.#prefix = `data: ${prefix}`;
    this.#suffix = `${suffix}\n\n`;
  }

  /** Formats a token event; its id is the offset of the next token. */
  tokens(nextOffset: number, text: string): string {
    return `id: ${nextOffset}\n${this.#prefix}${
      JSON.stringify(text)
    }${this.#suffix}`;
  }

  /** Formats the final events of a complete response. */
  end(finish: "stop" | "length"): string {
    const last = JSON.stringify(chunk(this.#metadata, { text: "", finish }));
    return `data: ${last}\n\ndata: [DONE]\n\n`;
  }

  /** Formats the final event of a response that was cut off. */
  error(refusal: Refusal): string {
    const { error, ...problem } = completionProblem(refusal);
    const data = JSON.stringify({ error: { ...problem, ...error } });
    return `event: error\ndata: ${data}\n\n`;
  }
}

/** Builds the response body of a request without streaming. */
export function buildCompletion(
  metadata: CompletionMetadata,
  answer: { text: string; finish: "stop" | "length"; totalTokens: number },
) {
  const { text, finish, totalTokens } = answer;
  const content = metadata.chat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    ...envelope(
      metadata,
      metadata.chat ? "chat.completion" : "text_completion",
    ),
    choices: [{ index: 0, finish_reason: finish, ...content }],
    usage: { completion_tokens: totalTokens },
  };
}

function chunk(
  metadata: CompletionMetadata,
  options: { text: string; finish: "stop" | "length" | null },
) {
  const { text, finish } = options;
  const content = metadata.chat ? { delta: { content: text } } : { text };
  return {
    ...envelope(
      metadata,
      metadata.chat ? "chat.completion.chunk" : "text_completion",
    ),
    choices: [{ index: 0, finish_reason: finish, ...content }],
  };
}

function envelope(metadata: CompletionMetadata, object: string) {
  return {
    id: metadata.request.request,
    object,
    created: Math.floor(metadata.createdAtMs / 1_000),
    model: metadata.request.model,
  };
}
