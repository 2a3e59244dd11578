/** The answers of the fake model, which depend on the prompt alone. */
import { hash48, type Prompt } from "@teaselvalve/core";

const VOCABULARY_SIZE = 4_096;
const MIN_ANSWER_TOKENS = 16;
const ANSWER_TOKENS_SPREAD = 48;
const LENGTH_MARKER = /\[length=(\d+)\]/;
const CRASH_MARKER = "[crash]";

/** Returns the number of tokens in a prompt's answer. */
export type AnswerLength = (prompt: Prompt) => number;

/** Takes the length from a `[length=N]` marker, else from a hash of the prompt. */
export const lengthFromPrompt: AnswerLength = (prompt) => {
  const marker = LENGTH_MARKER.exec(prompt.text);
  if (marker) return Number(marker[1]);
  return MIN_ANSWER_TOKENS + hash48(prompt.text) % ANSWER_TOKENS_SPREAD;
};

/** Whether a prompt crashes every engine that decodes it. */
export function crashesEngine(prompt: Prompt): boolean {
  return prompt.text.includes(CRASH_MARKER);
}

/** Returns the token at an offset of the answer with a seed. */
export function tokenAt(seed: number, offset: number): string {
  return ` t${(seed + offset * 7_919) % VOCABULARY_SIZE}`;
}

/** Returns the seed from which the tokens of a prompt's answer follow. */
export function answerSeed(prompt: Prompt): number {
  return hash48(prompt.text) % VOCABULARY_SIZE;
}

/** Returns the complete answer that a correct run generates. */
export function expectedAnswer(prompt: Prompt, totalTokens: number): string {
  const seed = answerSeed(prompt);
  let text = "";
  for (let offset = 0; offset < totalTokens; offset += 1) {
    text += tokenAt(seed, offset);
  }
  return text;
}
