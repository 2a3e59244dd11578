/** The OpenAI-compatible form of answers and errors. */
import type { Refusal, SummaryRequest } from "@teaselvalve/core";
import { type ProblemBody, problemOf } from "../http/problem.ts";

const TOO_MANY_REQUESTS = 429;
const SERVER_ERRORS_FROM = 500;

/** An error as OpenAI's clients read it. */
export interface OpenAiError {
  readonly message: string;
  readonly type: string;
  readonly param: null;
  readonly code: string;
  /** Whether the request may have run. */
  readonly verdict: Refusal["kind"];
}

/** A refusal that both readers of problem documents and OpenAI's clients understand. */
export interface CompletionProblem extends ProblemBody {
  readonly error: OpenAiError;
}

/** Builds the document of a refusal. */
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
  return status >= SERVER_ERRORS_FROM
    ? "server_error"
    : "invalid_request_error";
}

/** Options of the functions that format answers. */
export interface CompletionMetadata {
  request: SummaryRequest;
  chat: boolean;
  createdAtMs: number;
}

/** Formats the events of one streamed answer; what doesn't change is formatted once. */
export class ChunkFormatter {
  #before: string;
  #after: string;
  #form: CompletionMetadata;

  constructor(form: CompletionMetadata) {
    this.#form = form;
    const mark = "\u0000";
    const sample = JSON.stringify(chunk(form, { text: mark, finish: null }));
    const [before, after] = sample.split(JSON.stringify(mark));
    this.#before = `data: ${before}`;
    this.#after = `${after}\n\n`;
  }

  /** One event of tokens; its id is the offset of the token after it. */
  tokens(nextOffset: number, text: string): string {
    return `id: ${nextOffset}\n${this.#before}${
      JSON.stringify(text)
    }${this.#after}`;
  }

  /** The last events of a whole answer. */
  end(finish: "stop" | "length"): string {
    const last = JSON.stringify(chunk(this.#form, { text: "", finish }));
    return `data: ${last}\n\ndata: [DONE]\n\n`;
  }

  /** The last event of an answer that was cut off. */
  error(refusal: Refusal): string {
    const { error, ...problem } = completionProblem(refusal);
    const data = JSON.stringify({ error: { ...problem, ...error } });
    return `event: error\ndata: ${data}\n\n`;
  }
}

/** Builds a whole answer. */
export function buildCompletion(
  form: CompletionMetadata,
  answer: { text: string; finish: "stop" | "length"; totalTokens: number },
) {
  const { text, finish, totalTokens } = answer;
  const content = form.chat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    ...envelope(form, form.chat ? "chat.completion" : "text_completion"),
    choices: [{ index: 0, finish_reason: finish, ...content }],
    usage: { completion_tokens: totalTokens },
  };
}

function chunk(
  form: CompletionMetadata,
  part: { text: string; finish: "stop" | "length" | null },
) {
  const { text, finish } = part;
  const content = form.chat ? { delta: { content: text } } : { text };
  return {
    ...envelope(form, form.chat ? "chat.completion.chunk" : "text_completion"),
    choices: [{ index: 0, finish_reason: finish, ...content }],
  };
}

function envelope(form: CompletionMetadata, object: string) {
  return {
    id: form.request.request,
    object,
    created: Math.floor(form.createdAtMs / 1_000),
    model: form.request.model,
  };
}
