/** Differences between two bodies of a scope: as data for peers, as text for operators. */
import diff, { type Difference } from "microdiff";
import { digest } from "../common/hash.ts";
import type { Digest } from "../common/ids.ts";
import {
  type Configuration,
  type ConfigurationChange,
  emptyBodies,
  type Scope,
  type ScopeBodies,
  type ScopeChange,
  SCOPES,
} from "./types.ts";

type Item = Record<string, unknown>;

/** For scopes whose body is a list: the field that identifies an item. */
const ITEM_KEYS: Partial<Record<Scope, string>> = {
  workspaces: "id",
  endpoints: "id",
  roles: "hash",
};

const MAX_VALUE_CHARACTERS = 240;
const SHOWN_HASH_CHARACTERS = 8;

/** Sorts a list body by item key: the order in which it is stored, compared and digested. */
export function canonicalBody<S extends Scope>(
  scope: S,
  body: ScopeBodies[S],
): ScopeBodies[S] {
  if (ITEM_KEYS[scope] === undefined) return body;
  const items = [...(body as unknown as Item[])];
  return items.sort((a, b) =>
    itemKey(scope, a) < itemKey(scope, b) ? -1 : 1
  ) as unknown as ScopeBodies[S];
}

// Items are immutable, so their digests can be cached: changing one item costs one digest.
const itemDigests = new WeakMap<Item, Digest>();

/** Computes the digest of a body; for a list, over the digests of its items. */
export function bodyDigest(scope: Scope, body: unknown): Digest {
  if (ITEM_KEYS[scope] === undefined) return digest(JSON.stringify(body));
  return digest(itemsOf(body).map(itemDigest).join("\n"));
}

/** Computes the change between two bodies: per item for a list, otherwise the new body. */
export function compareScope(
  scope: Scope,
  bodies: { before: unknown; after: unknown },
): ScopeChange {
  if (ITEM_KEYS[scope] === undefined) {
    return { kind: "whole", body: bodies.after };
  }
  const before = new Map(
    itemsOf(bodies.before).map((item) => [itemKey(scope, item), item]),
  );
  const isSame = (item: Item) => {
    const earlier = before.get(itemKey(scope, item));
    return earlier !== undefined && itemDigest(earlier) === itemDigest(item);
  };
  const after = itemsOf(bodies.after);
  const kept = new Set(after.map((item) => itemKey(scope, item)));
  return {
    kind: "items",
    put: after.filter((item) => !isSame(item)),
    removed: [...before.keys()].filter((key) => !kept.has(key)),
  };
}

/**
 * Applies a change to the version before it. Returns null if the held version isn't
 * that one, or if the result doesn't match the digests in the change's head.
 */
export function applyChange(
  held: Configuration | null,
  change: ConfigurationChange,
): Configuration | null {
  if ((held?.head.version ?? 0) !== change.head.version - 1) return null;
  const bodies = { ...(held?.bodies ?? emptyBodies()) } as ScopeBodies;
  for (const scope of SCOPES) {
    const scopeChange = change.scopes[scope];
    if (!scopeChange) continue;
    const body = applyScopeChange(scope, { body: bodies[scope], scopeChange });
    if (bodyDigest(scope, body) !== change.head.scopes[scope]?.digest) {
      return null;
    }
    (bodies as unknown as Record<Scope, unknown>)[scope] = body;
  }
  return { head: change.head, bodies };
}

/**
 * Describes the differences between two bodies of a scope, one line each: `+` added,
 * `-` removed, `~` changed. Hashes and long values are shortened.
 */
export function describeDifference(
  scope: Scope,
  bodies: { before: unknown; after: unknown },
): string[] {
  const before = itemsByKey(scope, bodies.before);
  const after = itemsByKey(scope, bodies.after);
  return diff(before, after).map((entry) =>
    shortenHashes(describeEntry(scope, entry))
  );
}

function describeEntry(scope: Scope, entry: Difference): string {
  const path = [scope, ...entry.path].join(".");
  switch (entry.type) {
    case "CREATE":
      return `+ ${path}: ${toText(entry.value)}`;
    case "REMOVE":
      return `- ${path}: ${toText(entry.oldValue)}`;
    case "CHANGE":
      return `~ ${path}: ${toText(entry.oldValue)} -> ${toText(entry.value)}`;
  }
}

// Shortens token hashes to a recognisable prefix: people read these lines, and logs keep them.
function shortenHashes(line: string): string {
  return line.replaceAll(
    /[0-9a-f]{64}/g,
    (hash) => `${hash.slice(0, SHOWN_HASH_CHARACTERS)}...`,
  );
}

/** Applies the change of one scope to a body and returns the new body. */
export function applyScopeChange(
  scope: Scope,
  options: { body: unknown; scopeChange: ScopeChange },
): unknown {
  const { body, scopeChange } = options;
  if (scopeChange.kind === "whole") return scopeChange.body;
  const items = new Map(
    itemsOf(body).map((item) => [itemKey(scope, item), item]),
  );
  for (const key of scopeChange.removed) items.delete(key);
  let isOrdered = true;
  for (const item of scopeChange.put as Item[]) {
    isOrdered &&= items.has(itemKey(scope, item));
    items.set(itemKey(scope, item), item);
  }
  const changed = [...items.values()];
  return isOrdered ? changed : canonicalBody(scope, changed as never);
}

function itemsByKey(scope: Scope, body: unknown): Item {
  if (ITEM_KEYS[scope] === undefined) return (body ?? {}) as Item;
  return Object.fromEntries(
    itemsOf(body).map((item) => [itemKey(scope, item), item]),
  );
}

function itemDigest(item: Item): Digest {
  let cached = itemDigests.get(item);
  if (cached === undefined) {
    cached = digest(JSON.stringify(item));
    itemDigests.set(item, cached);
  }
  return cached;
}

function itemsOf(body: unknown): Item[] {
  return (body ?? []) as Item[];
}

function itemKey(scope: Scope, item: Item): string {
  return String(item[ITEM_KEYS[scope]!]);
}

function toText(value: unknown): string {
  const text = shortenHashes(JSON.stringify(value) ?? "nothing");
  return text.length <= MAX_VALUE_CHARACTERS
    ? text
    : `${text.slice(0, MAX_VALUE_CHARACTERS)}...`;
}
