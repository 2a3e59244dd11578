/** Activates configurations on a VM through its peer interface. */
import {
  bodyDigest,
  compareScope,
  type Configuration,
  type ConfigurationChange,
  type Vm,
  type Workspace,
} from "@teaselvalve/core";
import { createStubVm, type StubVmOptions } from "./stub_vm.ts";
import { sampleConfiguration, sha256, tokenText, vmName } from "./samples.ts";

const HOLDER = { id: vmName(0) as never, peerAddress: "10.4.0.0:7002" };

/** A VM on which a measurement activates configurations. */
export interface ConfigurableVm {
  readonly vm: Vm;
  /** Activates a snapshot as version 1; `text` is the JSON that a peer sends. */
  activateSnapshot(text: string): Promise<void>;
  /** Activates a change as the next version; `text` is JSON as sent by a peer. */
  activateChange(text: string): Promise<void>;
}

/** Creates a VM that has no configuration yet. */
export function createConfigurableVm(
  options: StubVmOptions = {},
): ConfigurableVm {
  let answer: () => unknown = () => null;
  const vm = createStubVm({
    ...options,
    peers: { ...options.peers, "configuration/fetch": () => answer() },
  });
  const activateVersion = async (version: number) => {
    await vm.configuration.holdVersion(version, HOLDER);
    if (vm.configuration.version() !== version) {
      throw new Error(`Version ${version} was not activated`);
    }
    // The first token lookup builds the token index, which belongs to the
    // activation.
    vm.configuration.findToken(sha256(tokenText(0, 0)));
  };
  return {
    vm,
    async activateSnapshot(text) {
      answer = () => ({ kind: "snapshot", configuration: JSON.parse(text) });
      await activateVersion(1);
    },
    async activateChange(text) {
      answer = () => {
        const change = JSON.parse(text) as ConfigurationChange;
        return { kind: "changes", changes: [change], more: false };
      };
      await activateVersion(vm.configuration.version() + 1);
    },
  };
}

/** Creates a snapshot with this many workspaces and models, as JSON text. */
export function snapshotText(
  options: { workspaces: number; models: number },
): string {
  return JSON.stringify(sampleConfiguration(options));
}

/**
 * Creates the change that adds 1 to the weight of the first `changed`
 * workspaces.
 */
export function weightChange(
  current: Configuration,
  changed: number,
): ConfigurationChange {
  const before = current.bodies.workspaces;
  const after = before.map((workspace, index): Workspace =>
    index < changed ? { ...workspace, weight: workspace.weight + 1 } : workspace
  );
  const version = current.head.version + 1;
  return {
    head: {
      version,
      scopes: {
        ...current.head.scopes,
        workspaces: { version, digest: bodyDigest("workspaces", after) },
      },
      change: sha256("a change"),
    },
    scopes: { workspaces: compareScope("workspaces", { before, after }) },
  };
}
