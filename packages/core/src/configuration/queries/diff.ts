/** Compares two configuration versions. */
import { err, ok, type Result } from "neverthrow";
import type { PlatformPort, StoreFailure } from "../../ports/platform.ts";
import { describeDifference } from "../difference.ts";
import { type Configuration, SCOPES } from "../types.ts";
import { showVersion } from "./show.ts";

/** Differences between two versions, one line each. */
export interface VersionDifference {
  readonly from: number;
  readonly to: number;
  readonly lines: readonly string[];
}

/** Describes the differences between two versions; null if one of them doesn't exist. */
export async function diffVersions(
  platform: PlatformPort,
  options: { from: number; to: number; held: Configuration | null },
): Promise<Result<VersionDifference | null, StoreFailure>> {
  const { from, to, held } = options;
  const before = await showVersion(platform, { version: from, held });
  if (before.isErr()) return err(before.error);
  const after = await showVersion(platform, { version: to, held });
  if (after.isErr()) return err(after.error);
  if (!before.value || !after.value) return ok(null);
  const [older, newer] = [before.value.bodies, after.value.bodies];
  const lines = SCOPES.flatMap((scope) =>
    describeDifference(scope, { before: older[scope], after: newer[scope] })
  );
  return ok({ from, to, lines });
}
