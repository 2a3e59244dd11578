/** Selects the records of crashes that should outlast the VMs. */
import {
  type CrashRecord,
  type TraitId,
  WHOLE_REQUEST_POSITION,
} from "../types.ts";
import {
  COMMON_CULPRIT_CRASHES,
  CULPRIT_CRASHES,
  isSuspect,
} from "./find_culprits.ts";

/**
 * Returns the records with a prompt part that is blamed, or would be after one more crash.
 * Whole requests alone make no record last: few come again after all VMs have ended.
 */
export function selectLasting(
  records: Iterable<CrashRecord>,
): CrashRecord[] {
  const crashes = [...records].filter(({ refuted }) => !refuted);
  const counts = new Map<TraitId, { crashes: number; isTrusted: boolean }>();
  for (const crash of crashes) {
    for (const id of suspectedParts(crash)) {
      const before = counts.get(id);
      counts.set(id, {
        crashes: (before?.crashes ?? 0) + 1,
        isTrusted: crash.trusted.has(id) || (before?.isTrusted ?? false),
      });
    }
  }
  const isClose = (id: TraitId) => {
    const { crashes, isTrusted } = counts.get(id)!;
    const needed = isTrusted ? COMMON_CULPRIT_CRASHES : CULPRIT_CRASHES;
    return crashes >= needed - 1;
  };
  return crashes.filter((crash) => suspectedParts(crash).some(isClose));
}

function suspectedParts(crash: CrashRecord): TraitId[] {
  return [...crash.traits].flatMap(([id, position]) =>
    position < WHOLE_REQUEST_POSITION && isSuspect(crash, id) ? [id] : []
  );
}
