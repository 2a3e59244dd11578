/** Samples the active version of each VM and how long VMs that could receive a newer one stay behind. */
import type { Vm } from "@teaselvalve/core";
import { PLATFORM_HOST } from "@teaselvalve/fakes";
import type { World } from "../../world/world.ts";

const SAMPLE_MS = 50;
const ACTIVATION_LIMIT_MS = 4_000;
/** Longest delay with which the platform still counts as reachable. */
const REACHABLE_DELAY_MS = 100;

interface VmSample {
  version: number;
  readonly startedAtMs: number;
  /** The highest version reported as accepted before the VM was added. */
  readonly acceptedAtStart: number;
  /** Whether the platform was reachable at every sample since the first. */
  platformReachable: boolean;
}

/** Samples the VMs of one world until the world is closed. */
export class ConfigurationMonitor {
  #world: World;
  #findings: string[];
  #samples = new Map<Vm, VmSample>();
  /** Accepted versions, with the time at which acceptance was first reported. */
  #accepted = new Map<number, number>();
  /** Since when a VM has been behind an accepted version that it could receive. */
  #behindSinceMs = new Map<Vm, Map<number, number>>();

  constructor(world: World, findings: string[]) {
    this.#world = world;
    this.#findings = findings;
    this.#sample();
    world.timers.runDetached(() =>
      setInterval(() => this.#sample(), SAMPLE_MS)
    );
  }

  /** Records that a submitter was told that a version is accepted. */
  onAccepted(version: number): void {
    if (!this.#accepted.has(version)) this.#accepted.set(version, Date.now());
  }

  #sample(): void {
    const vms = [...this.#world.vms.values()];
    const running = vms.filter((vm) =>
      !this.#world.network.isFrozen(nameOf(vm))
    );
    for (const vm of vms) this.#checkMonotonic(vm);
    for (const vm of [...this.#behindSinceMs.keys()]) {
      if (!running.includes(vm)) this.#behindSinceMs.delete(vm);
    }
    for (const vm of running) this.#checkBehind(vm, running);
  }

  #checkMonotonic(vm: Vm): void {
    const version = vm.configuration.version();
    const sample = this.#samples.get(vm);
    if (!sample) {
      this.#samples.set(vm, {
        version,
        startedAtMs: performance.now(),
        acceptedAtStart: this.#acceptedBefore(
          this.#world.addedAtMs.get(nameOf(vm))!,
        ),
        platformReachable: this.#reachesPlatform(vm),
      });
      // Samples alone would miss a version that goes down and up again between two of them.
      vm.configuration.onChange(() => this.#checkMonotonic(vm));
      return;
    }
    sample.platformReachable &&= this.#reachesPlatform(vm);
    if (version < sample.version) {
      this.#report(`${nameOf(vm)} went from ${sample.version} to ${version}`);
    }
    const startsBehind = sample.version === 0 && version > 0 &&
      sample.platformReachable && version < sample.acceptedAtStart;
    if (startsBehind) {
      this.#report(
        `${
          nameOf(vm)
        } started with ${version}, could have received a newer one`,
      );
    }
    sample.version = version;
  }

  #checkBehind(vm: Vm, running: readonly Vm[]): void {
    const sinceMs = this.#behindSinceMs.get(vm) ?? new Map<number, number>();
    this.#behindSinceMs.set(vm, sinceMs);
    const nowMs = performance.now();
    for (const version of this.#accepted.keys()) {
      const isBehind = vm.configuration.version() < version &&
        this.#canReceive(vm, { version, running });
      if (!isBehind) {
        sinceMs.delete(version);
        continue;
      }
      const firstMs = sinceMs.get(version) ?? nowMs;
      sinceMs.set(version, firstMs);
      if (nowMs - firstMs <= ACTIVATION_LIMIT_MS) continue;
      sinceMs.set(version, Infinity);
      this.#report(
        `${nameOf(vm)} is behind ${version} for over ${ACTIVATION_LIMIT_MS} ms`,
      );
    }
  }

  // A VM can receive a version from a reachable platform, or from the VMs that it reaches if it lists them all and they reach each other and no others.
  #canReceive(
    vm: Vm,
    options: { version: number; running: readonly Vm[] },
  ): boolean {
    if (this.#reachesPlatform(vm)) return true;
    const others = options.running.filter((other) => other !== vm);
    const group = others.filter((other) => this.#isConnected(vm, other));
    const memberIds = new Set(
      vm.membership.members().map((member) => member.id),
    );
    const isComplete = group.every((one) =>
      memberIds.has(one.context.identity.id) &&
      others.every((other) =>
        other === one || this.#isConnected(one, other) === group.includes(other)
      )
    );
    return isComplete &&
      group.some((one) => one.configuration.version() >= options.version);
  }

  #acceptedBefore(atMs: number): number {
    const versions = [...this.#accepted]
      .filter(([, acceptedAtMs]) => acceptedAtMs < atMs)
      .map(([version]) => version);
    return Math.max(0, ...versions);
  }

  #reachesPlatform(vm: Vm): boolean {
    const { platformFaults, network } = this.#world;
    return !platformFaults.down &&
      platformFaults.delayMs <= REACHABLE_DELAY_MS &&
      !network.isCut(nameOf(vm), PLATFORM_HOST);
  }

  #isConnected(a: Vm, b: Vm): boolean {
    return !this.#world.network.isCut(nameOf(a), nameOf(b));
  }

  #report(violation: string): void {
    this.#findings.push(`In force: ${violation}`);
  }
}

function nameOf(vm: Vm): string {
  return vm.context.identity.id;
}
