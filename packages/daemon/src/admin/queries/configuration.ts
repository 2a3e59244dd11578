/** The query of the configuration in force. */
import { type Configuration, notRun } from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import {
  type AdminContext,
  type AdminRoutes,
  configurationOf,
} from "../types.ts";

const SHOWN_HASH_LENGTH = 8;

/** Bodies that these queries answer. */
export interface ConfigurationQueries {
  "GET /admin/configuration": Configuration;
}

/** Lists these queries. */
export function createConfigurationQueries(
  context: AdminContext,
): AdminRoutes<ConfigurationQueries> {
  return {
    "GET /admin/configuration": {
      minimumRole: "reader",
      handle({ principal }) {
        const configuration = configurationOf(context);
        if (!configuration) return err(notRun("no-configuration"));
        const whole = principal.role === "administrator";
        return ok({
          body: whole ? configuration : shortenHashes(configuration),
        });
      },
    },
  };
}

/** Leaves of each token's hash only what tells two apart. */
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
