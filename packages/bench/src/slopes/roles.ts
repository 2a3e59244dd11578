/** Works out what each role needs at the planned size from measured slopes. */
import type { Slope } from "./types.ts";

/** Roles that any VM may have, and the platform's services. */
export const ROLES = [] as const;

/** One figure of a role. */
export interface Figure {
  readonly role: string;
  readonly what: string;
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
  /** The most that it may be; null where no budget is given. */
  readonly budget: number | null;
}

/** Works out all figures. */
export function capacityFigures(_slopes: readonly Slope[]): Figure[] {
  return [];
}
