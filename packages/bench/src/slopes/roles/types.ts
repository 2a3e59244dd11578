/** Types of the capacity figures of each role at the target size. */

/** Headings of the figures: roles of VMs, the platform, the tool, and outages. */
export const ROLES = [
  "Control on every VM",
  "Prober",
  "Configuration holder",
  "Caller interface",
  "Key home",
  "Shard home",
  "Order holder",
  "Table service and object store",
  "Command-line tool",
  "Outages and load surges",
] as const;

/** One of {@link ROLES}. */
export type Role = (typeof ROLES)[number];

/** A computed value of a role, with its formula and budget. */
export interface Figure {
  readonly role: Role;
  readonly label: string;
  /** How the value is computed, with the names of the quantities. */
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
  /** Maximum allowed value; null without a budget. */
  readonly budget: number | null;
}

/** A figure as its role's function returns it, without the role. */
export type RoleFigure = Omit<Figure, "role" | "budget"> & {
  readonly budget?: number;
};
