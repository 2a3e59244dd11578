/** Works out what each role needs at the planned size from measured slopes. */
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

const FIGURES: Record<Role, (read: SlopeReader) => RoleFigure[]> = {
  "Control on every VM": controlFigures,
  "Prober": proberFigures,
  "Configuration holder": configurationFigures,
  "Caller face": callerInterfaceFigures,
  "Key home": keyHomeFigures,
  "Shard home": shardHomeFigures,
  "Order holder": orderFigures,
  "Table service and object store": platformFigures,
  "Command-line tool": toolFigures,
  "Bad day": outageFigures,
};

/** Works out all figures; those whose slopes were not measured are left out. */
export function capacityFigures(slopes: readonly Slope[]): Figure[] {
  const read = createReader(slopes);
  return ROLES.flatMap((role) =>
    FIGURES[role](read)
      .map((figure): Figure => ({ budget: null, ...figure, role }))
      .filter(({ value }) => Number.isFinite(value))
  );
}
