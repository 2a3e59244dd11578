/** Dry run of a manifest. */
import { describeDifference } from "../difference.ts";
import { prepareBodies, type SubmitOptions } from "../commands/submit.ts";
import { parseManifest } from "../commands/validate.ts";
import { readHead } from "../store.ts";
import { type ManifestCheck, SCOPES } from "../types.ts";

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 1_000 } as const;

/** Validates a manifest against the active configuration and lists what it would change. */
export async function checkManifest(
  submission: unknown,
  options: Omit<SubmitOptions, "vm">,
): Promise<ManifestCheck> {
  const parsed = parseManifest(submission);
  if (parsed.isErr()) return { kind: "invalid", errors: parsed.error };
  const row = await readHead(options.platform);
  if (row.isErr()) return UNAVAILABLE;
  const held = await options.catchUp(row.value);
  if ((held?.head.version ?? 0) !== row.value.head.version) return UNAVAILABLE;
  const manifest = parsed.value;
  const prepared = await prepareBodies(
    { manifest, row: row.value, held },
    options,
  );
  if (prepared.isErr()) return prepared.error;
  const { before, after } = prepared.value;
  const difference = SCOPES.flatMap((scope) =>
    describeDifference(scope, { before: before[scope], after: after[scope] })
  );
  return { kind: "valid", difference };
}
