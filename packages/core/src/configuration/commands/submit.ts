/** Commits a manifest in one transaction on the head, the submission's row and the history. */
import { wait } from "../../common/wait.ts";
import { err, ok, type Result } from "neverthrow";
import type { PlatformPort, RowWrite } from "../../ports/platform.ts";
import { digest } from "../../common/hash.ts";
import type { Digest, VmId, WorkspaceId } from "../../common/ids.ts";
import { fetchScopeBody, storeScopeBody } from "../bodies.ts";
import {
  canonicalBody,
  compareScope,
  describeDifference,
} from "../difference.ts";
import {
  CONFIGURATION_TABLE,
  HEAD_KEY,
  type HeadRow,
  historyKey,
  putObject,
  readHead,
  readHistoryEntry,
  readSubmission,
  submissionKey,
  toRowValue,
} from "../store.ts";
import {
  type Configuration,
  type ConfigurationChange,
  type ConfigurationHead,
  emptyBodies,
  type HistoryEntry,
  type Manifest,
  type ManifestError,
  type Scope,
  type ScopeBodies,
  type ScopeChange,
  type ScopeConflict,
  type ScopeHead,
  SCOPES,
  type SubmissionOutcome,
  type SubmissionRow,
} from "../types.ts";
import {
  checkAllowedWorkspaces,
  checkScopes,
  parseManifest,
} from "./validate.ts";

/** How long a submission is retried, including a commit whose outcome is unknown. */
const COMMIT_TIMEOUT_MS = 6_000;
const RETRY_DELAY_MS = 200;
const RETRY_AFTER_MS = 1_000;
const UNAVAILABLE = {
  kind: "unavailable",
  retryAfterMs: RETRY_AFTER_MS,
} as const;

/** Safeguards of a commit; tests can turn them off. */
export interface SubmitPolicies {
  /** Writes the submission's row in the head's transaction, so that a retry finds it. */
  keepsSubmissionRow: boolean;
  /** Rejects a scope that was based on another version than the current one. */
  checksBaseVersions: boolean;
}

/** Options of {@link commitManifest}. */
export interface SubmitOptions {
  platform: PlatformPort;
  vm: VmId;
  policies: SubmitPolicies;
  /** If given, the submitter may change only these workspaces and no other scope. */
  allowedWorkspaces?: readonly WorkspaceId[];
  /** Tries to activate the version of a head; returns the configuration then active. */
  catchUp: (row: HeadRow) => Promise<Configuration | null>;
}

/** A committed manifest; this call or an earlier one committed it. */
export interface CommittedManifest {
  readonly kind: "committed";
  readonly version: number;
  /** The new configuration; null if an earlier call committed the manifest. */
  readonly created: {
    readonly configuration: Configuration;
    readonly change: ConfigurationChange;
  } | null;
}

/** Outcomes other than a commit; for `unknown`, it may have been committed. */
type CommitFailure = Exclude<
  SubmissionOutcome,
  { kind: "accepted" } | { kind: "pending" }
>;

/** Result of {@link commitManifest}. */
export type CommitOutcome = CommittedManifest | CommitFailure;

/** A parsed manifest with the head and the active configuration that it applies to. */
interface CommitInput {
  readonly manifest: Manifest;
  readonly manifestDigest: Digest;
  readonly row: HeadRow;
  readonly held: Configuration | null;
}

/** All scope bodies before and after a manifest. */
export interface PreparedBodies {
  readonly before: ScopeBodies;
  readonly after: ScopeBodies;
}

/** The configuration and change that a commit will activate. */
interface Draft extends CommitInput {
  readonly configuration: Configuration;
  readonly change: ConfigurationChange;
}

/**
 * Validates and commits a manifest. Repeating a submission id returns the version of
 * the first commit, or `invalid` if the manifest differs.
 */
export async function commitManifest(
  submission: unknown,
  options: SubmitOptions,
): Promise<CommitOutcome> {
  const parsed = parseManifest(submission);
  if (parsed.isErr()) return invalid(parsed.error);
  const manifest = parsed.value;
  const manifestDigest = digest(JSON.stringify(manifest));
  const { platform, policies } = options;
  const untilMs = performance.now() + COMMIT_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    // Read the head first: if the submission's row is missing afterwards, this head doesn't include it.
    const row = await readHead(platform);
    if (row.isErr()) return UNAVAILABLE;
    if (policies.keepsSubmissionRow) {
      const earlier = await readSubmission(platform, manifest.submissionId);
      if (earlier.isErr()) return UNAVAILABLE;
      if (earlier.value) return earlierOutcome(earlier.value, manifestDigest);
    }
    const held = await options.catchUp(row.value);
    const heldVersion = held?.head.version ?? 0;
    if (heldVersion < row.value.head.version) return UNAVAILABLE;
    if (heldVersion > row.value.head.version) continue;
    const draft = await draftChange(
      { manifest, manifestDigest, row: row.value, held },
      options,
    );
    if (draft.isErr()) return draft.error;
    const outcome = await commit(draft.value, { ...options, untilMs });
    if (outcome !== "head-moved") return outcome;
  }
  return UNAVAILABLE;
}

async function draftChange(
  input: CommitInput,
  options: SubmitOptions,
): Promise<Result<Draft, CommitFailure>> {
  const { manifest, row } = input;
  const prepared = await prepareBodies(input, options);
  if (prepared.isErr()) return err(prepared.error);
  const { before, after } = prepared.value;
  const change = await storeChange(manifest, {
    platform: options.platform,
    head: row.head,
    before,
    after,
  });
  if (!change) return err(UNAVAILABLE);
  const configuration = { head: change.head, bodies: after };
  return ok({ ...input, change, configuration });
}

/** Validates a manifest against the active configuration and returns the resulting bodies. */
export async function prepareBodies(
  input: Pick<CommitInput, "manifest" | "row" | "held">,
  options: Omit<SubmitOptions, "vm" | "catchUp">,
): Promise<Result<PreparedBodies, CommitFailure>> {
  const { platform, policies, allowedWorkspaces } = options;
  const { manifest, row, held } = input;
  const before = held?.bodies ?? emptyBodies();
  if (policies.checksBaseVersions) {
    const conflicts = await findConflicts(manifest, {
      platform,
      head: row.head,
      before,
    });
    if (conflicts.length > 0) return err({ kind: "conflict", conflicts });
  }
  const after = { ...before } as ScopeBodies;
  for (const scope of SCOPES) {
    const body = manifest.scopes[scope]?.body;
    if (body !== undefined) setBody(after, scope, body);
  }
  const candidate = { manifest, before, after };
  const errors = [
    ...checkScopes(candidate),
    ...(allowedWorkspaces
      ? checkAllowedWorkspaces(candidate, allowedWorkspaces)
      : []),
  ];
  if (errors.length > 0) return err(invalid(errors));
  for (const scope of SCOPES) {
    if (!manifest.scopes[scope]) continue;
    setBody(after, scope, canonicalBody(scope, after[scope]));
  }
  return ok({ before, after });
}

async function storeChange(
  manifest: Manifest,
  options: {
    platform: PlatformPort;
    head: ConfigurationHead;
    before: ScopeBodies;
    after: ScopeBodies;
  },
): Promise<ConfigurationChange | null> {
  const { platform, before, after } = options;
  const version = options.head.version + 1;
  const heads: Partial<Record<Scope, ScopeHead>> = { ...options.head.scopes };
  const changes: Partial<Record<Scope, ScopeChange>> = {};
  for (const scope of SCOPES) {
    if (!manifest.scopes[scope]) continue;
    const body = after[scope];
    const stored = await storeScopeBody(platform, {
      scope,
      body,
      version,
      before: heads[scope],
    });
    if (stored.isErr()) return null;
    heads[scope] = stored.value;
    changes[scope] = compareScope(scope, {
      before: before[scope],
      after: body,
    });
  }
  const stored = await putObject(platform, changes);
  if (stored.isErr()) return null;
  const head = { version, scopes: heads, change: stored.value };
  return { head, scopes: changes };
}

/**
 * Commits a draft. After a lost reply, the same transaction with the same expected
 * versions is sent again, which shows whether the first one was committed.
 */
async function commit(
  draft: Draft,
  options: SubmitOptions & { untilMs: number },
): Promise<CommitOutcome | "head-moved"> {
  const { platform, policies, untilMs } = options;
  const writes = buildWrites(draft, options);
  let sent = false;
  while (performance.now() < untilMs) {
    const outcome = await platform.transact(writes);
    if (outcome.isErr()) {
      sent ||= outcome.error.kind === "unknown";
      await wait(RETRY_DELAY_MS);
      continue;
    }
    if (outcome.value.kind === "committed") {
      const { configuration, change } = draft;
      const version = change.head.version;
      return { kind: "committed", version, created: { configuration, change } };
    }
    // The head never returns to the expected version, so an earlier attempt still in flight can't commit.
    if (!policies.keepsSubmissionRow) return "head-moved";
    const earlier = outcome.value.conflicts.find(({ index }) =>
      writes[index]!.key === submissionKey(draft.manifest.submissionId)
    );
    return earlier?.row
      ? earlierOutcome(
        earlier.row.value as unknown as SubmissionRow,
        draft.manifestDigest,
      )
      : "head-moved";
  }
  return sent ? { kind: "unknown", retryAfterMs: RETRY_AFTER_MS } : UNAVAILABLE;
}

function buildWrites(draft: Draft, options: SubmitOptions): RowWrite[] {
  const { manifest, manifestDigest, change, row } = draft;
  const { version } = change.head;
  const entry: HistoryEntry = {
    version,
    submissionId: manifest.submissionId,
    acceptedAtMs: Date.now(),
    vm: options.vm,
    changed: SCOPES.filter((scope) => manifest.scopes[scope] !== undefined),
    head: change.head,
  };
  const table = CONFIGURATION_TABLE;
  const absent = { kind: "absent" } as const;
  const writes: RowWrite[] = [
    {
      table,
      key: HEAD_KEY,
      expect: row.rowVersion === null
        ? absent
        : { kind: "version", version: row.rowVersion },
      value: toRowValue(change.head),
    },
    {
      table,
      key: historyKey(version),
      expect: absent,
      value: toRowValue(entry),
    },
  ];
  if (!options.policies.keepsSubmissionRow) return writes;
  return [...writes, {
    table,
    key: submissionKey(manifest.submissionId),
    expect: absent,
    value: toRowValue({ version, manifestDigest }),
  }];
}

async function findConflicts(
  manifest: Manifest,
  options: {
    platform: PlatformPort;
    head: ConfigurationHead;
    before: ScopeBodies;
  },
): Promise<ScopeConflict[]> {
  const conflicts: ScopeConflict[] = [];
  for (const scope of SCOPES) {
    const basedOn = manifest.scopes[scope]?.basedOn;
    const current = options.head.scopes[scope]?.version ?? 0;
    if (basedOn === undefined || basedOn === current) continue;
    const difference = await describeOverwritten(scope, {
      ...options,
      basedOn,
    });
    conflicts.push({ scope, basedOn, current, difference });
  }
  return conflicts;
}

/** Describes what changed in a scope since the version that the manifest is based on. */
async function describeOverwritten(
  scope: Scope,
  options: { platform: PlatformPort; basedOn: number; before: ScopeBodies },
): Promise<string[]> {
  const { platform, basedOn, before } = options;
  if (basedOn === 0) {
    return describeDifference(scope, {
      before: emptyBodies()[scope],
      after: before[scope],
    });
  }
  const entry = await readHistoryEntry(platform, basedOn);
  const base = entry.isOk() ? entry.value?.head.scopes[scope] : undefined;
  if (!base) return [`The scope has no version ${basedOn}`];
  const body = await fetchScopeBody(platform, { scope, scopeHead: base });
  if (body.isErr()) return [`Version ${basedOn} can't be read now`];
  return describeDifference(scope, {
    before: body.value,
    after: before[scope],
  });
}

function earlierOutcome(
  row: SubmissionRow,
  manifestDigest: Digest,
): CommitOutcome {
  if (row.manifestDigest === manifestDigest) {
    return { kind: "committed", version: row.version, created: null };
  }
  return invalid([{
    path: "submissionId",
    message:
      `Another manifest was accepted under this id, as version ${row.version}`,
  }]);
}

function invalid(
  errors: readonly ManifestError[],
): { kind: "invalid"; errors: readonly ManifestError[] } {
  return { kind: "invalid", errors };
}

function setBody(bodies: ScopeBodies, scope: Scope, body: unknown): void {
  (bodies as unknown as Record<Scope, unknown>)[scope] = body;
}
