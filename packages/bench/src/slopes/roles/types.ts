/** What each role needs at the planned size. */

/** Roles that any VM may have, the platform's services, and the bad day. */
export const ROLES = [
  "Control on every VM",
  "Prober",
  "Configuration holder",
  "Caller face",
  "Key home",
  "Shard home",
  "Order holder",
  "Table service and object store",
  "Command-line tool",
  "Bad day",
] as const;

/** A role. */
export type Role = (typeof ROLES)[number];

/** One figure of a role. */
export interface Figure {
  readonly role: Role;
  readonly label: string;
  /** How it is worked out, with the names of the slopes. */
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
  /** The most that it may be; null where no budget is given. */
  readonly budget: number | null;
}

/** A figure without its role. */
export type RoleFigure = Omit<Figure, "role" | "budget"> & {
  readonly budget?: number;
};
