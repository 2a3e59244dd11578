/** Puts configurations in force on a VM through its peer interface. */
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

/** A VM that adopts what a test hands it. */
export interface ConfigurableVm {
  readonly vm: Vm;
  /** Adopts a snapshot, given as the text that a peer sends. */
  activateSnapshot(text: string): Promise<void>;
  /** Adopts one change, given as the text that a peer sends. */
  activateChange(text: string): Promise<void>;
}

/** Creates a VM without a configuration. */
export function createConfigurableVm(
  options: StubVmOptions = {},
): ConfigurableVm {
  let answer: () => unknown = () => null;
  const vm = createStubVm({
    ...options,
    peers: { ...options.peers, "configuration/fetch": () => answer() },
  });
  const adopt = async (version: number) => {
    await vm.configuration.holdVersion(version, HOLDER);
    if (vm.configuration.version() !== version) {
      throw new Error(`Version ${version} was not adopted`);
    }
    // The first token looked up builds the index of tokens.
    vm.configuration.findToken(sha256(tokenText(0, 0)));
  };
  return {
    vm,
    async activateSnapshot(text) {
      answer = () => ({ kind: "snapshot", configuration: JSON.parse(text) });
      await adopt(1);
    },
    async activateChange(text) {
      answer = () => {
        const change = JSON.parse(text) as ConfigurationChange;
        return { kind: "changes", changes: [change], more: false };
      };
      await adopt(vm.configuration.version() + 1);
    },
  };
}

/** The text of a snapshot. */
export function snapshotText(
  options: { workspaces: number; models: number },
): string {
  return JSON.stringify(sampleConfiguration(options));
}

/** Makes the change that gives some workspaces another weight. */
export function weightChange(
  held: Configuration,
  changed: number,
): ConfigurationChange {
  const before = held.bodies.workspaces;
  const after = before.map((workspace, at): Workspace =>
    at < changed ? { ...workspace, weight: workspace.weight + 1 } : workspace
  );
  const version = held.head.version + 1;
  return {
    head: {
      version,
      scopes: {
        ...held.head.scopes,
        workspaces: { version, digest: bodyDigest("workspaces", after) },
      },
      change: sha256("a change"),
    },
    scopes: { workspaces: compareScope("workspaces", { before, after }) },
  };
}
