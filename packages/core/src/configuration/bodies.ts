/** Stores and fetches scope bodies: a full body at intervals, and the changes in between. */
import { err, ok, type Result } from "neverthrow";
import type { PlatformPort, StoreFailure } from "../ports/platform.ts";
import { applyScopeChange, bodyDigest } from "./difference.ts";
import { fetchChange, fetchObject, putObject, readHistory } from "./store.ts";
import {
  type Configuration,
  type ConfigurationHead,
  emptyBodies,
  type Scope,
  type ScopeBodies,
  type ScopeHead,
  SCOPES,
} from "./types.ts";

/** Bodies up to this size are stored in full with every version. */
const SMALL_BODY_CHARACTERS = 16_384;
/** A larger body is stored in full again after this many versions. */
const MAX_VERSIONS_FROM_BASE = 32;

/**
 * Stores a scope's new body in full where that is due, and returns the scope's new
 * head. Otherwise the head refers to an earlier full body.
 */
export async function storeScopeBody(
  platform: PlatformPort,
  options: {
    scope: Scope;
    body: unknown;
    version: number;
    before: ScopeHead | undefined;
  },
): Promise<Result<ScopeHead, StoreFailure>> {
  const { scope, body, version, before } = options;
  const digest = bodyDigest(scope, body);
  const base = before && (before.base ?? before);
  if (base?.digest === digest) return ok({ version, digest });
  const isSmall = JSON.stringify(body).length <= SMALL_BODY_CHARACTERS;
  const isNear = base && version - base.version <= MAX_VERSIONS_FROM_BASE;
  if (isNear && !isSmall) {
    const { version: baseVersion, digest: baseDigest } = base;
    return ok({
      version,
      digest,
      base: { version: baseVersion, digest: baseDigest },
    });
  }
  const stored = await putObject(platform, body, digest);
  return stored.map(() => ({ version, digest }));
}

/**
 * Fetches the body that a scope head refers to: its full body, or the base body with
 * the later changes applied. Fails if the result doesn't match the head's digest.
 */
export async function fetchScopeBody(
  platform: PlatformPort,
  options: { scope: Scope; scopeHead: ScopeHead },
): Promise<Result<unknown, StoreFailure>> {
  const { scope, scopeHead } = options;
  if (!scopeHead.base) return await fetchObject(platform, scopeHead.digest);
  const base = await fetchObject(platform, scopeHead.base.digest);
  if (base.isErr()) return err(base.error);
  const { version: after } = scopeHead.base;
  const limit = scopeHead.version - after;
  const entries = await readHistory(platform, { after, limit });
  if (entries.isErr()) return err(entries.error);
  const changes = await Promise.all(
    entries.value
      .filter((entry) => entry.changed.includes(scope))
      .map((entry) => fetchChange(platform, entry.head)),
  );
  let body = base.value;
  for (const change of changes) {
    if (change.isErr()) return err(change.error);
    const scopeChange = change.value.scopes[scope];
    if (scopeChange) body = applyScopeChange(scope, { body, scopeChange });
  }
  return bodyDigest(scope, body) === scopeHead.digest ? ok(body) : err({
    kind: "unknown",
    detail: `Changes don't lead to ${scope}`,
  });
}

/** Fetches all bodies of a head; unchanged ones are taken from the held configuration. */
export async function fetchBodies(
  platform: PlatformPort,
  options: { head: ConfigurationHead; held: Configuration | null },
): Promise<Result<Configuration, StoreFailure>> {
  const { head, held } = options;
  const bodies = emptyBodies();
  for (const scope of SCOPES) {
    const scopeHead = head.scopes[scope];
    if (!scopeHead) continue;
    const fetched = held?.head.scopes[scope]?.digest === scopeHead.digest
      ? ok(held.bodies[scope])
      : await fetchScopeBody(platform, { scope, scopeHead });
    if (fetched.isErr()) return err(fetched.error);
    setBody(bodies, scope, fetched.value);
  }
  return ok({ head, bodies });
}

function setBody(bodies: ScopeBodies, scope: Scope, body: unknown): void {
  (bodies as Record<Scope, unknown>)[scope] = body;
}
