/**
 * The home of summary keys: stores which VM runs each summary. The home of a
 * key is the VM that rendezvous hashing picks for it.
 */
import type { RequestKey } from "../common/ids.ts";
import type { RegisterAnswer } from "./app.ts";
import type { Registration } from "./types.ts";

/** Retention of an answered key; engines keep the text for the same time. */
export const ANSWERED_RETENTION_MS = 30_000;
/** Retention of a running key that isn't registered again. */
const RUNNING_RETENTION_MS = 600_000;
const EXPIRY_INTERVAL_MS = 5_000;

/** Options of {@link SummariesHome}. */
export interface SummariesHomeOptions {
  /** Called when the owner of a running summary has been replaced. */
  onReplaced: (older: Registration, newer: Registration) => void;
}

interface StoredRegistration {
  readonly registration: Registration;
  readonly expiresAtMs: number;
}

/** Owns the registrations of the keys that this VM is home for. */
export class SummariesHome {
  #registrations = new Map<RequestKey, StoredRegistration>();
  #options: SummariesHomeOptions;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: SummariesHomeOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#expire(), EXPIRY_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Registers a key, or returns the existing registration. One with state
   * "cancelled" removes the key.
   */
  register(
    params: { registration: Registration; takeOver: boolean },
  ): RegisterAnswer {
    const { registration, takeOver } = params;
    const held = this.#find(registration.key);
    if (held && !mayReplace(held, { registration, takeOver })) {
      return { kind: "exists", registration: held };
    }
    if (registration.state === "cancelled") {
      this.#registrations.delete(registration.key);
    } else this.#store(registration);
    const { onReplaced } = this.#options;
    const ownerChanged = held?.state === "running" &&
      held.owner.incarnation !== registration.owner.incarnation;
    if (ownerChanged) onReplaced(held, registration);
    return { kind: "new" };
  }

  /** Returns a key's registration; null when there is none. */
  find(key: RequestKey): Registration | null {
    return this.#find(key) ?? null;
  }

  #find(key: RequestKey): Registration | undefined {
    const held = this.#registrations.get(key);
    return held && held.expiresAtMs > performance.now()
      ? held.registration
      : undefined;
  }

  #store(registration: Registration): void {
    const retentionMs = registration.state === "answered"
      ? ANSWERED_RETENTION_MS
      : RUNNING_RETENTION_MS;
    this.#registrations.set(registration.key, {
      registration,
      expiresAtMs: performance.now() + retentionMs,
    });
  }

  #expire(): void {
    const nowMs = performance.now();
    for (const [key, held] of this.#registrations) {
      if (held.expiresAtMs <= nowMs) this.#registrations.delete(key);
    }
  }
}

function mayReplace(
  held: Registration,
  params: { registration: Registration; takeOver: boolean },
): boolean {
  const { registration, takeOver } = params;
  // While VMs disagreed on the home, two bodies may have run under one key.
  if (held.bodyDigest !== registration.bodyDigest) return false;
  const sameOwner = held.owner.incarnation === registration.owner.incarnation;
  if (takeOver && registration.epoch > held.epoch) return true;
  return sameOwner && registration.epoch >= held.epoch &&
    (takeOver || held.state !== "answered");
}
