/** Computes what each role needs at the target size from measured slopes. */
import type { Slope } from "../types.ts";
import {
  configurationFigures,
  controlFigures,
  proberFigures,
} from "./control.ts";
import {
  orderFigures,
  outageFigures,
  platformFigures,
  toolFigures,
} from "./platform.ts";
import { createReader, type SlopeReader } from "./reader.ts";
import {
  callerInterfaceFigures,
  keyHomeFigures,
  shardHomeFigures,
} from "./serving.ts";
import { type Figure, type Role, type RoleFigure, ROLES } from "./types.ts";

export { type Figure, ROLES } from "./types.ts";

const FIGURES_BY_ROLE: Record<Role, (reader: SlopeReader) => RoleFigure[]> = {
  "Control on every VM": controlFigures,
  "Prober": proberFigures,
  "Configuration holder": configurationFigures,
  "Caller interface": callerInterfaceFigures,
  "Key home": keyHomeFigures,
  "Shard home": shardHomeFigures,
  "Order holder": orderFigures,
  "Table service and object store": platformFigures,
  "Command-line tool": toolFigures,
  "Outages and load surges": outageFigures,
};

/** Computes all figures, except those that use unmeasured slopes. */
export function capacityFigures(slopes: readonly Slope[]): Figure[] {
  const reader = createReader(slopes);
  return ROLES.flatMap((role) =>
    FIGURES_BY_ROLE[role](reader)
      .map((figure): Figure => ({ budget: null, ...figure, role }))
      .filter(({ value }) => Number.isFinite(value))
  );
}
