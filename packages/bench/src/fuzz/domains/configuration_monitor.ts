/** Samples which version is in force at each VM, and how long reachable VMs stay behind. */
import type { Vm } from "@teaselvalve/core";
import { PLATFORM_HOST } from "@teaselvalve/fakes";
import type { World } from "../../world/world.ts";

const SAMPLE_MS = 50;
const IN_FORCE_LIMIT_MS = 4_000;
/** Longest delay at which the platform still counts as answering. */
const ANSWERING_DELAY_MS = 100;

interface Seen {
  version: number;
  readonly startedAtMs: number;
  /** The highest version whose acceptance was told before the VM was started. */
  readonly toldAtStart: number;
  /** Whether the platform answered it all the time since. */
  platformSinceStart: boolean;
}

/** Watches one world until it ends. */
export class ConfigurationMonitor {
  #world: World;
  #findings: string[];
  #seen = new Map<Vm, Seen>();
  /** Accepted versions, with the time at which acceptance was first told. */
  #accepted = new Map<number, number>();
  /** Since when a reachable VM has been behind an accepted version. */
  #behindSinceMs = new Map<Vm, Map<number, number>>();

  constructor(world: World, findings: string[]) {
    this.#world = world;
    this.#findings = findings;
    this.#sample();
    world.timers.runDetached(() =>
      setInterval(() => this.#sample(), SAMPLE_MS)
    );
  }

  /** A caller was told that a version is accepted. */
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
    const seen = this.#seen.get(vm);
    if (!seen) {
      this.#seen.set(vm, {
        version,
        startedAtMs: performance.now(),
        toldAtStart: this.#toldBefore(this.#world.addedAtMs.get(nameOf(vm))!),
        platformSinceStart: this.#reachesPlatform(vm),
      });
      // Between two samples a version could go down and up again.
      vm.configuration.onChange(() => this.#checkMonotonic(vm));
      return;
    }
    seen.platformSinceStart &&= this.#reachesPlatform(vm);
    if (version < seen.version) {
      this.#find(`${nameOf(vm)} went from ${seen.version} to ${version}`);
    }
    const startsLow = seen.version === 0 && version > 0 &&
      seen.platformSinceStart && version < seen.toldAtStart;
    if (startsLow) {
      this.#find(`${nameOf(vm)} started with ${version}, could learn more`);
    }
    seen.version = version;
  }

  #checkBehind(vm: Vm, running: readonly Vm[]): void {
    const sinceMs = this.#behindSinceMs.get(vm) ?? new Map<number, number>();
    this.#behindSinceMs.set(vm, sinceMs);
    const nowMs = performance.now();
    for (const version of this.#accepted.keys()) {
      const isBehind = vm.configuration.version() < version &&
        this.#canLearn(vm, { version, running });
      if (!isBehind) {
        sinceMs.delete(version);
        continue;
      }
      const firstMs = sinceMs.get(version) ?? nowMs;
      sinceMs.set(version, firstMs);
      if (nowMs - firstMs <= IN_FORCE_LIMIT_MS) continue;
      sinceMs.set(version, Infinity);
      this.#find(
        `${nameOf(vm)} is behind ${version} for over ${IN_FORCE_LIMIT_MS} ms`,
      );
    }
  }

  // A VM can learn a version from a platform that answers, or inside a group of VMs that all reach each other.
  #canLearn(
    vm: Vm,
    options: { version: number; running: readonly Vm[] },
  ): boolean {
    if (this.#reachesPlatform(vm)) return true;
    const others = options.running.filter((one) => one !== vm);
    const group = others.filter((one) => this.#joined(vm, one));
    const known = new Set(vm.membership.members().map((one) => one.id));
    const whole = group.every((one) =>
      known.has(one.context.identity.id) &&
      others.every((other) =>
        other === one || this.#joined(one, other) === group.includes(other)
      )
    );
    return whole &&
      group.some((one) => one.configuration.version() >= options.version);
  }

  #toldBefore(atMs: number): number {
    const versions = [...this.#accepted]
      .filter(([, toldAtMs]) => toldAtMs < atMs)
      .map(([version]) => version);
    return Math.max(0, ...versions);
  }

  #reachesPlatform(vm: Vm): boolean {
    const { platformFaults, network } = this.#world;
    return !platformFaults.down &&
      platformFaults.delayMs <= ANSWERING_DELAY_MS &&
      !network.isCut(nameOf(vm), PLATFORM_HOST);
  }

  #joined(a: Vm, b: Vm): boolean {
    return !this.#world.network.isCut(nameOf(a), nameOf(b));
  }

  #find(what: string): void {
    this.#findings.push(`In force: ${what}`);
  }
}

function nameOf(vm: Vm): string {
  return vm.context.identity.id;
}
