/** Estimates how long the outputs of streams will be, and how fast engines generate them. */
import type { ServiceName } from "../common/ids.ts";
import type { PromptFields } from "./types.ts";

/** Weight of the newest completed stream in the moving averages. */
const WEIGHT = 0.05;
/** Speed assumed until a stream has completed. */
const INITIAL_TOKENS_PER_MS = 0.5;
/** Median output as a share of the maximum, for requests without an estimate. */
const UNKNOWN_OUTPUT_SHARE = 0.5;

/** Expected output of one stream, in tokens. */
export interface ExpectedOutput {
  readonly expectedTokens: number;
  readonly maxTokens: number;
}

interface Estimate {
  /** Mean of the logarithm of actual to expected outputs. */
  logRatio: number;
  tokensPerMs: number;
  completed: number;
}

/** Keeps the estimates for each service. */
export class OutputEstimates {
  #estimates = new Map<ServiceName, Estimate>();

  /** Returns what to expect of a request, corrected by what earlier outputs were like. */
  expect(service: ServiceName, prompt: PromptFields | null): ExpectedOutput {
    const maxTokens = Math.max(1, prompt?.maxOutputTokens ?? 1);
    const declared = declaredTokens(prompt, maxTokens);
    const ratio = Math.exp(this.#estimateOf(service).logRatio);
    return { expectedTokens: Math.min(maxTokens, declared * ratio), maxTokens };
  }

  /** Records a stream that completed, and how long its decode took. */
  note(
    service: ServiceName,
    stream: {
      prompt: PromptFields | null;
      generatedTokens: number;
      decodeMs: number;
    },
  ): void {
    const { prompt, generatedTokens, decodeMs } = stream;
    if (generatedTokens <= 0 || decodeMs <= 0) return;
    const estimate = this.#estimateOf(service);
    estimate.completed += 1;
    const declared = declaredTokens(
      prompt,
      Math.max(1, prompt?.maxOutputTokens ?? 1),
    );
    const logRatio = Math.log(generatedTokens / declared);
    estimate.logRatio += WEIGHT * (logRatio - estimate.logRatio);
    const weight = Math.max(WEIGHT, 1 / estimate.completed);
    const tokensPerMs = generatedTokens / decodeMs;
    estimate.tokensPerMs += weight * (tokensPerMs - estimate.tokensPerMs);
  }

  /** Tokens that a stream of the service generates per millisecond. */
  tokensPerMs(service: ServiceName): number {
    return this.#estimateOf(service).tokensPerMs;
  }

  /** The same as measured; null before a stream has completed. */
  measuredTokensPerMs(service: ServiceName): number | null {
    const { completed, tokensPerMs } = this.#estimateOf(service);
    return completed > 0 ? tokensPerMs : null;
  }

  #estimateOf(service: ServiceName): Estimate {
    const existing = this.#estimates.get(service);
    if (existing) return existing;
    const initial = {
      logRatio: 0,
      tokensPerMs: INITIAL_TOKENS_PER_MS,
      completed: 0,
    };
    this.#estimates.set(service, initial);
    return initial;
  }
}

function declaredTokens(
  prompt: PromptFields | null,
  maxTokens: number,
): number {
  const hint = prompt?.expectedOutputTokens ?? 0;
  return hint > 0
    ? Math.min(hint, maxTokens)
    : UNKNOWN_OUTPUT_SHARE * maxTokens;
}
