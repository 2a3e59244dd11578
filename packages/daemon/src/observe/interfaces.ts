/** What the interfaces of a process are doing, as fields of a log line. */
import type { LogValue } from "@teaselvalve/core";
import type { Activity, HttpComponent } from "../http/server.ts";

const FIELDS = ["connections", "requests", "streams"] as const;

/** Returns one field for each count, with the numbers of all interfaces. */
export function describeInterfaces(
  components: readonly HttpComponent[],
): Record<string, LogValue> {
  const activities = components.map((component): [string, Activity] => [
    component.name,
    component.activity(),
  ]);
  return Object.fromEntries(
    FIELDS.map((field) => [
      field,
      activities.map(([name, activity]) => `${name}:${activity[field]}`)
        .join(","),
    ]),
  );
}
