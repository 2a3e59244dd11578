/** Differences between the bodies of a scope: as data for peers, as lines for operators. */
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

/** The field that identifies an item of a scope that is a list. */
const ITEM_KEYS: Partial<Record<Scope, string>> = {
  workspaces: "id",
  endpoints: "id",
  roles: "hash",
};

const MAX_VALUE_CHARACTERS = 240;
const SHOWN_HASH_CHARACTERS = 8;

/** Gives a body in the one order under which it is stored, compared and digested. */
export function canonicalBody<S extends Scope>(
  scope: S,
  body: ScopeBodies[S],
): ScopeBodies[S] {
  if (ITEM_KEYS[scope] === undefined) return body;
  const items = [...(body as unknown as Item[])];
  return items.sort((a, b) =>
    keyOf(scope, a) < keyOf(scope, b) ? -1 : 1
  ) as unknown as ScopeBodies[S];
}

// Items are replaced and never changed in place, so that a change of one costs one digest.
const itemDigests = new WeakMap<Item, Digest>();

/** Names a body: by the digests of its items where it is a list. */
export function bodyDigest(scope: Scope, body: unknown): Digest {
  if (ITEM_KEYS[scope] === undefined) return digest(JSON.stringify(body));
  return digest(itemsOf(body).map(itemDigest).join("\n"));
}

/** Finds what changed between two bodies of a scope. */
export function compareScope(
  scope: Scope,
  bodies: { before: unknown; after: unknown },
): ScopeChange {
  if (ITEM_KEYS[scope] === undefined) {
    return { kind: "whole", body: bodies.after };
  }
  const before = new Map(
    itemsOf(bodies.before).map((item) => [keyOf(scope, item), item]),
  );
  const isSame = (item: Item) => {
    const earlier = before.get(keyOf(scope, item));
    return earlier !== undefined && itemDigest(earlier) === itemDigest(item);
  };
  const after = itemsOf(bodies.after);
  const kept = new Set(after.map((item) => keyOf(scope, item)));
  return {
    kind: "items",
    put: after.filter((item) => !isSame(item)),
    removed: [...before.keys()].filter((key) => !kept.has(key)),
  };
}

/** Applies a change to the version before it; null when the result isn't what the head names. */
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

/** Describes what changed between two bodies of a scope, one line for each difference. */
export function describeDifference(
  scope: Scope,
  bodies: { before: unknown; after: unknown },
): string[] {
  const before = byKey(scope, bodies.before);
  const after = byKey(scope, bodies.after);
  return diff(before, after).map((one) =>
    shortenHashes(describeOne(scope, one))
  );
}

function describeOne(scope: Scope, one: Difference): string {
  const path = [scope, ...one.path].join(".");
  switch (one.type) {
    case "CREATE":
      return `+ ${path}: ${valueText(one.value)}`;
    case "REMOVE":
      return `- ${path}: ${valueText(one.oldValue)}`;
    case "CHANGE":
      return `~ ${path}: ${valueText(one.oldValue)} -> ${valueText(one.value)}`;
  }
}

// Leaves of a token's hash only what tells two apart: lines are read by people and kept in logs.
function shortenHashes(line: string): string {
  return line.replaceAll(
    /[0-9a-f]{64}/g,
    (hash) => `${hash.slice(0, SHOWN_HASH_CHARACTERS)}...`,
  );
}

/** Applies the change of one scope to a body. */
export function applyScopeChange(
  scope: Scope,
  options: { body: unknown; scopeChange: ScopeChange },
): unknown {
  const { body, scopeChange } = options;
  if (scopeChange.kind === "whole") return scopeChange.body;
  const items = new Map(
    itemsOf(body).map((item) => [keyOf(scope, item), item]),
  );
  for (const key of scopeChange.removed) items.delete(key);
  let isOrdered = true;
  for (const item of scopeChange.put as Item[]) {
    isOrdered &&= items.has(keyOf(scope, item));
    items.set(keyOf(scope, item), item);
  }
  const changed = [...items.values()];
  return isOrdered ? changed : canonicalBody(scope, changed as never);
}

function byKey(scope: Scope, body: unknown): Item {
  if (ITEM_KEYS[scope] === undefined) return (body ?? {}) as Item;
  return Object.fromEntries(
    itemsOf(body).map((item) => [keyOf(scope, item), item]),
  );
}

function itemDigest(item: Item): Digest {
  let known = itemDigests.get(item);
  if (known === undefined) {
    known = digest(JSON.stringify(item));
    itemDigests.set(item, known);
  }
  return known;
}

function itemsOf(body: unknown): Item[] {
  return (body ?? []) as Item[];
}

function keyOf(scope: Scope, item: Item): string {
  return String(item[ITEM_KEYS[scope]!]);
}

function valueText(value: unknown): string {
  const text = shortenHashes(JSON.stringify(value) ?? "nothing");
  return text.length <= MAX_VALUE_CHARACTERS
    ? text
    : `${text.slice(0, MAX_VALUE_CHARACTERS)}...`;
}
