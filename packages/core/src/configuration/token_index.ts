/** Finds tokens by hash, at any number of workspaces. */
import type { Digest } from "../common/ids.ts";
import type { Configuration, Token, Workspace } from "./types.ts";

/** A token with the workspace that it belongs to. */
export interface TokenEntry {
  readonly workspace: Workspace;
  readonly token: Token;
}

// Keyed by the list of workspaces, which stays the same object while other scopes change.
const indexes = new WeakMap<readonly Workspace[], Map<Digest, TokenEntry>>();
const workspaceIndexes = new WeakMap<
  readonly Workspace[],
  Map<string, Workspace>
>();

/** Finds a token by the SHA-256 digest of its text, expired and revoked ones included. */
export function findToken(
  configuration: Configuration,
  hash: Digest,
): TokenEntry | undefined {
  const { workspaces } = configuration.bodies;
  let index = indexes.get(workspaces);
  if (!index) {
    index = new Map(
      workspaces.flatMap((workspace) =>
        workspace.tokens.map((token) =>
          [token.hash, { workspace, token }] as const
        )
      ),
    );
    indexes.set(workspaces, index);
  }
  return index.get(hash);
}

/** Finds a workspace by its id. */
export function findWorkspace(
  configuration: Configuration,
  id: string,
): Workspace | undefined {
  const { workspaces } = configuration.bodies;
  let index = workspaceIndexes.get(workspaces);
  if (!index) {
    index = new Map(workspaces.map((workspace) => [workspace.id, workspace]));
    workspaceIndexes.set(workspaces, index);
  }
  return index.get(id);
}
