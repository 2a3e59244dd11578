/** Looks up tokens and workspaces through indexes, without searching the lists. */
import type { Digest } from "../common/ids.ts";
import type { Configuration, Token, Workspace } from "./types.ts";

/** A caller's token and its workspace. */
export interface TokenEntry {
  readonly workspace: Workspace;
  readonly token: Token;
}

// Keyed by the workspace list: changes of other scopes keep the same list object and its index.
const tokenIndexes = new WeakMap<
  readonly Workspace[],
  Map<Digest, TokenEntry>
>();
const workspaceIndexes = new WeakMap<
  readonly Workspace[],
  Map<string, Workspace>
>();

/** Finds a token by the SHA-256 digest of its text. Also returns expired and revoked ones. */
export function findToken(
  configuration: Configuration,
  hash: Digest,
): TokenEntry | undefined {
  const { workspaces } = configuration.bodies;
  let index = tokenIndexes.get(workspaces);
  if (!index) {
    index = new Map(
      workspaces.flatMap((workspace) =>
        workspace.tokens.map((token) =>
          [token.hash, { workspace, token }] as const
        )
      ),
    );
    tokenIndexes.set(workspaces, index);
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
