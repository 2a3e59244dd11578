/** Query for the active configuration. */
import { type Configuration, notRun } from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import {
  type AdminContext,
  type AdminRoutes,
  configurationOf,
} from "../types.ts";

const SHOWN_HASH_LENGTH = 8;

/** Response bodies of the configuration queries. */
export interface ConfigurationQueries {
  "GET /admin/configuration": Configuration;
}

/** Creates the configuration queries. */
export function createConfigurationQueries(
  context: AdminContext,
): AdminRoutes<ConfigurationQueries> {
  return {
    "GET /admin/configuration": {
      minimumRole: "reader",
      handle({ principal }) {
        const configuration = configurationOf(context);
        if (!configuration) return err(notRun("no-configuration"));
        const showFullHashes = principal.role === "administrator";
        return ok({
          body: showFullHashes ? configuration : shortenHashes(configuration),
        });
      },
    },
  };
}

/** Truncates all token hashes to a prefix that is long enough to tell tokens apart. */
export function shortenHashes(configuration: Configuration): Configuration {
  const { bodies } = configuration;
  const shorten = <T extends { hash: string }>(token: T): T => ({
    ...token,
    hash: token.hash.slice(0, SHOWN_HASH_LENGTH),
  });
  return {
    ...configuration,
    bodies: {
      ...bodies,
      roles: bodies.roles.map(shorten),
      workspaces: bodies.workspaces.map((workspace) => ({
        ...workspace,
        tokens: workspace.tokens.map(shorten),
      })),
    },
  };
}
