/** The text that a fake model generates: a function of the prompt alone. */
import { hash48, type Prompt } from "@teaselvalve/core";

const VOCABULARY_SIZE = 4_096;
const MIN_ANSWER_TOKENS = 16;
const ANSWER_TOKENS_SPREAD = 48;
const LENGTH_MARKER = /\[length=(\d+)\]/;
const CRASH_MARKER = "[crash]";

/** Decides how many tokens a prompt's answer has. */
export type AnswerLength = (prompt: Prompt) => number;

/** Takes the length from a `[length=N]` mark, or else from a hash of the prompt. */
export const lengthFromPrompt: AnswerLength = (prompt) => {
  const mark = LENGTH_MARKER.exec(prompt.text);
  if (mark) return Number(mark[1]);
  return MIN_ANSWER_TOKENS + hash48(prompt.text) % ANSWER_TOKENS_SPREAD;
};

/** True for a prompt that crashes each engine that decodes it. */
export function crashesEngine(prompt: Prompt): boolean {
  return prompt.text.includes(CRASH_MARKER);
}

/** Gives one token of an answer. */
export function tokenAt(seed: number, offset: number): string {
  return ` t${(seed + offset * 7_919) % VOCABULARY_SIZE}`;
}

/** Gives the seed of a prompt's answer. */
export function answerSeed(prompt: Prompt): number {
  return hash48(prompt.text) % VOCABULARY_SIZE;
}

/** Gives a whole answer, as a correct run returns it. */
export function expectedAnswer(prompt: Prompt, totalTokens: number): string {
  const seed = answerSeed(prompt);
  let text = "";
  for (let offset = 0; offset < totalTokens; offset += 1) {
    text += tokenAt(seed, offset);
  }
  return text;
}
