/** Queries for VMs and for the addresses that callers receive. */
import {
  type AddressAnswer,
  type DataCentre,
  listAddresses,
  type Member,
  notRun,
} from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import {
  type AdminContext,
  type AdminRoutes,
  configurationOf,
} from "../types.ts";

/** Response bodies of the directory queries. */
export interface DirectoryQueries {
  "GET /admin/vms": readonly Member[];
  "GET /admin/addresses": AddressAnswer;
}

/** Creates the directory queries. */
export function createDirectoryQueries(
  context: AdminContext,
): AdminRoutes<DirectoryQueries> {
  return {
    "GET /admin/vms": {
      minimumRole: "reader",
      handle: () => ok({ body: context.vm.membership.members() }),
    },
    "GET /admin/addresses": {
      minimumRole: "reader",
      handle({ query }) {
        const configuration = configurationOf(context);
        if (!configuration) return err(notRun("no-configuration"));
        const dataCentre = query.get("data_centre") as DataCentre | null;
        const answer = listAddresses(context.vm.membership, {
          dataCentre: dataCentre ?? undefined,
          spreadBy: query.get("spread_by") ?? "",
          ttlMs: configuration.bodies.deployment.addressTtlMs,
        });
        return ok({ body: answer });
      },
    },
  };
}
