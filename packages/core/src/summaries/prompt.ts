/** Estimates the size of a prompt and hashes its prefix blocks. */
import type { Prompt } from "../ports/engines.ts";
import { digest } from "../common/hash.ts";

/**
 * Average number of characters per token, an estimate. Quotas, grants and timeouts
 * use the estimated count; engines count a prompt's tokens themselves.
 */
export const CHARACTERS_PER_TOKEN = 4;
/** Number of tokens in one prefix block. */
export const BLOCK_TOKENS = 32;
const MAX_BLOCKS = 64;
const BLOCK_DIGEST_LENGTH = 16;

/**
 * Estimates a prompt's token count and hashes its leading blocks. Each block's
 * hash includes the hash of the block before it, and so identifies the prefix.
 */
export function measurePrompt(text: string): Prompt {
  const tokens = Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
  const blockLength = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const blockCount = Math.min(
    MAX_BLOCKS,
    Math.floor(text.length / blockLength),
  );
  const blocks: string[] = [];
  for (let index = 0; index < blockCount; index += 1) {
    const block = text.slice(index * blockLength, (index + 1) * blockLength);
    const chained = digest(`${blocks[index - 1] ?? ""}\n${block}`);
    blocks.push(chained.slice(0, BLOCK_DIGEST_LENGTH));
  }
  return { text, tokens, blocks };
}
