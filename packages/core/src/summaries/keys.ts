/** Keys of summaries. Request ids are scoped to the caller that made them. */
import { asId, type Digest, type RequestKey } from "../common/ids.ts";
import { digest } from "../common/hash.ts";
import type { SummaryRequest } from "./types.ts";

const ENGINE_KEY_DIGEST_LENGTH = 16;

/**
 * Builds a summary's key from workspace, caller and request id, so that equal
 * request ids of different callers don't collide.
 */
export function summaryKey(request: SummaryRequest): RequestKey {
  return asId(`${request.workspace}/${request.caller}/${request.request}`);
}

/** Returns the string that is hashed to find the home of a summary's key. */
export function summaryHomeKey(key: RequestKey): string {
  return `summary/${key}`;
}

/**
 * Builds the key that engines list in their load reports. It includes part of
 * the body digest, so that different bodies under one key are distinguished.
 */
export function engineKey(key: RequestKey, bodyDigest: Digest): RequestKey {
  return asId(`${key}#${bodyDigest.slice(0, ENGINE_KEY_DIGEST_LENGTH)}`);
}

/** Extracts the summary's key from a key built by {@link engineKey}. */
export function summaryKeyFromEngineKey(key: RequestKey): RequestKey {
  return asId(key.slice(0, key.lastIndexOf("#")));
}

/**
 * Returns the text that identifies a request's content. A resend of the request
 * has the same text.
 */
export function summaryBody(request: SummaryRequest): string {
  return `${request.model}\n${request.maxTokens}\n${request.prompt}`;
}

/** Returns the digest of {@link summaryBody}. */
export function summaryDigest(request: SummaryRequest): Digest {
  return digest(summaryBody(request));
}
