/** Finds the traits of a request. */
import { digest } from "../../common/hash.ts";
import { asId } from "../../common/ids.ts";
import type { RoutedRequest } from "../types.ts";
import { type Trait, type TraitId, WHOLE_REQUEST_POSITION } from "./types.ts";

/** Characters of the digest that identifies a whole request. */
const DIGEST_LENGTH = 24;

const known = new WeakMap<RoutedRequest, readonly Trait[]>();

/** Returns all traits of a request, the most general first. */
export function traitsOf(request: RoutedRequest): readonly Trait[] {
  const existing = known.get(request);
  if (existing) return existing;
  const parts = partTraitsOf(request);
  const traits = [...parts, {
    id: fingerprintOf(request),
    position: WHOLE_REQUEST_POSITION,
    parts: parts.map(({ id }) => id),
  }];
  known.set(request, traits);
  return traits;
}

/** Returns the trait that stands for the whole request. */
export function wholeTraitOf(request: RoutedRequest): Trait {
  return traitsOf(request).at(-1)!;
}

/** Returns the parts of a request's prompt that other requests may share: all but the last. */
export function partTraitsOf({ prompt }: RoutedRequest): Trait[] {
  return (prompt?.parts ?? []).slice(0, -1).map(({ id }, position) => ({
    id: asId<TraitId>(`part/${prompt!.model}/${id}`),
    position,
    parts: [],
  }));
}

/** Hashes method, host, target and body, so that a retry under another id matches. */
export function fingerprintOf(request: RoutedRequest): TraitId {
  const { method, host, target, body } = request;
  const text = new TextDecoder("latin1").decode(body);
  const hash = digest([method, host, target, text].join("\n"));
  return asId(`request/${hash.slice(0, DIGEST_LENGTH)}`);
}
