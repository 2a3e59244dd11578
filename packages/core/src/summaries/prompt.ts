/** What the router derives of a prompt. */
import type { Prompt } from "../ports/engines.ts";
import { digest } from "../common/hash.ts";

/** Characters that make a token, on average; engines bill by their own count. */
export const CHARACTERS_PER_TOKEN = 4;
/** Tokens of one prefix block. */
export const BLOCK_TOKENS = 32;
const MAX_BLOCKS = 64;
const BLOCK_DIGEST_LENGTH = 16;

/** Counts a prompt's tokens and hashes its leading blocks, each chained to the one before. */
export function measurePrompt(text: string): Prompt {
  const tokens = Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
  const blockLength = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const count = Math.min(MAX_BLOCKS, Math.floor(text.length / blockLength));
  const blocks: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const block = text.slice(index * blockLength, (index + 1) * blockLength);
    const chained = digest(`${blocks[index - 1] ?? ""}\n${block}`);
    blocks.push(chained.slice(0, BLOCK_DIGEST_LENGTH));
  }
  return { text, tokens, blocks };
}
