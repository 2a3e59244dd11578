/** The stored bodies of scopes: whole ones now and then, changes in between. */
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

/** Bodies up to this size are stored whole with every version. */
const SMALL_BODY_CHARACTERS = 16_384;
/** Versions after which a larger body is stored whole again. */
const MAX_VERSIONS_FROM_BASE = 32;

/** Stores a scope's new body whole where it is due, and gives the head that finds it. */
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

/** Fetches a scope's body: the nearest whole one and the changes since. */
export async function fetchScopeBody(
  platform: PlatformPort,
  options: { scope: Scope; wanted: ScopeHead },
): Promise<Result<unknown, StoreFailure>> {
  const { scope, wanted } = options;
  if (!wanted.base) return await fetchObject(platform, wanted.digest);
  const whole = await fetchObject(platform, wanted.base.digest);
  if (whole.isErr()) return err(whole.error);
  const { version: after } = wanted.base;
  const limit = wanted.version - after;
  const entries = await readHistory(platform, { after, limit });
  if (entries.isErr()) return err(entries.error);
  const changes = await Promise.all(
    entries.value
      .filter((entry) => entry.changed.includes(scope))
      .map((entry) => fetchChange(platform, entry.head)),
  );
  let body = whole.value;
  for (const change of changes) {
    if (change.isErr()) return err(change.error);
    const scopeChange = change.value.scopes[scope];
    if (scopeChange) body = applyScopeChange(scope, { body, scopeChange });
  }
  return bodyDigest(scope, body) === wanted.digest
    ? ok(body)
    : err({ kind: "unknown", detail: `Changes don't lead to ${scope}` });
}

/** Fetches the bodies of a head, taking unchanged ones from what is held. */
export async function fetchBodies(
  platform: PlatformPort,
  options: { head: ConfigurationHead; held: Configuration | null },
): Promise<Result<Configuration, StoreFailure>> {
  const { head, held } = options;
  const bodies = emptyBodies();
  for (const scope of SCOPES) {
    const wanted = head.scopes[scope];
    if (!wanted) continue;
    const fetched = held?.head.scopes[scope]?.digest === wanted.digest
      ? ok(held.bodies[scope])
      : await fetchScopeBody(platform, { scope, wanted });
    if (fetched.isErr()) return err(fetched.error);
    setBody(bodies, scope, fetched.value);
  }
  return ok({ head, bodies });
}

function setBody(bodies: ScopeBodies, scope: Scope, body: unknown): void {
  (bodies as Record<Scope, unknown>)[scope] = body;
}
