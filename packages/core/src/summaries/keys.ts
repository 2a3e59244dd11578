/** Keys of summaries: a request id belongs to the caller that made it. */
import { asId, type Digest, type RequestKey } from "../common/ids.ts";
import { digest } from "../common/hash.ts";
import type { SummaryRequest } from "./types.ts";

const DIGEST_LENGTH = 16;

/** Builds a summary's key, so that another caller's id never meets this one. */
export function summaryKey(request: SummaryRequest): RequestKey {
  return asId(`${request.workspace}/${request.caller}/${request.request}`);
}

/** What decides the home of a summary's key. */
export function summaryHomeKey(key: RequestKey): string {
  return `summary/${key}`;
}

/** Builds the key that engines repeat in their reports; it tells one body from another. */
export function engineKey(key: RequestKey, bodyDigest: Digest): RequestKey {
  return asId(`${key}#${bodyDigest.slice(0, DIGEST_LENGTH)}`);
}

/** Returns the summary's key of a key that an engine repeats. */
export function summaryKeyFromEngineKey(key: RequestKey): RequestKey {
  return asId(key.slice(0, key.lastIndexOf("#")));
}

/** The text that makes a request what it is; a resend has the same. */
export function summaryBody(request: SummaryRequest): string {
  return `${request.model}\n${request.maxTokens}\n${request.prompt}`;
}

/** Digest of a request's body. */
export function summaryDigest(request: SummaryRequest): Digest {
  return digest(summaryBody(request));
}
